package feed

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Limits of reads from another process. headerTimeout plus maxStateAge is below the 3 s
// within which a new configuration must be in force at every process, so that an
// upstream that stops responding or serves old state does not delay it too long.
const (
	// watchTimeout is how long a hub delays the response to a watch request while
	// nothing changes.
	watchTimeout = 400 * time.Millisecond
	// headerTimeout limits the time until a response starts. It allows for
	// watchTimeout and a cross-region round trip.
	headerTimeout = time.Second
	// idleTimeout limits the time without data in a response, transferLimit the
	// duration of its body.
	idleTimeout   = time.Second
	transferLimit = 5 * time.Second
	// maxStateAge is the maximum time since a hub's state was read from the store.
	// A hub whose state is older counts as a failed upstream.
	maxStateAge = 1500 * time.Millisecond
	// firstReadTimeout limits the time until the response to a read that does not wait
	// for changes starts.
	firstReadTimeout = 600 * time.Millisecond
	// minAvoidPeriod and maxAvoidPeriod bound how long a failed upstream is ranked
	// behind the others. The period doubles with consecutive failures.
	minAvoidPeriod = 500 * time.Millisecond
	maxAvoidPeriod = 4 * time.Second
	// probeTimeout limits a probe of a failed upstream.
	probeTimeout = time.Second
)

// Member is a process whose hub other processes can read.
type Member struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Addr is the "ip:port" of its hub.
	Addr string `json:"addr"`
	// LinkMbps is the bandwidth of its network link in Mbit/s, 0 if unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// Members lists the processes that a Source can read from.
type Members interface {
	// Name returns the name of this process.
	Name() string
	// Leader returns the process that reads the store for the region of this
	// process. It returns nil if that is this process itself; a process that knows
	// no other process of its region is the leader.
	Leader() *Member
	// Others returns all other processes in random order.
	Others() []Member
}

// Source reads the store's keys from the first available of these upstreams: the
// leader of the region, the store, any other process. It overrides Range and
// Watch of kvstore.Store; the other methods go to the store directly.
type Source struct {
	kvstore.Store
	hub     *Hub
	members Members
	http    *http.Client
	logger  log.Logger

	mu sync.Mutex
	// storeWatchFailed is set while no watch of the store has returned anything since one began.
	storeWatchFailed bool
	// failed holds the upstreams whose last read or probe failed, by name.
	failed map[string]*failedUpstream
	// current is the name of the upstream that last returned a state, currentAge the
	// age that the state had when it was received.
	current    string
	currentAge time.Duration
}

// failedUpstream is the state of an upstream whose last read or probe failed.
type failedUpstream struct {
	failures   int
	failedAt   time.Time
	avoidUntil time.Time
	probing    bool
}

// Current returns the name of the upstream that last returned a state, and the age
// that the state had when it was received.
func (s *Source) Current() (string, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.currentAge
}

