package target

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
)

// TestPlainSendsOnce guards against a call that reaches the service twice:
// net/http may retry a request when a reused connection closes, and a client may
// follow a redirect.
func TestPlainSendsOnce(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"connection closed": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		},
	}
	for name, handle := range handlers {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
			for _, body := range []string{"", "{}"} {
				t.Run(name+"/"+method+"/"+body, func(t *testing.T) {
					var arrivals atomic.Int32
					server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if r.URL.Path == "/once" {
							arrivals.Add(1)
							handle(w, r)
						}
					}))
					defer server.Close()
					plain := NewPlain(server.URL, httpclient.New(httpclient.Options{}))
					ctx := context.Background()
					if _, err := plain.Do(ctx, PlainCall{Method: method, Path: "/warm", Body: []byte(body)}); err != nil {
						t.Fatal(err)
					}
					_, _ = plain.Do(ctx, PlainCall{Method: method, Path: "/once", Body: []byte(body)})
					if n := arrivals.Load(); n != 1 {
						t.Errorf("the call arrived %d times, want 1", n)
					}
				})
			}
		}
	}
}
