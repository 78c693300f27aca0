package feed

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Timeouts of reads from another process. Their sum stays below the time within
// which a new configuration must be in force, so that a process that stops
// responding does not delay it too long.
const (
	// watchTimeout is how long a hub holds a watch request while nothing changes.
	watchTimeout = 400 * time.Millisecond
	// requestTimeout bounds a request: watchTimeout plus a cross-region round trip.
	requestTimeout = time.Second
	// maxStateAge is the maximum age of a hub's state; a hub whose state is older
	// counts as a failed upstream.
	maxStateAge = 1500 * time.Millisecond
	// avoidPeriod is how long a failed upstream is ranked behind the others.
	avoidPeriod = 4 * time.Second
)

// Member is a process whose hub other processes can read.
type Member struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Addr is the "ip:port" of its hub.
	Addr string `json:"addr"`
}

// Members lists the processes that a Source can read from.
type Members interface {
	// Leader returns the process that reads the store for the region of this
	// process. It returns nil if this process is the leader or no other process
	// of the region is known.
	Leader() *Member
	// Others returns all other processes in random order.
	Others() []Member
}

// Source reads the store's keys from the leader of the region, the store or
// another process, whichever is the first available. It overrides Range and
// Watch of kvstore.Store; the other methods go to the store directly.
type Source struct {
	kvstore.Store
	hub     *Hub
	members Members
	http    *http.Client
	logger  log.Logger

	mu         sync.Mutex
	avoidUntil map[string]time.Time
	current    string
}

// NewSource returns a source that feeds a hub.
func NewSource(store kvstore.Store, hub *Hub, members Members, client *http.Client, logger log.Logger) *Source {
	return &Source{Store: store, hub: hub, members: members, http: client, logger: logger, avoidUntil: map[string]time.Time{}}
}

// upstream is a process to read from, or the store if member is nil.
type upstream struct{ member *Member }

func (u upstream) name() string {
	if u.member == nil {
		return "store"
	}
	return u.member.Name
}

