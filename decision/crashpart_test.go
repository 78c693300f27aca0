package decision

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCrashingPartIsTheOneWithoutSoundRuns guards against the quarantine of parts that sound
// requests share with the part that crashes targets.
func TestCrashingPartIsTheOneWithoutSoundRuns(t *testing.T) {
	start := time.UnixMilli(1_000_000_000)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	Convey("Parts that were sound before the crashes are spared if nothing else tells them apart", t, func() {
		h := NewPartHistory()
		h.RecordSound([]string{"first"}, at(0), at(0.5))
		for i := range 3 {
			h.RecordCrash(fmt.Sprint("crash-", i), []string{"first", "rare", "bad"}, at(1+float64(i)))
		}
		quarantined := h.Quarantined(at(4))
		So(quarantined, ShouldHaveLength, 2)
		So(quarantined, ShouldContainKey, "rare")
		So(quarantined, ShouldContainKey, "bad")
	})
	Convey("A sound run after the crashes clears a part, also one that another process saw", t, func() {
		h := NewPartHistory()
		for i := range 3 {
			h.RecordCrash(fmt.Sprint("crash-", i), []string{"rare", "bad"}, at(1+float64(i)))
		}
		other := NewPartHistory()
		other.RecordSound([]string{"rare"}, at(3.5), at(4))
		changed := other.Merge(h.evidence["rare"], h.evidence["bad"])
		So(changed, ShouldHaveLength, 1)
		h.Merge(changed...)
		quarantined := h.Quarantined(at(5))
		So(quarantined, ShouldHaveLength, 1)
		So(quarantined, ShouldContainKey, "bad")
	})
	Convey("Two parts that crash targets are both quarantined", t, func() {
		h := NewPartHistory()
		for i := range 4 {
			h.RecordCrash(fmt.Sprint("one-", i), []string{"first", "bad-1"}, at(float64(i)))
			h.RecordCrash(fmt.Sprint("two-", i), []string{"first", "bad-2"}, at(float64(i)+0.5))
			h.RecordSound([]string{"first"}, at(float64(i)+0.7), at(float64(i)+0.8))
		}
		quarantined := h.Quarantined(at(5))
		So(quarantined, ShouldHaveLength, 2)
		So(quarantined["bad-1"].Crashes, ShouldEqual, 4)
		So(quarantined["bad-2"].Crashes, ShouldEqual, 4)
	})
	Convey("Crashes expire, and a part with many crashes gets no trial", t, func() {
		h := NewPartHistory()
		for i := range 3 {
			h.RecordCrash(fmt.Sprint("crash-", i), []string{"bad"}, at(float64(i)))
		}
		trialAt, ok := h.Quarantined(at(3))["bad"].TrialAt()
		So(ok, ShouldBeTrue)
		So(trialAt, ShouldEqual, at(2).Add(firstTrialDelay))
		h.RecordCrash("crash-4", []string{"bad"}, at(7))
		h.RecordCrash("crash-5", []string{"bad"}, at(8))
		_, ok = h.Quarantined(at(9))["bad"].TrialAt()
		So(ok, ShouldBeFalse)
		So(h.Quarantined(at(9).Add(PartEvidenceTTL)), ShouldBeEmpty)
		So(h.evidence, ShouldBeEmpty)
	})
	Convey("The memory of sound runs is bounded", t, func() {
		h := NewPartHistory()
		for i := range 3 * maxSoundParts {
			h.RecordSound([]string{fmt.Sprint(i)}, at(float64(i)), at(float64(i)))
		}
		So(len(h.sound), ShouldBeLessThanOrEqualTo, maxSoundParts)
	})
}

// partRequest is a request of a simulated history.
type partRequest struct {
	parts  []string
	target int
	began  time.Time
}

// partSimulation plays requests through gateways that share evidence after a delay.
type partSimulation struct {
	rng      *rand.Rand
	gateways []*PartHistory
	delay    time.Duration
	messages []partMessage
	downTill []time.Time
	running  []partRequest
	bad      map[string]bool
	// crashes holds the times of the crashes of each bad part.
	crashes map[string][]time.Time
	// late counts the requests with a bad part that were dispatched later than
	// stableWindow after its fifth crash. refused and sound count the sound requests with
	// the first part of the bad ones, from two stableWindows after the last crash that
	// counts.
	late, refused, sound int
}

type partMessage struct {
	arrives  time.Time
	evidence []PartEvidence
	from     int
}

// The scenario: the rates and times of the day that the rule describes, and its bounds.
const (
	stableWindow    = 4 * time.Second
	allowedLate     = 3
	fifthCrash      = 5
	prefillTime     = 300 * time.Millisecond
	targetDownTime  = 3 * time.Second
	simulatedTime   = 40 * time.Second
	requestInterval = 100 * time.Millisecond
	badShare        = 0.2
	firstParts      = 8
	middleParts     = 30
	badFirstPart    = "first-0"
	maxRefusedShare = 0.5
	largeFleet      = 400
)

func (s *partSimulation) share(from int, evidence []PartEvidence, now time.Time) {
	if len(evidence) > 0 {
		s.messages = append(s.messages, partMessage{arrives: now.Add(s.delay), evidence: evidence, from: from})
	}
}

