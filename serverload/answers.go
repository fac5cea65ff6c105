package serverload

import "time"

const (
	// ImmediateBytes is the minimum number of bytes that a client acknowledges at once, since
	// they take two packets of 1,200 bytes.
	ImmediateBytes = 1201
	// closingShare is the share of the flows of a route that end after their first answer from
	// which a first answer counts as acknowledged at once. Below openShare it counts as
	// acknowledged late. In between, the kind is unknown.
	closingShare = 0.8
	openShare    = 0.2
	// shareGain is the weight of one flow in the share, so that about 20 flows decide it.
	shareGain = 0.1
	// usualQuantile and lengthStep define the usual answer length of a route: a high quantile,
	// so that the answers count as usual that requests have when most of them are refused.
	usualQuantile = 0.9
	lengthStep    = 0.05
	// An answer is a refusal if it is shorter than refusalLength times the usual one and took
	// less than refusalTime times the service time. Refusals take a few milliseconds.
	refusalLength = 0.5
	refusalTime   = 0.5
)

// Acknowledgement tells when a client acknowledges an answer.
type Acknowledgement uint8

// The kinds of acknowledgements.
const (
	Unclear   Acknowledgement = iota
	TwoPacket                 // at once, because the answer takes two packets
	Closing                   // at once, because the client closes the flow
	Late                      // after the client's delay of acknowledgements
)

// Answers is what is known about the answers of a route.
type Answers struct {
	closing float64 // share of the flows that end after their first answer
	flows   int32   // flows that have decided the share, saturating
	length  float64 // usual length in bytes
}

// FlowContinued records that a flow got a second request.
func (a *Answers) FlowContinued() { a.addFlow(0) }

// FlowEnded records that a flow ended after its first answer.
func (a *Answers) FlowEnded() { a.addFlow(1) }

// Continuing returns the share of the flows that go on after their first answer; 1 if unknown.
func (a *Answers) Continuing() float64 { return 1 - a.closing }

func (a *Answers) addFlow(x float64) {
	// The first flows count as a plain mean.
	a.flows = min(a.flows+1, 1/shareGain)
	a.closing += (x - a.closing) / float64(a.flows)
}

// Classify returns the kind of an acknowledgement. first reports whether it is for the first
// answer on its flow, finish whether its packet ends the flow.
func (a *Answers) Classify(bytes uint32, first, finish bool) Acknowledgement {
	switch {
	case bytes >= ImmediateBytes:
		return TwoPacket
	case !first && finish:
		return Unclear // the client may have waited before it closed the flow
	case !first:
		return Late
	case a.flows == 0 && finish:
		return Closing
	case a.flows == 0:
		return Unclear
	case a.closing >= closingShare:
		return Closing
	case a.closing <= openShare && !finish:
		return Late
	}
	return Unclear
}

// Short reports whether an answer is much shorter than the usual one.
func (a *Answers) Short(bytes uint32) bool { return float64(bytes) < refusalLength*a.length }

// Refusal reports whether an answer is probably a refusal, which says nothing about the speed of
// its server. elapsed and serviceTime exclude the delay of the acknowledgement.
func (a *Answers) Refusal(bytes uint32, elapsed, serviceTime time.Duration) bool {
	return a.Short(bytes) && float64(elapsed) < refusalTime*float64(serviceTime)
}

// AddLength updates the usual length.
func (a *Answers) AddLength(bytes uint32) {
	switch x := float64(bytes); {
	case a.length == 0:
		a.length = x
	case x < a.length:
		a.length -= a.length * lengthStep * (1 - usualQuantile)
	default:
		a.length = min(a.length+a.length*lengthStep*usualQuantile, x)
	}
}