// upstreams returns the upstreams in order of preference: the leader, the
// store, then the other processes. Those that failed within avoidPeriod come
// last.
func (s *Source) upstreams() []upstream {
	var ranked []upstream
	if l := s.members.Leader(); l != nil {
		ranked = append(ranked, upstream{l})
	}
	ranked = append(ranked, upstream{})
	others := s.members.Others()
	for i := range others {
		ranked = append(ranked, upstream{&others[i]})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var healthy, failing []upstream
	for _, u := range ranked {
		if now.Before(s.avoidUntil[u.name()]) {
			failing = append(failing, u)
			continue
		}
		healthy = append(healthy, u)
	}
	return append(healthy, failing...)
}

// maxAttempts bounds the upstreams that one Range call tries, and the
// consecutive failures after which a watch ends.
const maxAttempts = 4

// markFailed records that a read from an upstream failed.
func (s *Source) markFailed(u upstream, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.After(s.avoidUntil[u.name()]) {
		telemetry.Warn(s.logger, "feed upstream failed", "source", u.name(), "err", err, "revision", s.hub.Revision())
	}
	s.avoidUntil[u.name()] = now.Add(avoidPeriod)
}

// markSucceeded records that an upstream returned a state of the given age.
func (s *Source) markSucceeded(u upstream, age time.Duration) {
	s.hub.lag.Store(int64(age))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != u.name() {
		telemetry.Info(s.logger, "feed upstream changed", "source", u.name(), "before", s.current, "revision", s.hub.Revision())
		s.current = u.name()
	}
	delete(s.avoidUntil, u.name())
}

// Range implements kvstore.Store. It rejects a response whose revision is lower
// than the hub's.
func (s *Source) Range(ctx context.Context, prefix string) ([]kvstore.KV, int64, error) {
	var lastErr error
	for i, u := range s.upstreams() {
		if i >= maxAttempts || ctx.Err() != nil {
			break
		}
		kvs, revision, age, err := s.list(ctx, u, prefix)
		if err == nil && revision < s.hub.Revision() {
			err = errors.Newf("feed: stale response: revision %d is lower than that of the hub", revision)
		}
		if err == nil {
			s.markSucceeded(u, age)
			return kvs, revision, nil
		}
		lastErr = err
		s.markFailed(u, err)
	}
	return nil, 0, errors.Wrap(lastErr, "feed: no upstream returned the keys")
}

func (s *Source) list(ctx context.Context, u upstream, prefix string) ([]kvstore.KV, int64, time.Duration, error) {
	if u.member == nil {
		kvs, revision, err := s.Store.Range(ctx, prefix)
		return kvs, revision, 0, err
	}
	var m Response
	if err := s.fetch(ctx, u.member.Addr, PathList, &m); err != nil {
		return nil, 0, 0, err
	}
	kvs := make([]kvstore.KV, len(m.Events))
	for i := range m.Events {
		kvs[i] = m.Events[i].kv()
	}
	return kvs, m.Revision, m.age(), nil
}

// Watch implements kvstore.Store. It ends when ctx ends, when maxAttempts reads
// in a row fail, or with kvstore.ErrCompacted.
func (s *Source) Watch(ctx context.Context, prefix string, from int64) <-chan kvstore.WatchBatch {
	out := make(chan kvstore.WatchBatch)
	go func() {
		defer close(out)
		err := s.watch(ctx, prefix, from, out)
		select {
		case out <- kvstore.WatchBatch{Err: err}:
		case <-ctx.Done():
		}
	}()
	return out
}

func (s *Source) watch(ctx context.Context, prefix string, from int64, out chan<- kvstore.WatchBatch) error {
	after := from - 1
	failures := 0
	for ctx.Err() == nil {
		u := s.upstreams()[0]
		var err error
		if u.member == nil {
			err = s.watchStore(ctx, prefix, &after, out, &failures)
		} else {
			err = s.watchMember(ctx, u, &after, out, &failures)
		}
		if errors.Is(err, kvstore.ErrCompacted) {
			return err
		}
		if err == nil {
			continue
		}
		s.markFailed(u, err)
		if failures++; failures >= maxAttempts {
			return err
		}
	}
	return ctx.Err()
}

// minWatchInterval is the minimum time between two batches from the store's
// watch, so that changes in quick succession cost one call.
const minWatchInterval = 250 * time.Millisecond

// watchStore forwards the store's changes until an error occurs or another
// process becomes the preferred upstream.
func (s *Source) watchStore(ctx context.Context, prefix string, after *int64, out chan<- kvstore.WatchBatch, failures *int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for batch := range s.Store.Watch(ctx, prefix, *after+1) {
		if batch.Err != nil {
			return batch.Err
		}
		*failures = 0
		s.markSucceeded(upstream{}, 0)
		*after = max(*after, batch.Revision)
		select {
		case out <- batch:
		case <-ctx.Done():
			return ctx.Err()
		}
		if s.upstreams()[0].member != nil {
			return nil
		}
		select {
		case <-time.After(minWatchInterval):
		case <-ctx.Done():
		}
	}
	return errors.New("feed: store watch ended")
}

// watchMember sends one watch request to another process and forwards the
// changes it returns.
func (s *Source) watchMember(ctx context.Context, u upstream, after *int64, out chan<- kvstore.WatchBatch, failures *int) error {
	var m Response
	path := PathWatch + "?after=" + strconv.FormatInt(*after, 10)
	if err := s.fetch(ctx, u.member.Addr, path, &m); err != nil {
		return err
	}
	*failures = 0
	s.markSucceeded(u, m.age())
	*after = max(*after, m.Revision)
	batch := kvstore.WatchBatch{Revision: m.Revision}
	for i := range m.Events {
		batch.Events = append(batch.Events, kvstore.Event{KV: m.Events[i].kv(), Deleted: m.Events[i].Deleted})
	}
	select {
	case out <- batch:
	case <-ctx.Done():
	}
	return nil
}

func (s *Source) fetch(ctx context.Context, addr, path string, m *Response) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return errors.Wrap(err, "feed: create request")
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "feed")
	}
	defer httpclient.CloseBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return kvstore.ErrCompacted
	default:
		return errors.Newf("feed: unexpected status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(m); err != nil {
		return errors.Wrap(err, "feed: decode response")
	}
	if m.age() > maxStateAge {
		return errors.Newf("feed: stale state, %v old", m.age())
	}
	return nil
}
