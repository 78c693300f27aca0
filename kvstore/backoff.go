package kvstore

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrLeaseNotFound is returned for a write or a renewal under a lease that has
// expired or was revoked. The write did not take effect.
var ErrLeaseNotFound = errors.New("store: lease not found")

// Backoff returns the delay before a retry, with full jitter. The maximum delay is
// base after the first failure, doubles with every further failure and does not
// exceed limit. The result is the maximum delay times random, a number uniformly
// distributed in [0, 1). failures is the number of failures so far, at least 1.
func Backoff(failures int, base, limit time.Duration, random float64) time.Duration {
	maxDelay := base
	for i := 1; i < failures && maxDelay < limit; i++ {
		maxDelay *= 2
	}
	return time.Duration(random * float64(min(maxDelay, limit)))
}
