package quarantine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStatus checks which crashes count. It guards against a content that stays
// suspect or quarantined after the crashes have expired or were lifted.
func TestStatus(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	ago := func(d time.Duration) int64 { return now.Add(-d).UnixMilli() }
	cases := []struct {
		name string
		mark Mark
		want Status
	}{
		{"no crash", Mark{}, Clear},
		{"one crash", Mark{Crashes: map[string]int64{"a": ago(time.Minute)}}, Suspect},
		{"one crash longer ago than SuspectTTL", Mark{Crashes: map[string]int64{"a": ago(SuspectTTL + time.Second)}}, Clear},
		{"two crashes", Mark{Crashes: map[string]int64{"a": ago(time.Hour), "b": ago(time.Minute)}}, Quarantined},
		{"an expired quarantine", Mark{Crashes: map[string]int64{"a": ago(MarkTTL + time.Hour), "b": ago(MarkTTL + time.Second)}}, Clear},
		{"lifted", Mark{Crashes: map[string]int64{"a": ago(3 * time.Second), "b": ago(2 * time.Second)}, LiftedMillis: ago(time.Second)}, Clear},
		{"a crash after the lifting", Mark{Crashes: map[string]int64{"a": ago(3 * time.Second), "b": ago(time.Second)}, LiftedMillis: ago(2 * time.Second)}, Suspect},
	}
	for _, c := range cases {
		if got := c.mark.Status(now); got != c.want {
			t.Errorf("%s: status %v, want %v", c.name, got, c.want)
		}
	}
}

// TestTable guards against a quarantine of harmless contents that ran beside the
// cause of a crash, against marks that differ between processes because messages
// arrived in another order, and against a table that grows without bound.
func TestTable(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	Convey("Only the suspect is marked for a second crash", t, func() {
		table := NewTable()
		table.RecordCrash("crash-1", []string{"culprit", "harmless"}, now)
		So(table.Status("harmless", now), ShouldEqual, Suspect)
		table.ClearSuspect("harmless", now.Add(time.Second))
		So(table.Status("harmless", now.Add(time.Second)), ShouldEqual, Clear)
		table.RecordCrash("crash-2", []string{"culprit", "harmless", "other"}, now.Add(2*time.Second))
		So(table.Status("culprit", now.Add(2*time.Second)), ShouldEqual, Quarantined)
		So(table.Status("harmless", now.Add(2*time.Second)), ShouldEqual, Clear)
		So(table.Status("other", now.Add(2*time.Second)), ShouldEqual, Clear)
		So(table.ClearSuspect("culprit", now.Add(3*time.Second)), ShouldBeEmpty)
	})
	Convey("Marks merge to the same result in any order and merging again changes nothing", t, func() {
		marks := []Mark{
			{Fingerprint: "f", Crashes: map[string]int64{"crash-1": now.UnixMilli()}},
			{Fingerprint: "f", LiftedMillis: now.UnixMilli() + 1},
			{Fingerprint: "f", Crashes: map[string]int64{"crash-2": now.UnixMilli() + 2}},
		}
		forward, reverse := NewTable(), NewTable()
		for i := range marks {
			forward.Merge(marks[i])
			reverse.Merge(marks[len(marks)-1-i])
		}
		So(forward.MarksToSend(now), ShouldResemble, reverse.MarksToSend(now))
		So(forward.Merge(marks...), ShouldBeEmpty)
	})
	Convey("Expired marks are removed", t, func() {
		table := NewTable()
		table.RecordCrash("crash-1", []string{"f"}, now)
		So(table.MarksToSend(now.Add(MarkTTL+time.Second)), ShouldBeEmpty)
		So(table.marks, ShouldBeEmpty)
	})
}
