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
				// Also the kill of the process then resets the connection.
				_ = c.SetLinger(0)
				complete := false
				defer func() {
					if complete {
						_ = c.SetLinger(-1)
						return
					}
					// Before TLS announces an orderly end. The server closes it once more.
					_ = c.Close()
				}()
				handler.ServeHTTP(w, r)
				complete = true
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
}