// NewSource returns a source that feeds a hub.
func NewSource(store kvstore.Store, hub *Hub, members Members, client *http.Client, logger log.Logger) *Source {
	return &Source{Store: store, hub: hub, members: members, http: client, logger: logger, failed: map[string]*failedUpstream{}}
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
// store, then the other processes, the current upstream first. Those that failed
// come last, the longest ago first. The leader and the store count as failed until a
// probe or a read succeeds: a read of an upstream that does not respond would delay
// changes that another one has. upstreams starts the probes that are due.
func (s *Source) upstreams(ctx context.Context) []upstream {
	var preferred []upstream
	if l := s.members.Leader(); l != nil {
		preferred = append(preferred, upstream{l})
	}
	preferred = append(preferred, upstream{})
	others := s.members.Others()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var healthy, failed []upstream
	for _, u := range preferred {
		f := s.failed[u.name()]
		if f == nil {
			healthy = append(healthy, u)
			continue
		}
		failed = append(failed, u)
		if !f.probing && now.After(f.avoidUntil) {
			f.probing = true
			go s.probe(ctx, u)
		}
	}
	if i := slices.IndexFunc(others, func(m Member) bool { return m.Name == s.current }); i > 0 {
		others[0], others[i] = others[i], others[0]
	}
	for i := range others {
		u := upstream{&others[i]}
		if f := s.failed[u.name()]; f != nil && now.Before(f.avoidUntil) {
			failed = append(failed, u)
			continue
		}
		healthy = append(healthy, u)
	}
	slices.SortStableFunc(failed, func(a, b upstream) int {
		return s.failed[a.name()].failedAt.Compare(s.failed[b.name()].failedAt)
	})
	return append(healthy, failed...)
}

// maxAttempts is the maximum number of upstreams that one Range call tries, and
// the number of consecutive failed reads after which a watch ends.
const maxAttempts = 4

// markFailed records that a read from an upstream failed.
func (s *Source) markFailed(u upstream, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed[u.name()] == nil {
		var transfer *transferError
		errors.As(err, &transfer)
		position := s.hub.Position()
		telemetry.Warn(s.logger, "feed upstream failed", append([]any{"source", u.name(), "err", err, "era", position.Era, "revision", position.Revision}, transfer.fields()...)...)
	}
	s.avoid(u)
}

// avoid extends the time in which an upstream is ranked behind the others. Callers hold
// the lock.
func (s *Source) avoid(u upstream) {
	f := s.failed[u.name()]
	if f == nil {
		f = &failedUpstream{}
		s.failed[u.name()] = f
	}
	f.failedAt = time.Now()
	f.avoidUntil = f.failedAt.Add(min(minAvoidPeriod<<min(f.failures, maxAvoidDoublings), maxAvoidPeriod))
	f.failures++
}

// maxAvoidDoublings is the number of doublings from minAvoidPeriod to maxAvoidPeriod.
const maxAvoidDoublings = 3

// probe reads a small part of the state of a failed upstream, to find out whether it
// responds again.
func (s *Source) probe(ctx context.Context, u upstream) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var err error
	if u.member == nil {
		_, err = s.Store.Get(probeCtx, MemberPrefix+s.members.Name())
	} else {
		err = s.probeMember(probeCtx, u)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.failed[u.name()]
	if f == nil {
		return
	}
	f.probing = false
	switch {
	case err == nil:
		delete(s.failed, u.name())
	case ctx.Err() == nil:
		s.avoid(u)
	}
}

// probeMember probes another process. One whose state is of an earlier era has failed, one
// that asks for a list has not.
func (s *Source) probeMember(ctx context.Context, u upstream) error {
	var response Response
	known := s.hub.Position()
	err := s.fetch(ctx, u, watchPath(known, 0), firstReadTimeout, &response)
	switch {
	case kvstore.MustList(err):
		return nil
	case err != nil:
		return err
	}
	if err := kvstore.CheckEra(response.Era, known.Era); !kvstore.MustList(err) {
		return err
	}
	return nil
}

// markSucceeded records that an upstream returned a state of the given age.
func (s *Source) markSucceeded(u upstream, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != u.name() {
		position := s.hub.Position()
		telemetry.Info(s.logger, "feed upstream changed", "source", u.name(), "before", s.current, "era", position.Era, "revision", position.Revision)
		s.current = u.name()
	}
	s.currentAge = age
	delete(s.failed, u.name())
}

// Range implements kvstore.Store. A response whose position is before the
// hub's counts as a failed read.
func (s *Source) Range(ctx context.Context, prefix string) ([]kvstore.KV, kvstore.Position, error) {
	var lastErr error
	for i, u := range s.upstreams(ctx) {
		if i >= maxAttempts || ctx.Err() != nil {
			break
		}
		kvs, position, age, via, err := s.list(ctx, u, prefix)
		if err == nil {
			err = s.checkPosition(position)
		}
		if err == nil {
			s.hub.lag.Store(int64(age))
			s.hub.setVia(via)
			s.markSucceeded(u, age)
			return kvs, position, nil
		}
		lastErr = err
		s.markFailed(u, err)
	}
	return nil, kvstore.Position{}, errors.Wrap(lastErr, "feed: no upstream returned the keys")
}

// checkPosition returns an error if a state is before that of the hub, or from before a
// restore that the store has stated to this process.
func (s *Source) checkPosition(position kvstore.Position) error {
	if known := s.hub.Position(); position.Before(known) {
		return errors.Newf("feed: stale response: era %d, revision %d is before era %d, revision %d of the hub", position.Era, position.Revision, known.Era, known.Revision)
	}
	if era := s.Era(); position.Era < era {
		return errors.Newf("feed: stale response: era %d is before era %d of the store", position.Era, era)
	}
	return nil
}

// list reads the keys under a prefix from the store, or all keys of another
// process's hub. It returns the keys, their position, and the age of the state and the
// processes that it came through.
func (s *Source) list(ctx context.Context, u upstream, prefix string) (kvs []kvstore.KV, position kvstore.Position, age time.Duration, via []string, err error) {
	if u.member == nil {
		startedAt := time.Now()
		kvs, position, err := s.Store.Range(ctx, prefix)
		return kvs, position, time.Since(startedAt), nil, err
	}
	var response Response
	if err := s.fetch(ctx, u, PathList, headerTimeout, &response); err != nil {
		return nil, kvstore.Position{}, 0, nil, err
	}
	kvs = make([]kvstore.KV, len(response.Events.Items))
	for i := range kvs {
		kvs[i] = response.Events.Items[i].kv()
	}
	return kvs, response.position(), response.age(), append(response.Via, u.name()), nil
}

// Watch implements kvstore.Store. It ends when ctx ends, when maxAttempts reads
// in a row fail, or when the keys must be listed.
func (s *Source) Watch(ctx context.Context, prefix string, after kvstore.Position) <-chan kvstore.WatchBatch {
	out := make(chan kvstore.WatchBatch)
	go func() {
		defer close(out)
		err := s.watch(ctx, prefix, after, out)
		select {
		case out <- kvstore.WatchBatch{Err: err}:
		case <-ctx.Done():
		}
	}()
	return out
}

// watch forwards the changes after a position until it fails. Each read goes
// to the upstream that is preferred at that time.
func (s *Source) watch(ctx context.Context, prefix string, after kvstore.Position, out chan<- kvstore.WatchBatch) error {
	failures := 0
	for ctx.Err() == nil {
		u := s.upstreams(ctx)[0]
		var err error
		if u.member == nil {
			err = s.watchStore(ctx, prefix, &after, out, &failures)
		} else {
			err = s.watchMember(ctx, u, &after, out, &failures)
		}
		if kvstore.MustList(err) {
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

// minWatchInterval is the pause after each batch from the store's watch, so that
// the store can return changes in quick succession as one batch.
const minWatchInterval = 250 * time.Millisecond

// watchStore forwards the store's changes until an error occurs or another
// process becomes the preferred upstream. With each batch it advances after and
// resets failures. It returns kvstore.ErrMissedChanges if reads show changes that the watch
// does not return.
func (s *Source) watchStore(ctx context.Context, prefix string, after *kvstore.Position, out chan<- kvstore.WatchBatch, failures *int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	verifier := watchVerifier{failedBefore: s.setStoreWatchFailed(true)}
	firstDelay := verifyPeriod
	if verifier.failedBefore {
		firstDelay = firstVerifyDelay
	}
	batches, positions := s.Store.Watch(ctx, prefix, *after), s.readPositions(ctx, firstDelay)
	for {
		var batch kvstore.WatchBatch
		var ok bool
		select {
		case batch, ok = <-batches:
		case read := <-positions:
			verifier.read(read, *after)
			if verifier.isMissing(time.Now()) {
				return kvstore.ErrMissedChanges
			}
			continue
		}
		if !ok {
			return errors.New("feed: store watch ended")
		}
		if batch.Err != nil {
			if verifier.unseen != nil {
				return errors.CombineErrors(kvstore.ErrMissedChanges, batch.Err)
			}
			return batch.Err
		}
		s.setStoreWatchFailed(false)
		verifier.failedBefore = false
		*failures = 0
		s.markSucceeded(upstream{}, batch.Age)
		s.hub.setVia(nil)
		*after = after.Later(batch.Position())
		verifier.reached(*after)
		select {
		case out <- batch:
		case <-ctx.Done():
			return ctx.Err()
		}
		if s.upstreams(ctx)[0].member != nil {
			return nil
		}
		select {
		case <-time.After(minWatchInterval):
		case <-ctx.Done():
		}
	}
}

// setStoreWatchFailed sets storeWatchFailed and returns its value before.
func (s *Source) setStoreWatchFailed(failed bool) (before bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, s.storeWatchFailed = s.storeWatchFailed, failed
	return before
}

// watchMember sends one watch request to another process and forwards the
// changes it returns. On success it advances after and resets failures. The first read
// of an upstream does not wait for changes, so that one that is as stale as this process
// delays it by a round trip only.
func (s *Source) watchMember(ctx context.Context, u upstream, after *kvstore.Position, out chan<- kvstore.WatchBatch, failures *int) error {
	var response Response
	wait, timeout := watchTimeout, headerTimeout
	if current, _ := s.Current(); current != u.name() {
		wait, timeout = 0, firstReadTimeout
	}
	if err := s.fetch(ctx, u, watchPath(*after, wait), timeout, &response); err != nil {
		return err
	}
	if err := kvstore.CheckEra(response.Era, after.Era); err != nil {
		return err
	}
	*failures = 0
	s.markSucceeded(u, response.age())
	s.hub.setVia(append(response.Via, u.name()))
	*after = after.Later(response.position())
	batch := kvstore.WatchBatch{Era: response.Era, Revision: response.Revision, Age: response.age()}
	for _, e := range response.Events.Items {
		batch.Events = append(batch.Events, kvstore.Event{KV: e.kv(), Deleted: e.Deleted})
	}
	select {
	case out <- batch:
	case <-ctx.Done():
	}
	return nil
}

// watchPath returns the path and query of a request for the changes after a position.
func watchPath(after kvstore.Position, wait time.Duration) string {
	return PathWatch + "?after=" + strconv.FormatInt(after.Revision, 10) + "&era=" + strconv.FormatInt(after.Era, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}

// fetch sends a request to the hub of a process and decodes the response, which must
// start within timeout. The age in the response includes the duration of the transfer.
// fetch fails if the hub's state was older than maxStateAge when the response started,
// or if it came through this process.
func (s *Source) fetch(ctx context.Context, u upstream, path string, timeout time.Duration, response *Response) error {
	transfer := httpclient.NewTransfer(ctx, timeout, idleTimeout, transferLimit)
	defer transfer.Stop()
	req, err := http.NewRequestWithContext(transfer.Context(), http.MethodGet, "http://"+u.member.Addr+path, nil)
	if err != nil {
		return errors.Wrap(err, "feed: create request")
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return errors.Wrap(transfer.Explain(err), "feed")
	}
	defer httpclient.CloseBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return kvstore.ErrCompacted
	default:
		return errors.Newf("feed: unexpected status %d", resp.StatusCode)
	}
	err = json.NewDecoder(transfer.Body(resp.Body)).Decode(response)
	took, bytes := transfer.Elapsed()
	if err != nil {
		return errors.Wrap(&transferError{err: transfer.Explain(err), bytes: bytes, took: took}, "feed: decode response")
	}
	for _, err := range response.Events.Omitted {
		telemetry.Warn(s.logger, "feed entry omitted", "source", u.name(), "err", err)
	}
	if response.age() > maxStateAge {
		return errors.Newf("feed: stale state, %v old", response.age())
	}
	if slices.Contains(response.Via, s.members.Name()) {
		return errLoop
	}
	response.AgeMillis += took.Milliseconds()
	return nil
}

// errLoop is returned for a state that came through this process: it holds nothing new,
// and reading it would hide that no process of the loop reads the store.
var errLoop = errors.New("feed: state came through this process")

// transferError is the error of a response body that was not received completely.
type transferError struct {
	err error
	// bytes is the number of bytes received within took.
	bytes int64
	took  time.Duration
}

// Error implements the error interface.
func (e *transferError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *transferError) Unwrap() error { return e.err }

// fields returns the key-value pairs of the error for the log; e may be nil.
func (e *transferError) fields() []any {
	if e == nil {
		return nil
	}
	return []any{"bytes", e.bytes, "transfer_ms", e.took.Milliseconds()}
}
