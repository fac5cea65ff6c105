package caller

import (
	"bytes"
	"context"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// maxTransferAttempts limits the attempts to read a resource that keeps changing.
	maxTransferAttempts = 8
	// moreBit, szxMask and szxReserved describe the M bit and the block size exponent
	// (SZX) in the value of a Block2 option (RFC 7959, 2.2).
	moreBit     = 1 << 3
	szxMask     = 1<<3 - 1
	szxReserved = 7
	// maxBlockNumber is the limit of the 20-bit block number.
	maxBlockNumber = 1<<20 - 1
)

// Fetch reads a resource with a blockwise transfer and returns its complete content.
// If the resource changes during the transfer, Fetch restarts from the first block.
func (c *Client) Fetch(ctx context.Context, path string) ([]byte, error) {
	r, err := c.Do(ctx, Request{Method: "GET", Path: path})
	if err != nil {
		return nil, err
	}
	if r.Code != Content {
		return nil, result.Errorf(result.BackendFailed, "fetch %q: %s %.64q", path, r.Code, r.Payload)
	}
	return r.Payload, nil
}

// blockOption is a decoded Block2 option.
type blockOption struct {
	number int
	more   bool
	szx    uint32
}

func (b blockOption) size() int { return 16 << b.szx }

func block2(m message.Message) (b blockOption, ok bool) {
	v, err := m.Options.GetUint32(message.Block2)
	if err != nil || v&szxMask == szxReserved || v>>4 > maxBlockNumber {
		return b, false
	}
	return blockOption{number: int(v >> 4), more: v&moreBit != 0, szx: v & szxMask}, true
}

// completeBody returns the response with its complete body. If more blocks follow the
// first message, it fetches them.
func (c *Client) completeBody(ctx context.Context, request, first message.Message) (*Response, error) {
	response := newResponse(first)
	b, ok := block2(first)
	if !ok || !b.more {
		return response, nil
	}
	if request.Code != codes.GET {
		// Requesting the next block would run the request again.
		return nil, result.Errorf(result.UnsupportedOption, "blockwise response to a request other than GET")
	}
	for range maxTransferAttempts {
		body, changed, err := c.fetchRemainingBlocks(ctx, request, first)
		if err != nil {
			return nil, err
		}
		if !changed {
			response = newResponse(first)
			response.Payload = body
			return response, nil
		}
		if first, err = c.requestWithRetry(ctx, request); err != nil {
			return nil, err
		}
	}
	return nil, result.Errorf(result.BackendFailed, "the resource changed during each of %d transfers", maxTransferAttempts)
}

// fetchRemainingBlocks reads the blocks after the first one and returns the complete
// body. It reports changed if a block belongs to another representation of the resource.
func (c *Client) fetchRemainingBlocks(ctx context.Context, request, first message.Message) (body []byte, changed bool, err error) {
	etag := newResponse(first).ETag
	block, ok := block2(first)
	if !ok {
		return first.Payload, false, nil
	}
	if block.number != 0 {
		return nil, false, result.Errorf(result.BackendFailed, "the first block of the response has number %d", block.number)
	}
	last := first.Payload
	for {
		if body = append(body, last...); !block.more {
			return body, false, nil
		}
		next := len(body) / block.size()
		if len(last) != block.size() || next > maxBlockNumber || len(body) > c.cfg.MaxBodyBytes {
			return nil, false, result.Errorf(result.BackendFailed, "cannot request the next block: the last block has %d bytes with a block size of %d, the body so far has %d bytes", len(last), block.size(), len(body))
		}
		m := request
		m.Options = withOption(m.Options, message.Block2, nil)
		setUintOption(&m, message.Block2, uint32(next)<<4|block.szx)
		response, err := c.requestWithRetry(ctx, m)
		if err != nil {
			return nil, false, err
		}
		got, ok := block2(response)
		if response.Code != first.Code || !ok || !bytes.Equal(newResponse(response).ETag, etag) {
			return nil, true, nil
		}
		if got.szx > block.szx || got.number*got.size() != len(body) {
			return nil, false, result.Errorf(result.BackendFailed, "received block %d, requested block %d", got.number, next)
		}
		last, block = response.Payload, got
	}
}
