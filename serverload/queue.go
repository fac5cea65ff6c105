package serverload

import (
	"math"
	"time"
)

const (
	// waitVariability is the factor on the wait of exponentially distributed service times for
	// times whose standard deviation is between a third and a half of the mean.
	waitVariability = 0.6
	// maxStretch is the highest ratio of response to service time: a server with 2 slots queues 8
	// requests and sheds the others.
	maxStretch = 5.0
	// queueSteps is the number of bisections, which leave an error below 0.1%.
	queueSteps = 10
)

// WithoutQueueing returns the service time of a server whose requests take the mean response time
// at the rate of requests per second. Queueing at a busy server must not count as slowness, or
// an even load would look like servers that are slower than they are.
func WithoutQueueing(response time.Duration, rate float64, slots int) time.Duration {
	apparent := rate * response.Seconds() / float64(max(slots, 1)) // utilization if nothing queued
	if apparent <= 0 {
		return response
	}
	low, high := 1/maxStretch, 1.0
	for range queueSteps {
		share := (low + high) / 2 // of the response time that is service
		if share*stretch(share*apparent, slots) < 1 {
			low = share
		} else {
			high = share
		}
	}
	return time.Duration(float64(response) * (low + high) / 2)
}

// stretch returns the ratio of response to service time at a utilization, by the usual
// approximation for several slots, which is exact for exponential service times and up to two.
func stretch(utilization float64, slots int) float64 {
	busy := utilization * utilization
	if slots != 2 {
		busy = math.Pow(utilization, float64(max(slots, 1)))
	}
	if busy >= 1 {
		return maxStretch
	}
	return min(1+waitVariability*busy/(1-busy), maxStretch)
}
