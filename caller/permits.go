package caller

import (
	"context"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/monsoonthread/monsoonthread/result"
)

// permitted performs one request and repeats it with the permit if one is required.
// The repeat has its own token, so a late answer to the first message is ignored.
// A second demand after a permitted request is an error.
func (c *Client) permitted(ctx context.Context, m message.Message) (message.Message, error) {
	answer, err := c.exchange(ctx, m, nil)
	if err != nil || Code(answer.Code) != Unauthorized {
		return answer, err
	}
	echo, err := answer.Options.GetBytes(message.Echo)
	if err != nil {
		return answer, nil
	}
	m.Options = withOption(m.Options, message.Echo, echo)
	answer, err = c.present(ctx, m)
	if err == nil && Code(answer.Code) == Unauthorized && answer.Options.HasOption(message.Echo) {
		err = result.Errorf(result.PermitRequired, "the permit was not accepted")
	}
	return answer, err
}

const (
	// presentations bounds how often a permit is presented. With half of the instances
	// cut off from its issuer, 8 presentations miss the issuer in 1 of 256 cases.
	presentations = 8
	// presentPause is the first pause between presentations; it doubles each time.
	presentPause = 10 * time.Millisecond
)

// present sends a permitted request until its issuer has answered. The message may
// reach an instance that is cut off from the issuer, and another copy one that is not.
// The issuer runs the request at most once, however often the permit is presented.
func (c *Client) present(ctx context.Context, m message.Message) (message.Message, error) {
	pause := presentPause
	for n := 1; ; n++ {
		answer, err := c.exchange(ctx, m, nil)
		if err != nil || n == presentations || diagnosticCode(answer) != result.IssuerLost {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return answer, nil
		case <-time.After(pause):
		}
		pause *= 2
	}
}

// withOption returns a copy of options with one option set.
func withOption(options message.Options, id message.OptionID, value []byte) message.Options {
	copied := append(make(message.Options, 0, len(options)+2), options...)
	return copied.Set(message.Option{ID: id, Value: value})
}
