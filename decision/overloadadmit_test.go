package decision

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against one stream whose first event was delayed by something else, and that makes a
// gateway take all engines for slow.
func TestOneSlowFirstEventBarelyChangesThePace(t *testing.T) {
	convey.Convey("The pace stays near 1 after one first event of 10 s", t, func() {
		var p PrefillPace
		for range 200 {
			p.Observe(300*time.Millisecond, 300*time.Millisecond)
		}
		p.Observe(300*time.Millisecond, 10*time.Second)
		convey.So(p.Factor(), convey.ShouldBeLessThan, 1.2)
		for range 100 {
			p.Observe(300*time.Millisecond, 750*time.Millisecond)
		}
		convey.So(p.Factor(), convey.ShouldAlmostEqual, 2.5, 0.05)
	})
}

// Guards against engines that cannot be used and that hide the overload of the others, or
// look overloaded themselves.
func TestUnreachableTargetsDoNotCountForCalm(t *testing.T) {
	for _, tt := range []struct {
		name                   string
		reachable, unreachable PlacementTarget
		calm                   bool
	}{
		{"idle ones do not hide overload", PlacementTarget{Slots: 24, Requests: 20}, PlacementTarget{Slots: 24}, false},
		{"they do not lower the mean backlog", PlacementTarget{Slots: 24, PrefillTokens: 1500}, PlacementTarget{Slots: 24}, false},
		{"full ones do not cancel calm", PlacementTarget{Slots: 24}, PlacementTarget{Slots: 24, Requests: 40, PrefillTokens: 9000}, true},
	} {
		convey.Convey("Unreachable engines: "+tt.name, t, func() {
			tt.unreachable.Unreachable = true
			w := AdmissionWork{PlacementWork: PlacementWork{PromptTokens: 2200}, Objective: 1500 * time.Millisecond, Patience: 6 * time.Second, Limit: 6 * time.Second}
			a := Admit(&w, []PlacementTarget{tt.reachable, tt.unreachable, tt.unreachable}, QueueAhead{})
			convey.So(a.Calm, convey.ShouldEqual, tt.calm)
		})
	}
}

// Guards against prompts that no target with a small backlog takes because of their size.
func TestLargePromptsFindRoomAtSmallBacklogs(t *testing.T) {
	held := &Holdback{UrgentObjective: 1500 * time.Millisecond, UrgentPromptTokens: 2600}
	for _, tt := range []struct {
		name      string
		prompt    int
		objective time.Duration
		holdback  *Holdback
		slowdown  float64
		decoding  int
		backlog   int
		hasRoom   bool
	}{
		{"held, above 3400 tokens", 3400, 4 * time.Second, held, 1, 24, 700, true},
		{"held, 6000 tokens", 6000, 4 * time.Second, held, 1, 24, 700, true},
		{"held, at a slower engine", 3000, 4 * time.Second, held, 1.1, 24, 700, true},
		{"urgent, 5000 tokens beside a full batch", 5000, 1500 * time.Millisecond, nil, 1, 23, 700, true},
		{"urgent, late beside a full batch", 6300, 1500 * time.Millisecond, nil, 1, 23, 700, false},
	} {
		convey.Convey("Room for a prompt: "+tt.name, t, func() {
			w := AdmissionWork{
				PlacementWork: PlacementWork{PromptTokens: tt.prompt, KVTokens: tt.prompt, Long: tt.holdback != nil},
				Objective:     tt.objective, Patience: 6 * time.Second, Limit: 30 * time.Second, Holdback: tt.holdback,
			}
			target := PlacementTarget{Slots: 24, Requests: 23, DecodingStreams: tt.decoding, PrefillTokens: tt.backlog, Slowdown: tt.slowdown}
			for _, others := range []int{0, MaxSearching} {
				a := Admit(&w, []PlacementTarget{target}, QueueAhead{Others: others})
				convey.So(len(a.Rooms) == 1, convey.ShouldEqual, tt.hasRoom)
			}
		})
	}
}

// Guards against short held work that leaves KV memory to urgent work although it frees its
// own at once, and against long urgent work that fills a cache while another has room.
func TestKVMemoryIsKeptFromLongWorkOnly(t *testing.T) {
	held := &Holdback{UrgentObjective: 1800 * time.Millisecond, UrgentPromptTokens: 2600}
	work := func(long bool, h *Holdback) *AdmissionWork {
		return &AdmissionWork{
			PlacementWork: PlacementWork{PromptTokens: 2200, KVTokens: 2300, Long: long},
			Objective:     1800 * time.Millisecond, Patience: 7 * time.Second, Limit: 30 * time.Second, Holdback: h,
		}
	}
	target := func(kvTokens int) PlacementTarget {
		return PlacementTarget{Slots: 24, Requests: 13, KVTokens: kvTokens, KVCapacityTokens: 26900}
	}
	rooms := func(w *AdmissionWork, targets ...PlacementTarget) int {
		return len(Admit(w, targets, QueueAhead{}).Rooms)
	}
	convey.Convey("Held work", t, func() {
		convey.So(rooms(work(true, held), target(23000)), convey.ShouldEqual, 0)
		convey.So(rooms(work(false, held), target(23000)), convey.ShouldEqual, 1)
		convey.So(rooms(work(false, held), target(26000)), convey.ShouldEqual, 0)
	})
	convey.Convey("Urgent work", t, func() {
		convey.So(rooms(work(true, nil), target(26000), target(10000)), convey.ShouldEqual, 1)
		convey.So(rooms(work(true, nil), target(26000), target(26000)), convey.ShouldEqual, 2)
		convey.So(rooms(work(false, nil), target(26000), target(10000)), convey.ShouldEqual, 2)
	})
}

// Guards against a stream that is refused at once because of its client's estimate of the
// output alone.
func TestOutputHintAloneCausesNoRefusal(t *testing.T) {
	w := AdmissionWork{
		PlacementWork: PlacementWork{PromptTokens: 2200}, Objective: 1500 * time.Millisecond, Patience: 6 * time.Second, Limit: 6 * time.Second, OutputTokens: 100000,
	}
	target := PlacementTarget{Slots: 24, Requests: 20, DecodingStreams: 20, PrefillTokens: 1300}
	convey.Convey("A stream with a large estimate starts if it finds room", t, func() {
		convey.So(Admit(&w, []PlacementTarget{target}, QueueAhead{}).Action, convey.ShouldEqual, AdmitOnTime)
		w.Waited = 4 * time.Second
		convey.So(Admit(&w, []PlacementTarget{target}, QueueAhead{}).Action, convey.ShouldEqual, AdmitRefuse)
	})
}
