//go:build !race

package faulttest

// raceEnabled makes the daemons under test be built with the race detector.
const raceEnabled = false
