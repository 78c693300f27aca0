package kvstore

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrLeaseNotFound is returned for a write or a renewal under a lease that has
// expired or was revoked. The write did not take effect.
var ErrLeaseNotFound = errors.New("store: lease not found")

// Backoff returns the delay before a retry, with full jitter: random, which is
// uniform in [0, 1), scales a maximum delay that starts at base, doubles with
// every further failure and does not exceed limit. failures is the number of
// failures so far, at least 1.
func Backoff(failures int, base, limit time.Duration, random float64) time.Duration {
	maxDelay := base
	for i := 1; i < failures && maxDelay < limit; i++ {
		maxDelay *= 2
	}
	return time.Duration(random * float64(min(maxDelay, limit)))
}
