package claim

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the claims that a registry remembers to write them again after a restore of the
// store. A copy from which a store is restored is older by at most rememberedTime, or claims
// are lost for good; so are those of a process that has ended, and those beyond maxRemembered.
const (
	rememberedTime = 10 * time.Minute
	maxRemembered  = 4096
)

// remembered holds the last claims of this process, without their outcomes.
type remembered struct {
	mu     sync.Mutex
	claims map[string]rememberedClaim
	// order holds the store keys, oldest first. A key may be in it several times.
	order []rememberedKey
}

type rememberedClaim struct {
	record Record
	at     time.Time
}

type rememberedKey struct {
	key string
	at  time.Time
}

func (m *remembered) add(c *Claim, now time.Time) {
	record := c.Record
	record.Outcome = nil
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claims[c.key] = rememberedClaim{record, now}
	m.order = append(m.order, rememberedKey{c.key, now})
	for len(m.order) > maxRemembered || now.Sub(m.order[0].at) > rememberedTime {
		if m.claims[m.order[0].key].at.Equal(m.order[0].at) {
			delete(m.claims, m.order[0].key)
		}
		m.order = m.order[1:]
	}
}

// forget drops the claim of a call that did not run.
func (m *remembered) forget(c *Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.claims[c.key].record.CallID == c.CallID {
		delete(m.claims, c.key)
	}
}

func (m *remembered) list() []*Claim {
	m.mu.Lock()
	defer m.mu.Unlock()
	claims := make([]*Claim, 0, len(m.claims))
	for key, c := range m.claims {
		claims = append(claims, &Claim{Record: c.record, key: key})
	}
	return claims
}

// WriteAgain writes the last claims of this process for keys that have none, and returns the
// number of those. The caller calls it once the store's era has changed, and again after an
// error. A claim that it writes has no outcome; the agent that it names tells that of the call.
func (r *Registry) WriteAgain(ctx context.Context) (int, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failure error
	written := 0
	for _, c := range r.remembered.list() {
		wg.Go(func() {
			current, err := r.put(ctx, c, r.absent())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				failure = errors.CombineErrors(failure, err)
			case current == c:
				written++
			}
		})
	}
	wg.Wait()
	return written, failure
}