func (s *partSimulation) deliver(now time.Time) {
	pending := s.messages
	s.messages = nil
	for _, m := range pending {
		if m.arrives.After(now) {
			s.messages = append(s.messages, m)
			continue
		}
		for i, g := range s.gateways {
			if i != m.from {
				s.share(i, g.Merge(m.evidence...), now)
			}
		}
	}
}

// begin lets the answers begin whose prompts are read, and crashes the targets of those
// with a bad part.
func (s *partSimulation) begin(now time.Time) {
	for i := 0; i < len(s.running); i++ {
		r := s.running[i]
		if now.Before(r.began) {
			continue
		}
		s.running = append(s.running[:i], s.running[i+1:]...)
		i--
		badPart := ""
		for _, p := range r.parts {
			if s.bad[p] {
				badPart = p
			}
		}
		if badPart == "" {
			g := s.rng.IntN(len(s.gateways))
			s.share(g, s.gateways[g].RecordSound(r.parts, r.began, now), now)
			continue
		}
		s.crash(r, badPart, now)
		i = -1
	}
}

func (s *partSimulation) crash(culprit partRequest, badPart string, now time.Time) {
	s.crashes[badPart] = append(s.crashes[badPart], now)
	s.downTill[culprit.target] = now.Add(targetDownTime)
	id := fmt.Sprint(culprit.target, "/", now.UnixMilli())
	kept := s.running[:0]
	for _, r := range append([]partRequest{culprit}, s.running...) {
		if r.target != culprit.target {
			kept = append(kept, r)
			continue
		}
		g := s.rng.IntN(len(s.gateways))
		s.share(g, s.gateways[g].RecordCrash(id, r.parts, now), now)
	}
	s.running = append([]partRequest(nil), kept...)
}

// isSettled reports whether the fifth crash of each bad part, or its last one if there
// are fewer, was more than two stableWindows ago.
func (s *partSimulation) isSettled(now time.Time) bool {
	for _, c := range s.crashes {
		if len(c) > 0 && now.Before(c[min(len(c), fifthCrash)-1].Add(2*stableWindow)) {
			return false
		}
	}
	return len(s.crashes) > 0
}

func (s *partSimulation) arrive(now time.Time, n int) {
	first, middle := s.rng.IntN(firstParts), s.rng.IntN(middleParts)
	parts := []string{fmt.Sprint("first-", first), fmt.Sprint("middle-", middle)}
	badPart := ""
	if s.rng.Float64() < badShare {
		badPart = fmt.Sprint("bad-", s.rng.IntN(len(s.bad)))
		parts = []string{badFirstPart, "middle-bad", badPart}
	}
	quarantined := s.gateways[n%len(s.gateways)].Quarantined(now)
	isQuarantined := false
	for _, p := range parts {
		if _, ok := quarantined[p]; ok {
			isQuarantined = true
		}
	}
	if badPart == "" && parts[0] == badFirstPart && s.isSettled(now) {
		s.sound++
		if isQuarantined {
			s.refused++
		}
	}
	if isQuarantined {
		return
	}
	if c := s.crashes[badPart]; len(c) >= fifthCrash && now.After(c[fifthCrash-1].Add(stableWindow)) {
		s.late++
	}
	for range 10 {
		if target := s.rng.IntN(len(s.downTill)); !now.Before(s.downTill[target]) {
			s.running = append(s.running, partRequest{parts: parts, target: target, began: now.Add(prefillTime)})
			return
		}
	}
}

// TestCrashingPartIsQuarantinedInSeededHistories guards against requests that go on crashing
// targets, and against the refusal of sound requests, in fleets of several sizes with
// several delays between their gateways.
func TestCrashingPartIsQuarantinedInSeededHistories(t *testing.T) {
	for _, gateways := range []int{1, 4, 28, largeFleet} {
		seeds := uint64(4)
		if gateways == largeFleet {
			seeds = 1
		}
		for _, delay := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
			for _, badParts := range []int{1, 3} {
				for seed := range seeds {
					s := &partSimulation{rng: rand.New(rand.NewPCG(seed, 18)), delay: delay, downTill: make([]time.Time, 12), bad: map[string]bool{}, crashes: map[string][]time.Time{}}
					for range gateways {
						s.gateways = append(s.gateways, NewPartHistory())
					}
					for i := range badParts {
						s.bad[fmt.Sprint("bad-", i)] = true
					}
					start := time.UnixMilli(1_000_000_000)
					for n := range int(simulatedTime / requestInterval) {
						now := start.Add(time.Duration(n) * requestInterval)
						s.deliver(now)
						s.begin(now)
						s.arrive(now, s.rng.IntN(gateways))
					}
					if s.late > allowedLate || s.sound == 0 || float64(s.refused) > maxRefusedShare*float64(s.sound) {
						t.Errorf("%d gateways, delay %v, %d bad parts, seed %d: %d requests too late, %d of %d sound requests refused, crashes %d",
							gateways, delay, badParts, seed, s.late, s.refused, s.sound, len(s.crashes["bad-0"]))
					}
				}
			}
		}
	}
}
