// Package decision implements the policies for routing, admission, queueing,
// limits, retries and placement. It does no I/O, reads no clock, starts no
// goroutines and logs nothing. Time and random numbers are arguments, so that
// tests and simulations can control them. Its types are not safe for concurrent
// use unless their documentation says so.
package decision

// Random is a source of uniform random numbers. *rand.Rand of math/rand/v2
// implements it.
type Random interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
	// Float64 returns a number in [0, 1).
	Float64() float64
}
