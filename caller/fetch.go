package caller

import (
	"bytes"
	"context"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// maxRestarts bounds the attempts to read a resource that keeps changing.
	maxRestarts = 8
	moreBit     = 1 << 3
	szxMask     = 1<<3 - 1
	szxReserved = 7
	// maxBlockNumber is the limit of the 20-bit block number.
	maxBlockNumber = 1<<20 - 1
)

// Fetch reads a resource in blocks and returns its complete content. A resource that
// changes during the transfer is read again from the start.
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

// blocks completes an answer whose first message has more blocks to follow.
func (c *Client) blocks(ctx context.Context, request, first message.Message) (*Response, error) {
	response := newResponse(first)
	b, ok := block2(first)
	if !ok || !b.more {
		return response, nil
	}
	if request.Code != codes.GET {
		// Asking for the next block would repeat the request.
		return nil, result.Errorf(result.UnsupportedOption, "answer in blocks to a request other than GET")
	}
	for range maxRestarts {
		body, changed, err := c.rest(ctx, request, first)
		if err != nil {
			return nil, err
		}
		if !changed {
			response = newResponse(first)
			response.Payload = body
			return response, nil
		}
		if first, err = c.try(ctx, request); err != nil {
			return nil, err
		}
	}
	return nil, result.Errorf(result.BackendFailed, "the resource changed during each of %d transfers", maxRestarts)
}

// rest reads the blocks after the first one. It reports changed when a block belongs
// to another representation of the resource.
func (c *Client) rest(ctx context.Context, request, first message.Message) (body []byte, changed bool, err error) {
	etag := newResponse(first).ETag
	block, ok := block2(first)
	if !ok {
		return first.Payload, false, nil
	}
	if block.number != 0 {
		return nil, false, result.Errorf(result.BackendFailed, "the first block has number %d", block.number)
	}
	last := first.Payload
	for {
		if body = append(body, last...); !block.more {
			return body, false, nil
		}
		next := len(body) / block.size()
		if len(last) != block.size() || next > maxBlockNumber || len(body) > c.cfg.MaxBody {
			return nil, false, result.Errorf(result.BackendFailed, "block of %d bytes where %d are due, after %d", len(last), block.size(), len(body))
		}
		m := request
		m.Options = withOption(m.Options, message.Block2, nil)
		setUint(&m, message.Block2, uint32(next)<<4|block.szx)
		answer, err := c.try(ctx, m)
		if err != nil {
			return nil, false, err
		}
		got, ok := block2(answer)
		if answer.Code != first.Code || !ok || !bytes.Equal(newResponse(answer).ETag, etag) {
			return nil, true, nil
		}
		if got.szx > block.szx || got.number*got.size() != len(body) {
			return nil, false, result.Errorf(result.BackendFailed, "block %d where %d was asked for", got.number, next)
		}
		last, block = answer.Payload, got
	}
}
