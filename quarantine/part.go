package quarantine

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Prefixes of the store keys of the evidence of prompt parts, and of the claims of trials.
const (
	PartPrefix      = "/quetzalglade/parts/"
	partTrialPrefix = "/quetzalglade/part-trials/"
)

// Limits of the exchange of evidence.
const (
	// maxPendingParts is the size of the queue of evidence to be written to the store.
	maxPendingParts = 256
	// verdictTTL is how long a verdict is used before it is computed again, since
	// crashes expire.
	verdictTTL = time.Second
	// trialClaimTimeout limits the claim of a trial, which a request waits for.
	trialClaimTimeout = 300 * time.Millisecond
)

// PartSender sends evidence to the other processes. It must not block.
type PartSender func(evidence []decision.PartEvidence)

// PartKeeper holds the evidence of prompt parts that crash targets, shares it through the
// store and in messages, and decides which parts are quarantined. It is a suture service that
// writes to the store, and a kvstore.Follower of the keys under PartPrefix. Its other
// methods may be called from any goroutine.
type PartKeeper struct {
	store  kvstore.Store
	logger log.Logger
	send   PartSender
	// pending holds the parts whose evidence must be written.
	pending chan string

	mu      sync.Mutex
	history *decision.PartHistory
	// trials holds the ID of the last trial of each part that this process claimed.
	trials map[string]int64
	// waiting holds the requests whose answers have not begun.
	waiting  map[*PartRequest]bool
	verdicts atomic.Pointer[partVerdicts]
	// written holds the parts whose evidence this process has written. restoredAt is when the
	// store was last found restored, zero if never; era is that of the last list.
	written    map[string]bool
	restoredAt time.Time
	era        int64
	// restores is used only by the goroutine that follows the store.
	restores kvstore.RestoreDetector
}

// PartRequest is a request that runs at a target and whose answer has not begun.
type PartRequest struct {
	parts        []string
	onQuarantine func()
}

// partVerdicts are the quarantined parts at one time.
type partVerdicts struct {
	quarantined map[string]decision.QuarantinedPart
	at          time.Time
}

// NewPartKeeper returns a keeper without evidence.
func NewPartKeeper(store kvstore.Store, logger log.Logger, send PartSender) *PartKeeper {
	k := &PartKeeper{
		store: store, logger: logger, send: send, pending: make(chan string, maxPendingParts),
		history: decision.NewPartHistory(), trials: map[string]int64{}, waiting: map[*PartRequest]bool{}, written: map[string]bool{},
	}
	k.verdicts.Store(&partVerdicts{})
	return k
}

// Reset implements kvstore.Follower. Evidence that is missing from the store is kept. After
// a restore of the store, what this process has written is written again.
func (k *PartKeeper) Reset(kvs []kvstore.KV, position kvstore.Position) {
	for i := range kvs {
		k.mergeEncoded(&kvs[i])
	}
	isRestored := k.restores.Reset(position)
	k.mu.Lock()
	k.era = position.Era
	if !isRestored {
		k.mu.Unlock()
		return
	}
	k.restoredAt = time.Now()
	parts := slices.Collect(maps.Keys(k.written))
	k.mu.Unlock()
	telemetry.Warn(k.logger, "store restored", "following", "prompt parts", "era", position.Era, "rewritten", len(parts))
	time.AfterFunc(rand.N(rewriteSpread), func() {
		for _, part := range parts {
			k.enqueue(part)
		}
	})
}

// Apply implements kvstore.Follower.
func (k *PartKeeper) Apply(batch kvstore.WatchBatch) {
	for i := range batch.Events {
		if !batch.Events[i].Deleted {
			k.mergeEncoded(&batch.Events[i].KV)
		}
	}
}

// Disconnected implements kvstore.Follower. Evidence is kept while the store is
// unavailable.
func (k *PartKeeper) Disconnected(error) {}

func (k *PartKeeper) mergeEncoded(kv *kvstore.KV) {
	var e decision.PartEvidence
	if err := json.Unmarshal(kv.Value, &e); err != nil || e.Part == "" {
		telemetry.Warn(k.logger, "malformed part evidence", "key", kv.Key, "err", err)
		return
	}
	k.Merge(e)
}

// Merge adds evidence that was received from another process.
func (k *PartKeeper) Merge(evidence ...decision.PartEvidence) {
	k.update(func() []decision.PartEvidence { return k.history.Merge(evidence...) })
}

// RecordCrash records the crash of a target that ran a request with these parts, whose
// answer had not begun.
func (k *PartKeeper) RecordCrash(crashID string, parts []string) {
	now := time.Now()
	k.update(func() []decision.PartEvidence { return k.history.RecordCrash(crashID, parts, now) })
}

// RecordSound records an answer of a request with these parts that began at the given
// time and that its target survived.
func (k *PartKeeper) RecordSound(parts []string, began time.Time) {
	now := time.Now()
	k.update(func() []decision.PartEvidence { return k.history.RecordSound(parts, began, now) })
}

// update changes the history, publishes new verdicts and shares the changed evidence.
func (k *PartKeeper) update(change func() []decision.PartEvidence) {
	k.mu.Lock()
	version := k.history.Version()
	shared := change()
	if k.history.Version() != version {
		k.publish(time.Now())
	}
	k.mu.Unlock()
	if len(shared) == 0 {
		return
	}
	k.send(shared)
	for _, e := range shared {
		k.enqueue(e.Part)
	}
}

// enqueue queues the evidence of a part to be written to the store.
func (k *PartKeeper) enqueue(part string) {
	select {
	case k.pending <- part:
	default:
		telemetry.Warn(k.logger, "part evidence not stored, write queue full", "part", part)
	}
}

