package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/httpwire"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// place chooses a target for a request, nil if there is none. Targets that are
// excluded are not considered.
func (g *Gateway) place(req *request, exclude map[string]bool) *registry.Target {
	now := time.Now()
	ready := g.targets.View().Ready(req.service.Name)
	candidates := make([]decision.PlacementTarget, 0, len(ready))
	targets := make([]*registry.Target, 0, len(ready))
	for _, t := range ready {
		if exclude[t.ID] {
			continue
		}
		targets = append(targets, t)
		candidates = append(candidates, g.candidate(req, t, now))
	}
	work := req.work()
	costs := g.costs.Shared(g.members.Count(), work)
	best := costs.Pick(work, candidates, rand.Float64())
	if best < 0 {
		return nil
	}
	t := targets[best]
	c := candidates[best]
	telemetry.Info(g.o.Logger, "placed", "request", req.ID, "route", req.route.Name, "service", req.service.Name,
		"workspace", req.workspace, "target", t.ID, "of", len(targets), "requests", c.Requests, "prefill_tokens", c.PrefillTokens,
		"memory_tokens", c.MemoryTokens, "slowdown", c.Slowdown, "revision", g.targets.View().Revision, "config_version", req.version)
	return t
}

// Backups of runs.
const (
	// backupOutput is the expected output in tokens from which on a run is worth
	// a backup: shorter ones end before their copy is complete.
	backupOutput = 64
	// copyHorizon is the time in which a backup should be complete: less than
	// the notice with which engines leave.
	copyHorizon = time.Second
	// backupFill is the part of a target's memory up to which it takes backups;
	// the rest is for the growth of its own runs. copyFill is the same for
	// copies of runs that would be lost.
	backupFill = 0.5
	copyFill   = 0.95
	// ownFillLimit is the part of the service's memory that its own runs use up to
	// which there are backups at all: beyond, the room is worth more to runs that
	// leave their targets.
	ownFillLimit = 0.4
)

// placeBackup chooses the target that receives a copy of a run's memory, nil
// for none.
func (g *Gateway) placeBackup(req *request, primary *registry.Target) *registry.Target {
	e := req.service.Engine
	if e == nil || !e.Backups || req.expectedOutput() < backupOutput {
		return nil
	}
	targets, candidates := g.copyTargets(req, primary, backupFill)
	if backupFill*decision.OwnFill(candidates) > ownFillLimit {
		return g.placedCopy(req, primary, targets, candidates, -1, "backup, crowded")
	}
	copying := decision.Copying{TokenMillis: e.CopyMillis(), HorizonMillis: float64(copyHorizon.Milliseconds())}
	i := copying.BestBackup(req.work(), candidates, rand.Float64(), rand.Float64())
	return g.placedCopy(req, primary, targets, candidates, i, "backup")
}

// placeCopy chooses a target for a copy of a run that leaves its own, nil if
// none has room. Many runs leave at once, from several gateways.
func (g *Gateway) placeCopy(req *request, primary *registry.Target) *registry.Target {
	targets, candidates := g.copyTargets(req, primary, copyFill)
	i := decision.SpreadCopy(req.work(), candidates, rand.Float64())
	return g.placedCopy(req, primary, targets, candidates, i, "on order")
}

// copyTargets returns what is known of the targets that may hold a copy, with
// the given part of their memory. The link between regions is too narrow for
// memory: a copy there is not complete in time and holds up those behind it.
func (g *Gateway) copyTargets(req *request, primary *registry.Target, fill float64) ([]*registry.Target, []decision.BackupTarget) {
	now := time.Now()
	var targets []*registry.Target
	var candidates []decision.BackupTarget
	for _, t := range g.targets.View().Ready(req.service.Name) {
		if t.ID == primary.ID {
			continue
		}
		c := decision.BackupTarget{PlacementTarget: g.candidate(req, t, now)}
		c.MemoryTotal = int(fill * float64(c.MemoryTotal))
		if c.Distance = g.between(primary.Datacentre, t.Datacentre); c.Distance == decision.OtherRegion {
			continue
		}
		_, _, c.ArrivingTokens = t.Account.SentSince(now.Add(-copyHorizon))
		targets = append(targets, t)
		candidates = append(candidates, c)
	}
	return targets, candidates
}

// placedCopy logs and returns the choice of a target for a copy.
func (g *Gateway) placedCopy(req *request, primary *registry.Target, targets []*registry.Target, candidates []decision.BackupTarget, i int, why string) *registry.Target {
	if i < 0 {
		telemetry.Info(g.o.Logger, "no place for a copy", "request", req.ID, "why", why, "primary", primary.ID, "of", len(targets))
		return nil
	}
	c := candidates[i]
	telemetry.Info(g.o.Logger, "copy placed", "request", req.ID, "why", why, "primary", primary.ID, "target", targets[i].ID, "of", len(targets),
		"memory_tokens", c.MemoryTokens, "memory_limit", c.MemoryTotal, "arriving_tokens", c.ArrivingTokens)
	return targets[i]
}

func (r *request) work() decision.PlacementWork {
	return decision.PlacementWork{
		PromptTokens: r.PromptTokens, MemoryTokens: r.PromptTokens + r.expectedOutput(), Long: r.expectedOutput() >= backupOutput,
	}
}

// expectedOutput is the expected number of output tokens.
func (r *request) expectedOutput() int {
	if r.OutputHint > 0 {
		return min(r.OutputHint, r.MaxOutput)
	}
	return r.MaxOutput / 2
}

