package gateway

import (
	"sync"
	"time"
)

// slowdownTTL is how long a target's slowdown is used after it was received. It
// is short because the slowdown of a target changes many times a second.
const slowdownTTL = 400 * time.Millisecond

// slowdowns holds the slowdown that each target stated in its last response.
type slowdowns struct {
	mu       sync.Mutex
	byTarget map[string]receivedSlowdown
}

type receivedSlowdown struct {
	value      float64
	receivedAt time.Time
}

func (s *slowdowns) record(target string, load *ResponseLoad, now time.Time) {
	if load == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byTarget == nil {
		s.byTarget = map[string]receivedSlowdown{}
	}
	s.byTarget[target] = receivedSlowdown{value: load.Slowdown, receivedAt: now}
}

// current returns the last slowdown of a target, 1 if none was received within
// slowdownTTL.
func (s *slowdowns) current(target string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	received, ok := s.byTarget[target]
	if !ok || now.Sub(received.receivedAt) > slowdownTTL {
		return 1
	}
	return received.value
}
