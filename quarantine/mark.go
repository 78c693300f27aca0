// Package quarantine identifies request contents that crash engines, so that no
// further engine runs them. A content is identified by its fingerprint. When an
// engine crashes, the contents that it was running become suspects; a second
// crash quarantines a content. The crashes of a content are recorded in its mark.
// Marks are kept in the store with a TTL. Processes also exchange them in
// messages, which works while the store is unavailable.
package quarantine

import (
	"maps"
	"sort"
	"sync"
	"time"
)

// How long crashes count, and the threshold for a quarantine.
const (
	// SuspectTTL is how long a single crash makes a content a suspect.
	SuspectTTL = 10 * time.Minute
	// MarkTTL is how long a crash counts towards a quarantine and how long a mark is
	// kept.
	MarkTTL = 24 * time.Hour
	// quarantineThreshold is the number of crashes that quarantines a content.
	quarantineThreshold = 2
)

// Status is the quarantine status of a request content.
type Status int

// The statuses of a content, in increasing order of severity.
const (
	// Clear means that the content is neither suspect nor quarantined. One crash
	// older than SuspectTTL may still count towards a quarantine.
	Clear Status = iota
	// Suspect means that the content may have caused a crash within SuspectTTL.
	Suspect
	// Quarantined means that the content must not run.
	Quarantined
)

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"clear", "suspect", "quarantined"}[s]
}

// Mark records the engine crashes that one content may have caused. Merging
// marks of the same fingerprint gives the same result in any order.
type Mark struct {
	Fingerprint string `json:"fingerprint"`
	// Crashes maps the ID of each engine crash to its time, in milliseconds since
	// the Unix epoch.
	Crashes map[string]int64 `json:"deaths,omitempty"`
	// LiftedMillis is when the suspect content last ran to completion or an operator
	// last lifted its quarantine, in milliseconds since the Unix epoch. Crashes up to
	// this time do not count.
	LiftedMillis int64 `json:"lifted_ms,omitempty"`
}

// Status returns the status at the given time.
func (m *Mark) Status(now time.Time) Status {
	recent, counted := 0, 0
	for _, crashMillis := range m.Crashes {
		age := now.Sub(time.UnixMilli(crashMillis))
		if crashMillis <= m.LiftedMillis || age > MarkTTL {
			continue
		}
		counted++
		if age <= SuspectTTL {
			recent++
		}
	}
	switch {
	case counted >= quarantineThreshold:
		return Quarantined
	case recent > 0:
		return Suspect
	}
	return Clear
}

// merge returns the union of two marks of the same content.
func merge(a, b Mark) Mark {
	out := Mark{Fingerprint: a.Fingerprint, Crashes: map[string]int64{}, LiftedMillis: max(a.LiftedMillis, b.LiftedMillis)}
	maps.Copy(out.Crashes, a.Crashes)
	maps.Copy(out.Crashes, b.Crashes)
	return out
}

func equal(a, b Mark) bool {
	return a.LiftedMillis == b.LiftedMillis && maps.Equal(a.Crashes, b.Crashes)
}

// maxMarksPerMessage is the maximum number of marks in one message.
const maxMarksPerMessage = 64

// Table holds the marks that a process has recorded or received. It is safe for
// concurrent use.
type Table struct {
	mu    sync.RWMutex
	marks map[string]Mark
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{marks: map[string]Mark{}} }

// Empty reports whether the table contains no marks.
func (t *Table) Empty() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.marks) == 0
}

// Status returns the status of a content at the given time.
func (t *Table) Status(fingerprint string, now time.Time) Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m := t.marks[fingerprint]
	return m.Status(now)
}

// Get returns the mark of a content, or nil if its status is Clear.
func (t *Table) Get(fingerprint string, now time.Time) *Mark {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m := t.marks[fingerprint]
	if m.Status(now) == Clear {
		return nil
	}
	return &m
}

// find returns the mark of a content. ok is false if there is none or it has expired.
func (t *Table) find(fingerprint string) (m Mark, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m, ok = t.marks[fingerprint]
	return m, ok && !m.isExpired(time.Now())
}

// Merge merges marks into the table. It returns the resulting marks that differ
// from before.
func (t *Table) Merge(marks ...Mark) []Mark {
	if len(marks) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Mark
	for _, m := range marks {
		previous := t.marks[m.Fingerprint]
		previous.Fingerprint = m.Fingerprint
		merged := merge(previous, m)
		if equal(previous, merged) {
			continue
		}
		t.marks[m.Fingerprint] = merged
		changed = append(changed, merged)
	}
	return changed
}

// RecordCrash records the crash of an engine in the marks of the contents that it
// was running and returns the changed marks. If some of the contents are already
// suspect or quarantined, it records the crash in their marks only, since they are
// the probable cause.
func (t *Table) RecordCrash(crashID string, fingerprints []string, now time.Time) []Mark {
	marked := fingerprints
	var suspects []string
	for _, f := range fingerprints {
		if t.Status(f, now) != Clear {
			suspects = append(suspects, f)
		}
	}
	if len(suspects) > 0 {
		marked = suspects
	}
	var marks []Mark
	for _, f := range marked {
		marks = append(marks, Mark{Fingerprint: f, Crashes: map[string]int64{crashID: now.UnixMilli()}})
	}
	return t.Merge(marks...)
}

// ClearSuspect sets the status of a suspect content, which has run to completion,
// to Clear and returns the changed marks. It does not lift a quarantine.
func (t *Table) ClearSuspect(fingerprint string, now time.Time) []Mark {
	if t.Status(fingerprint, now) != Suspect {
		return nil
	}
	return t.Merge(Mark{Fingerprint: fingerprint, LiftedMillis: now.UnixMilli()})
}

// MarksToSend returns the marks to send to other processes: at most
// maxMarksPerMessage, in decreasing order of severity. It removes expired marks
// from the table.
func (t *Table) MarksToSend(now time.Time) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Mark
	for f, m := range t.marks {
		if m.isExpired(now) {
			delete(t.marks, f)
			continue
		}
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].Status(now), out[j].Status(now)
		if a != b {
			return a > b
		}
		return out[i].Fingerprint < out[j].Fingerprint
	})
	return out[:min(len(out), maxMarksPerMessage)]
}

// isExpired reports whether the last crash and the last lifting are more than
// MarkTTL ago.
func (m *Mark) isExpired(now time.Time) bool {
	newest := m.LiftedMillis
	for _, crashMillis := range m.Crashes {
		newest = max(newest, crashMillis)
	}
	return now.Sub(time.UnixMilli(newest)) > MarkTTL
}