// Use of observations.
const (
	// observationAge is how long an engine's own account is believed: several
	// times the period of its lines.
	observationAge = 700 * time.Millisecond
	// observationLag is how old an account is on arrival, at most.
	observationLag = 150 * time.Millisecond
	// typicalPrompt and typicalGrowth are the tokens of a request of which only
	// the number is known: its prompt, half of it read, and its output to come.
	typicalPrompt = 2600
	typicalGrowth = 500
)

func (g *Gateway) candidate(req *request, t *registry.Target, now time.Time) decision.PlacementTarget {
	c := decision.PlacementTarget{
		Distance: g.distance(t.Datacentre), Slots: t.Slots,
		Requests: int(t.Account.Requests.Load()), PrefillTokens: int(t.Account.Prefill.Load()),
		Slowdown: g.paces.slowdown(t.ID, now),
		Warming:  now.Before(t.Since.Add(t.Warming)),
	}
	e := req.service.Engine
	if e == nil {
		return c
	}
	c.MemoryTokens = int(t.Account.Memory.Load())
	c.MemoryTotal = e.MemoryTokens
	o := t.Account.Observed(now, observationAge)
	if o == nil {
		return c
	}
	requests, prompt, memory := t.Account.SentSince(o.At.Add(-observationLag))
	c.Requests = max(c.Requests, o.Running+o.Queued+requests)
	c.PrefillTokens = max(c.PrefillTokens, o.Prefilling*typicalPrompt/2+o.Queued*typicalPrompt+prompt)
	c.MemoryTokens = max(c.MemoryTokens, o.MemoryUsed+o.Generating*typicalGrowth+memory)
	c.CopyTokens = o.MemoryCopies
	c.Usual = o.Usual
	c.Generating = o.Generating
	c.Lost = o.Lost
	return c
}

func (g *Gateway) distance(datacentre string) decision.Distance {
	return g.between(g.o.Datacentre, datacentre)
}

func (g *Gateway) between(a, b string) decision.Distance {
	switch {
	case a == b:
		return decision.SameDatacentre
	case g.o.Regions[a] == g.o.Regions[b]:
		return decision.SameRegion
	}
	return decision.OtherRegion
}

// attempt is one exchange with a target.
type attempt struct {
	target *registry.Target
	conn   *httpwire.Conn
	resp   *http.Response
	answer Answer
	stop   func() bool
	// sent is set once the target may have got the request, mixed once an answer
	// to another request came on the connection.
	sent  bool
	mixed bool
}

var (
	errForeignAnswer = errors.New("answer to another request")
	errUnsigned      = errors.New("answer that the target did not make")
)

// maxForeignAnswers bounds late answers to earlier requests that are skipped on
// a connection, maxForeignBytes their bodies.
const (
	maxForeignAnswers = 3
	maxForeignBytes   = 1 << 20
)

// send dispatches a request to a target and reads the head of its answer. The
// caller closes the attempt. An attempt is returned also with an error.
func (g *Gateway) send(ctx context.Context, req *request, t *registry.Target, a Attempt) (*attempt, error) {
	at := &attempt{target: t}
	conn, err := g.pool.Get(ctx, t.Addr)
	if err != nil {
		return at, errors.Wrap(err, "connect")
	}
	at.conn = conn
	at.stop = conn.Watch(ctx)
	msg := req.message
	msg.Header = msg.Header.Clone()
	a.Target = t.ID
	a.Workspace = req.workspace
	a.Urgency = req.urgency
	a.Remaining = req.remaining(time.Now())
	g.o.Codec.Attempt(msg.Header, &a)
	at.sent = true
	if err := conn.Send(&msg); err != nil {
		return at, err
	}
	return at, g.receive(at, req)
}

// receive reads heads until the one that answers the request.
func (g *Gateway) receive(at *attempt, req *request) error {
	for range maxForeignAnswers {
		resp, err := at.conn.Receive(req.message.Method)
		if err != nil {
			return err
		}
		at.resp = resp
		at.answer = g.o.Codec.Answer(resp)
		if at.answer.RequestID == req.ID {
			g.paces.learn(at.target.ID, at.answer.Load, time.Now())
			return nil
		}
		telemetry.Warn(g.o.Logger, "skipped an answer to another request", "request", req.ID, "answer", at.answer.RequestID,
			"target", at.target.ID, "status", resp.StatusCode, "reused", at.conn.Reused())
		at.mixed = true
		if _, err := httpwire.ReadBody(resp.Body, maxForeignBytes); err != nil || resp.Close {
			return errForeignAnswer
		}
	}
	return errForeignAnswer
}

// Reuse of connections to targets whose idle timeout is not known, and the part
// of a known one that is used.
const (
	idleReuse     = 2 * time.Second
	idleReusePart = 0.6
)

// release ends an attempt. The connection is kept if its answer was read to the
// end and nothing else has arrived.
func (g *Gateway) release(at *attempt, complete bool) {
	if at.conn == nil {
		return
	}
	if !at.stop() || !complete || at.mixed || !at.conn.Reusable(at.resp) {
		at.conn.Close()
		return
	}
	within := idleReuse
	if at.answer.IdleTimeout > 0 {
		within = time.Duration(idleReusePart * float64(at.answer.IdleTimeout))
	}
	g.pool.Put(at.conn, within)
}
