package telemetry

// Timing is the result of comparing an answer with the latency objectives of its
// route. It is logged in the field "timing".
type Timing string

// The values of Timing.
const (
	OnTime         Timing = "on time"
	AnswerLate     Timing = "answer late"
	FirstEventLate Timing = "first event late"
	PauseTooLong   Timing = "pause too long"
)
