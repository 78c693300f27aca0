// Package decision holds the policies of quetzalglade: routing, admission,
// queueing, limits, retries and placement. It does no I/O, reads no clock,
// starts no goroutine, logs nothing and has no source of randomness of its
// own: time and random numbers are arguments, so that any bench can drive it.
// Its values are not safe for concurrent use unless they say so; each has one
// owner.
package decision

// Random yields uniform numbers; *rand.Rand of math/rand/v2 implements it.
type Random interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
	// Float64 returns a number in [0, 1).
	Float64() float64
}
