package sidecar

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-kit/log"
)

// FuzzReserve guards against panics and negative backlogs from any body of a reservation.
func FuzzReserve(f *testing.F) {
	f.Add([]byte(`{"request":"a","prompt":3000,"memory":4000,"max_backlog":500,"max_memory":-1}`))
	f.Add([]byte(`{"request":"a","prompt":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New(Options{Logger: log.NewNopLogger()})
		s.latest = Line{Report: &Report{}}
		s.handleReserve(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, PathReserve, bytes.NewReader(data)))
		if tokens := s.reservations.PrefillTokens(); tokens < 0 || tokens > maxReservedTokens {
			t.Fatalf("backlog %d", tokens)
		}
	})
}