// publish computes the verdicts. Callers hold the lock.
func (k *PartKeeper) publish(now time.Time) {
	previous := k.verdicts.Load()
	quarantined := k.history.Quarantined(now)
	k.verdicts.Store(&partVerdicts{quarantined: quarantined, at: now})
	for part, h := range quarantined {
		if _, ok := previous.quarantined[part]; !ok {
			telemetry.Warn(k.logger, "prompt part quarantined", "part", part, "crashes", h.Crashes)
			k.notifyWaiting(part)
		}
	}
	for part := range previous.quarantined {
		if _, ok := quarantined[part]; !ok {
			telemetry.Info(k.logger, "prompt part released", "part", part)
			delete(k.trials, part)
		}
	}
}

// notifyWaiting calls onQuarantine of the requests with a part that is quarantined from now on.
// Callers hold the lock.
func (k *PartKeeper) notifyWaiting(part string) {
	for r := range k.waiting {
		if slices.Contains(r.parts, part) {
			r.onQuarantine()
		}
	}
}

// Watch registers a request that is sent to a target. onQuarantine is called, and must not
// block, if one of its parts is quarantined before Unwatch.
func (k *PartKeeper) Watch(parts []string, onQuarantine func()) *PartRequest {
	r := &PartRequest{parts: parts, onQuarantine: onQuarantine}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting[r] = true
	return r
}

// Unwatch ends the registration of a request. Further calls have no effect.
func (k *PartKeeper) Unwatch(r *PartRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, r)
}

// Quarantined returns the first of the parts that is quarantined. ok is false if there is none.
func (k *PartKeeper) Quarantined(parts []string) (part string, h decision.QuarantinedPart, ok bool) {
	v := k.verdicts.Load()
	if len(v.quarantined) > 0 && time.Since(v.at) > verdictTTL {
		k.mu.Lock()
		k.publish(time.Now())
		k.mu.Unlock()
		v = k.verdicts.Load()
	}
	for _, p := range parts {
		if h, ok := v.quarantined[p]; ok {
			return p, h, true
		}
	}
	return "", decision.QuarantinedPart{}, false
}

// ClaimTrial reports whether one request with a quarantined part may run now as a trial. Among
// all processes, one gets each trial; without the store, none does. A restore of the store may
// have lost the claims of the trials that were due before it, so none of these is claimed.
func (k *PartKeeper) ClaimTrial(ctx context.Context, part string, h decision.QuarantinedPart) bool {
	id, ok := h.Trial(time.Now())
	if !ok {
		return false
	}
	k.mu.Lock()
	isFirst := k.trials[part] != id
	k.trials[part] = id
	mayBeLost := !k.restoredAt.IsZero() && id <= k.restoredAt.UnixMilli()
	listedEra := k.era
	k.mu.Unlock()
	if !isFirst || mayBeLost {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	key := partTrialPrefix + part + "/" + strconv.FormatInt(id, 10)
	lease, err := k.store.Grant(ctx, decision.PartEvidenceTTL)
	if err != nil {
		return false
	}
	resp, err := k.store.Commit(ctx, kvstore.Txn{
		Era: listedEra, Compares: []kvstore.Compare{{Key: key}}, Ops: []kvstore.Op{{Key: key, Value: []byte("{}"), Lease: lease}},
	})
	won := err == nil && resp.Applied
	telemetry.Info(k.logger, "prompt part trial", "part", part, "crashes", h.Crashes, "won", won, "err", err)
	return won
}

// Serve implements suture.Service. It writes changed evidence to the store, with retries,
// until ctx ends.
func (k *PartKeeper) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case part := <-k.pending:
			// Before the write, so that a restore during it does not miss the part.
			k.markWritten(part)
			for failures := 1; ctx.Err() == nil; failures++ {
				if k.put(ctx, part) == nil {
					break
				}
				backOff(ctx, failures)
			}
		}
	}
}

// markWritten remembers that this process has written the evidence of a part.
func (k *PartKeeper) markWritten(part string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.written) >= maxPendingParts {
		maps.DeleteFunc(k.written, func(p string, _ bool) bool { return len(k.history.Evidence(p).Crashes) == 0 })
	}
	k.written[part] = true
}

// String names the service in the supervisor's log.
func (k *PartKeeper) String() string { return "prompt parts" }

// put merges the evidence of a part into that in the store.
func (k *PartKeeper) put(ctx context.Context, part string) error {
	k.mu.Lock()
	evidence := k.history.Evidence(part)
	k.mu.Unlock()
	era := k.store.Era()
	kv, err := k.store.Get(ctx, PartPrefix+part)
	if err != nil {
		return err
	}
	var revision int64
	if kv != nil {
		revision = kv.ModRevision
		var stored decision.PartEvidence
		if json.Unmarshal(kv.Value, &stored) == nil {
			if evidence = decision.MergePartEvidence(evidence, stored); evidence.Equal(&stored) {
				return nil
			}
		}
	}
	data, err := json.Marshal(evidence)
	if err != nil {
		return errors.Wrap(err, "encode part evidence")
	}
	lease, err := k.store.Grant(ctx, decision.PartEvidenceTTL)
	if err != nil {
		return err
	}
	resp, err := k.store.Commit(ctx, kvstore.Txn{
		Era:      era,
		Compares: []kvstore.Compare{{Key: PartPrefix + part, ModRevision: revision}},
		Ops:      []kvstore.Op{{Key: PartPrefix + part, Value: data, Lease: lease}},
	})
	if err == nil && !resp.Applied {
		return errWriteConflict
	}
	return err
}
