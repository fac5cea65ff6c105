package serverload

import "time"

const (
	// minDelaySamples is the number of samples of each kind from which the delay is known. With
	// 8, it is within 8 ms of 40 ms at service times of 20 ms.
	minDelaySamples = 8
	// maxDelaySamples bounds the weight of old samples, so that the delay follows other clients.
	maxDelaySamples = 64
	// withoutReference is the number of late acknowledgements from which enough of the others are
	// not expected any more.
	withoutReference = 64
)

type average struct {
	mean float64
	n    int32 // saturating at maxDelaySamples
}

func (a *average) add(x time.Duration) {
	a.n = min(a.n+1, maxDelaySamples)
	a.mean += (float64(x) - a.mean) / float64(a.n)
}

// Delay learns how long clients of a service delay the acknowledgement of answers that take one
// packet: the difference of the mean times of answers that are acknowledged late and at once.
type Delay struct {
	kinds [Late + 1]average
}

// Add adds the time until the acknowledgement of an answer.
func (d *Delay) Add(kind Acknowledgement, elapsed time.Duration) { d.kinds[kind].add(elapsed) }

// Value returns the delay; false if it is not known. Two-packet answers are the first reference,
// since clients acknowledge them on the same kind of flows.
func (d *Delay) Value() (time.Duration, bool) {
	late := &d.kinds[Late]
	if late.n < minDelaySamples {
		return 0, false
	}
	for _, kind := range []Acknowledgement{TwoPacket, Closing} {
		if at := &d.kinds[kind]; at.n >= minDelaySamples {
			return time.Duration(max(late.mean-at.mean, 0)), true
		}
	}
	return 0, false
}

// OnlyLate reports whether almost all answers of the service are acknowledged late, so that the
// delay stays unknown and only the ratios of the times are meaningful. It returns their mean.
func (d *Delay) OnlyLate() (mean time.Duration, only bool) {
	_, known := d.Value()
	late := &d.kinds[Late]
	return time.Duration(late.mean), !known && late.n >= withoutReference
}
