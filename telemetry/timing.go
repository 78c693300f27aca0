package telemetry

// Timing compares an answer with its route's objectives, in the field "timing" of
// its log line.
type Timing string

// The timings.
const (
	OnTime         Timing = "on time"
	AnswerLate     Timing = "answer late"
	FirstEventLate Timing = "first event late"
	PauseTooLong   Timing = "pause too long"
)
