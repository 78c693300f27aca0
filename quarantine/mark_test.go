package quarantine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStatus(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	ago := func(d time.Duration) int64 { return now.Add(-d).UnixMilli() }
	cases := []struct {
		name string
		mark Mark
		want Status
	}{
		{"nothing", Mark{}, Clear},
		{"one death", Mark{Deaths: map[string]int64{"a": ago(time.Minute)}}, Suspect},
		{"an old death", Mark{Deaths: map[string]int64{"a": ago(SuspectLife + time.Second)}}, Clear},
		{"two deaths", Mark{Deaths: map[string]int64{"a": ago(time.Hour), "b": ago(time.Minute)}}, Quarantined},
		{"an expired quarantine", Mark{Deaths: map[string]int64{"a": ago(Life + time.Hour), "b": ago(Life + time.Second)}}, Clear},
		{"lifted", Mark{Deaths: map[string]int64{"a": ago(3 * time.Second), "b": ago(2 * time.Second)}, LiftedMillis: ago(time.Second)}, Clear},
		{"a death after the lifting", Mark{Deaths: map[string]int64{"a": ago(3 * time.Second), "b": ago(time.Second)}, LiftedMillis: ago(2 * time.Second)}, Suspect},
	}
	for _, c := range cases {
		if got := c.mark.Status(now); got != c.want {
			t.Errorf("%s: status %d, want %d", c.name, got, c.want)
		}
	}
}

func TestTable(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	Convey("A second death is blamed on the suspect alone", t, func() {
		table := NewTable()
		table.Blame("d1", []string{"poison", "innocent"}, now)
		So(table.Status("innocent", now), ShouldEqual, Suspect)
		table.Clear("innocent", now.Add(time.Second))
		So(table.Status("innocent", now.Add(time.Second)), ShouldEqual, Clear)
		table.Blame("d2", []string{"poison", "innocent", "other"}, now.Add(2*time.Second))
		So(table.Status("poison", now.Add(2*time.Second)), ShouldEqual, Quarantined)
		So(table.Status("innocent", now.Add(2*time.Second)), ShouldEqual, Clear)
		So(table.Status("other", now.Add(2*time.Second)), ShouldEqual, Clear)
		So(table.Clear("poison", now.Add(3*time.Second)), ShouldBeEmpty)
	})
	Convey("Marks merge in any order to the same, once", t, func() {
		marks := []Mark{
			{Fingerprint: "f", Deaths: map[string]int64{"d1": now.UnixMilli()}},
			{Fingerprint: "f", LiftedMillis: now.UnixMilli() + 1},
			{Fingerprint: "f", Deaths: map[string]int64{"d2": now.UnixMilli() + 2}},
		}
		forward, back := NewTable(), NewTable()
		for i := range marks {
			forward.Merge(marks[i])
			back.Merge(marks[len(marks)-1-i])
		}
		So(forward.Shared(now), ShouldResemble, back.Shared(now))
		So(forward.Merge(marks...), ShouldBeEmpty)
	})
	Convey("Expired marks are dropped", t, func() {
		table := NewTable()
		table.Blame("d1", []string{"f"}, now)
		So(table.Shared(now.Add(Life+time.Second)), ShouldBeEmpty)
		So(table.marks, ShouldBeEmpty)
	})
}
