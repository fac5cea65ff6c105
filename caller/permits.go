package caller

import (
	"context"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/monsoonthread/monsoonthread/result"
)

// requestWithPermit performs a request and repeats it with a permit if the service
// requires one. The repeat has its own token, so a late response to the first message
// is ignored. If the service requires a permit again, that is an error.
func (c *Client) requestWithPermit(ctx context.Context, m message.Message) (message.Message, error) {
	response, err := c.roundTrip(ctx, m, nil)
	if err != nil || Code(response.Code) != Unauthorized {
		return response, err
	}
	echo, err := response.Options.GetBytes(message.Echo)
	if err != nil {
		return response, nil
	}
	m.Options = withOption(m.Options, message.Echo, echo)
	response, err = c.presentPermit(ctx, m)
	if err == nil && Code(response.Code) == Unauthorized && response.Options.HasOption(message.Echo) {
		err = result.Errorf(result.PermitRequired, "the service did not accept the permit")
	}
	return response, err
}

const (
	// maxPresentations limits how often a permit is presented. If half of the instances
	// cannot reach its issuer, 8 presentations all fail in 1 of 256 cases.
	maxPresentations = 8
	// initialPresentBackoff is the first backoff between presentations; it doubles after each.
	initialPresentBackoff = 10 * time.Millisecond
)

// presentPermit sends a request with its permit until the issuer of the permit has
// responded. One copy of the message may reach an instance that cannot reach the issuer,
// and the next copy an instance that can. The issuer runs the request at most once,
// however often the permit is presented.
func (c *Client) presentPermit(ctx context.Context, m message.Message) (message.Message, error) {
	backoff := initialPresentBackoff
	for n := 1; ; n++ {
		response, err := c.roundTrip(ctx, m, nil)
		if err != nil || n == maxPresentations || diagnosticCode(response) != result.IssuerLost {
			return response, err
		}
		select {
		case <-ctx.Done():
			return response, nil
		case <-time.After(backoff):
		}
		backoff *= 2
	}
}

// withOption returns a copy of options with one option set.
func withOption(options message.Options, id message.OptionID, value []byte) message.Options {
	copied := append(make(message.Options, 0, len(options)+2), options...)
	return copied.Set(message.Option{ID: id, Value: value})
}
