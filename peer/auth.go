package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/quetzalglade/quetzalglade/result"
)

// Keys are the shared keys of the fleet. The first signs what is sent, all are
// accepted, so that a key is replaced without an interruption.
type Keys []string

// Sign authenticates a request to another process.
func (k Keys) Sign(r *http.Request) {
	if len(k) > 0 {
		r.Header.Set("Authorization", "Bearer "+k[0])
	}
}

// Valid reports whether the request carries one of the keys. The comparison
// takes the same time for every key.
func (k Keys) Valid(r *http.Request) bool {
	given := sha256.Sum256([]byte(Bearer(r)))
	ok := 0
	for _, key := range k {
		if key == "" {
			continue
		}
		want := sha256.Sum256([]byte(key))
		ok |= subtle.ConstantTimeCompare(given[:], want[:])
	}
	return ok == 1
}

// Operators returns the keys of operators' tools: the given ones, or the
// fleet's if there are none.
func (k Keys) Operators(own Keys) Keys {
	if len(own) == 0 {
		return k
	}
	return own
}

// Require wraps a handler so that it serves only requests with a valid key.
func (k Keys) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.Valid(r) {
			result.Write(w, result.New(result.Unauthenticated, result.RanNo, "missing or invalid key"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Bearer returns the token of the Authorization header, or "".
func Bearer(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}
