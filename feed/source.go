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

// Times of reading another process. Together they stay below the time in which
// a configuration has to be in force, also if the other falls silent.
const (
	// waitLimit is how long a hub holds a question without changes.
	waitLimit = 400 * time.Millisecond
	// readLimit bounds a question: the wait and a crossing between regions.
	readLimit = time.Second
	// maxAge is the age of a hub's state from which on it counts as behind.
	maxAge = 1500 * time.Millisecond
	// avoidTime is how long a process that failed is not asked again.
	avoidTime = 4 * time.Second
)

// Member is a process that may be read.
type Member struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Addr is the "ip:port" of its hub.
	Addr string `json:"addr"`
}

// Members returns the processes known, this one included.
type Members interface {
	// Leader returns the process that reads the store for this one's region, nil
	// if it is this one or none is known.
	Leader() *Member
	// Others returns all other processes in a random order.
	Others() []Member
}

// Source reads the store's keys from the leader of the region or the store. It
// implements the reading half of kvstore.Store; the rest is the store's.
type Source struct {
	kvstore.Store
	hub     *Hub
	members Members
	http    *http.Client
	logger  log.Logger

	mu    sync.Mutex
	avoid map[string]time.Time
	now   string
}

// NewSource returns a source that feeds a hub.
func NewSource(store kvstore.Store, hub *Hub, members Members, client *http.Client, logger log.Logger) *Source {
	return &Source{Store: store, hub: hub, members: members, http: client, logger: logger, avoid: map[string]time.Time{}}
}

// reading is one place to read from, the store if member is nil.
type reading struct{ member *Member }

func (r reading) name() string {
	if r.member == nil {
		return "store"
	}
	return r.member.Name
}

// order returns the places to read from, the best first. Those that failed of
// late come last.
func (s *Source) order() []reading {
	var all []reading
	if l := s.members.Leader(); l != nil {
		all = append(all, reading{l})
	}
	all = append(all, reading{})
	others := s.members.Others()
	for i := range others {
		all = append(all, reading{&others[i]})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var good, bad []reading
	for _, r := range all {
		if now.Before(s.avoid[r.name()]) {
			bad = append(bad, r)
			continue
		}
		good = append(good, r)
	}
	return append(good, bad...)
}

// maxTries bounds the places that are asked in one go.
const maxTries = 4

// failed notes that a place did not answer, or not well.
func (s *Source) failed(r reading, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.After(s.avoid[r.name()]) {
		telemetry.Warn(s.logger, "lost a source of changes", "source", r.name(), "err", err, "revision", s.hub.Revision())
	}
	s.avoid[r.name()] = now.Add(avoidTime)
}

// succeeded notes that a place answered with a state of the given age.
func (s *Source) succeeded(r reading, age time.Duration) {
	s.hub.lag.Store(int64(age))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now != r.name() {
		telemetry.Info(s.logger, "reading changes", "source", r.name(), "before", s.now, "revision", s.hub.Revision())
		s.now = r.name()
	}
	delete(s.avoid, r.name())
}

// Range implements kvstore.Store. An answer that is older than what is known is
// not taken.
func (s *Source) Range(ctx context.Context, prefix string) ([]kvstore.KV, int64, error) {
	var last error
	for i, r := range s.order() {
		if i >= maxTries || ctx.Err() != nil {
			break
		}
		kvs, revision, age, err := s.list(ctx, r, prefix)
		if err == nil && revision < s.hub.Revision() {
			err = errors.Newf("revision %d is behind", revision)
		}
		if err == nil {
			s.succeeded(r, age)
			return kvs, revision, nil
		}
		last = err
		s.failed(r, err)
	}
	return nil, 0, errors.Wrap(last, "no source of keys")
}

func (s *Source) list(ctx context.Context, r reading, prefix string) ([]kvstore.KV, int64, time.Duration, error) {
	if r.member == nil {
		kvs, revision, err := s.Store.Range(ctx, prefix)
		return kvs, revision, 0, err
	}
	var m Message
	if err := s.ask(ctx, r.member.Addr, PathList, &m); err != nil {
		return nil, 0, 0, err
	}
	kvs := make([]kvstore.KV, len(m.Events))
	for i := range m.Events {
		kvs[i] = m.Events[i].kv()
	}
	return kvs, m.Revision, m.age(), nil
}

// Watch implements kvstore.Store. It ends only if no place answers.
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
		r := s.order()[0]
		var err error
		if r.member == nil {
			err = s.watchStore(ctx, prefix, &after, out, &failures)
		} else {
			err = s.watchMember(ctx, r, &after, out, &failures)
		}
		if errors.Is(err, kvstore.ErrCompacted) {
			return err
		}
		if err == nil {
			continue
		}
		s.failed(r, err)
		if failures++; failures >= maxTries {
			return err
		}
	}
	return ctx.Err()
}

// settleTime is the least time between two answers of the store's watch, so
// that changes in quick succession cost one call.
const settleTime = 250 * time.Millisecond

// watchStore passes the store's changes on until an error or until another
// process should be read.
func (s *Source) watchStore(ctx context.Context, prefix string, after *int64, out chan<- kvstore.WatchBatch, failures *int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for batch := range s.Store.Watch(ctx, prefix, *after+1) {
		if batch.Err != nil {
			return batch.Err
		}
		*failures = 0
		s.succeeded(reading{}, 0)
		*after = max(*after, batch.Revision)
		select {
		case out <- batch:
		case <-ctx.Done():
			return ctx.Err()
		}
		if s.order()[0].member != nil {
			return nil
		}
		select {
		case <-time.After(settleTime):
		case <-ctx.Done():
		}
	}
	return errors.New("watch ended")
}

// watchMember asks another process once.
func (s *Source) watchMember(ctx context.Context, r reading, after *int64, out chan<- kvstore.WatchBatch, failures *int) error {
	var m Message
	path := PathWatch + "?after=" + strconv.FormatInt(*after, 10)
	if err := s.ask(ctx, r.member.Addr, path, &m); err != nil {
		return err
	}
	*failures = 0
	s.succeeded(r, m.age())
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

func (s *Source) ask(ctx context.Context, addr, path string, m *Message) error {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return errors.Wrap(err, "feed request")
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
		return errors.Newf("feed: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(m); err != nil {
		return errors.Wrap(err, "feed: decode")
	}
	if m.age() > maxAge {
		return errors.Newf("feed: state is %v old", m.age())
	}
	return nil
}
