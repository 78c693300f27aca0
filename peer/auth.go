package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/quetzalglade/quetzalglade/result"
)

// Keys are the shared keys that authenticate requests between the processes of the
// fleet. Requests are sent with the first key and accepted with any of them, so a
// key can be replaced without an interruption.
type Keys []string

// Sign adds the first key to a request to another process.
func (k Keys) Sign(r *http.Request) {
	if len(k) > 0 {
		r.Header.Set("Authorization", "Bearer "+k[0])
	}
}

// Valid reports whether the request carries one of the keys. Keys are compared
// in constant time.
func (k Keys) Valid(r *http.Request) bool {
	received := sha256.Sum256([]byte(Bearer(r)))
	matched := 0
	for _, key := range k {
		if key == "" {
			continue
		}
		want := sha256.Sum256([]byte(key))
		matched |= subtle.ConstantTimeCompare(received[:], want[:])
	}
	return matched == 1
}

// OperatorKeys returns the keys that operators' tools may use: operatorKeys, or k,
// the keys of the fleet, if operatorKeys is empty.
func (k Keys) OperatorKeys(operatorKeys Keys) Keys {
	if len(operatorKeys) == 0 {
		return k
	}
	return operatorKeys
}

// Require wraps a handler so that requests without a valid key are refused.
func (k Keys) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.Valid(r) {
			result.Write(w, result.New(result.Unauthenticated, result.RanNo, "missing or invalid key"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Bearer returns the bearer token of the Authorization header, or "".
func Bearer(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}
