package httpserve

import (
	"net/http"

	"github.com/quetzalglade/quetzalglade/internal/connguard"
)

// ResetCut returns a handler whose responses to HTTP/1.0 clients, which the end of the connection
// may delimit, are reset if they are cut: the client would take an orderly close for their end.
// The connections must come from a Listener with an account.
func ResetCut(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if guarded := connguard.FromContext(r.Context()); guarded != nil && !r.ProtoAtLeast(1, 1) {
			if c := wrapped(guarded); c != nil {
				c.resets.Store(true)
				// A handler that panics leaves the response incomplete.
				handler.ServeHTTP(w, r)
				c.resets.Store(false)
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.resets.Load() {
		_ = c.SetLinger(0)
	}
	return c.TCPConn.Close()
}
