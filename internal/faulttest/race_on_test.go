//go:build race

package faulttest

// raceEnabled reports whether the daemons are built with the race detector.
const raceEnabled = true
