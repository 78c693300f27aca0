package telemetry

// Timing is the result of comparing the response to a request with the latency
// objectives of its route. It is logged in the field "timing".
type Timing string

// The values of Timing.
const (
	OnTime Timing = "on time"
	// AnswerLate means that a response that is not a stream took longer than the
	// route's target latency.
	AnswerLate Timing = "answer late"
	// FirstEventLate means that the first event of a stream took longer than the
	// route's target latency.
	FirstEventLate Timing = "first event late"
	// GapTooLong means that the longest time between two events of a stream
	// exceeded the route's inter-token target.
	GapTooLong Timing = "pause too long"
)
