package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of the search for prompt parts that crash targets.
const (
	// minPartCrashes is the number of crashes that no other part explains from which a
	// part is quarantined. A single failure of several targets at once seldom meets requests
	// with the same part at so many of them.
	minPartCrashes = 3
	// maxTrialCrashes is the number of crashes from which a part gets no trial.
	maxTrialCrashes = 5
	// firstTrialDelay is the time from the crash that quarantined a part to its first trial.
	// It doubles with each further crash.
	firstTrialDelay = 4 * time.Second
	// trialPeriod is the time after which a trial without a result is repeated.
	trialPeriod = 8 * time.Second
	// PartEvidenceTTL is how long a crash counts.
	PartEvidenceTTL = 10 * time.Minute
	// maxSoundParts limits the parts whose last sound run is remembered.
	maxSoundParts = 4096
)

// PartEvidence is what is known of one part of prompts. Merging evidence gives the same
// result in any order.
type PartEvidence struct {
	Part string `json:"part"`
	// Crashes maps the IDs of target crashes to their times, in milliseconds since the
	// Unix epoch: a request with the part ran at the target and had not begun its
	// answer.
	Crashes map[string]int64 `json:"crashes,omitempty"`
	// SoundMillis is when the last answer began that its target survived, in
	// milliseconds since the Unix epoch, 0 if none is known. Crashes up to this time do
	// not count.
	SoundMillis int64 `json:"sound_ms,omitempty"`
}

// MergePartEvidence returns the union of two pieces of evidence of the same part.
func MergePartEvidence(a, b PartEvidence) PartEvidence {
	out := PartEvidence{Part: a.Part, Crashes: map[string]int64{}, SoundMillis: max(a.SoundMillis, b.SoundMillis)}
	maps.Copy(out.Crashes, a.Crashes)
	maps.Copy(out.Crashes, b.Crashes)
	return out
}

// Equal reports whether two pieces of evidence are the same.
func (e *PartEvidence) Equal(other *PartEvidence) bool {
	return e.Part == other.Part && e.SoundMillis == other.SoundMillis && maps.Equal(e.Crashes, other.Crashes)
}

// countedCrashes returns the crashes that count at the given time.
func (e *PartEvidence) countedCrashes(now time.Time) map[string]int64 {
	oldest := max(now.Add(-PartEvidenceTTL).UnixMilli(), e.SoundMillis)
	counted := map[string]int64{}
	for id, at := range e.Crashes {
		if at > oldest {
			counted[id] = at
		}
	}
	return counted
}

// QuarantinedPart is the verdict on a part that crashes targets.
type QuarantinedPart struct {
	// Crashes is the number of crashes that the part explains, LastCrashMillis the time
	// of the last one in milliseconds since the Unix epoch.
	Crashes         int
	LastCrashMillis int64
}

// TrialAt returns when one request with the part may run, to find out whether the
// verdict is wrong. ok is false if the part gets no trial.
func (h QuarantinedPart) TrialAt() (at time.Time, ok bool) {
	if h.Crashes >= maxTrialCrashes {
		return time.Time{}, false
	}
	return time.UnixMilli(h.LastCrashMillis).Add(firstTrialDelay << max(h.Crashes-minPartCrashes, 0)), true
}

// Trial returns the ID of the trial that is due at the given time. Trials of the same
// crash differ by trialPeriod. ok is false if none is due.
func (h QuarantinedPart) Trial(now time.Time) (id int64, ok bool) {
	at, ok := h.TrialAt()
	if !ok || now.Before(at) {
		return 0, false
	}
	return at.Add(now.Sub(at).Truncate(trialPeriod)).UnixMilli(), true
}

// CrashingParts returns the parts that explain the crashes in the evidence. All parts of
// a request are present at its crash, and requests of other parts run beside it. The
// part with most crashes since its last sound run is quarantined, and its crashes no longer
// count against others; and so on, while a part explains minPartCrashes of the rest. Of
// several parts with the same number, those that were sound last are spared.
func CrashingParts(evidence []PartEvidence, now time.Time) map[string]QuarantinedPart {
	unexplained := make(map[string]map[string]int64, len(evidence))
	sound := make(map[string]int64, len(evidence))
	for i := range evidence {
		if counted := evidence[i].countedCrashes(now); len(counted) >= minPartCrashes {
			unexplained[evidence[i].Part] = counted
			sound[evidence[i].Part] = evidence[i].SoundMillis
		}
	}
	quarantined := map[string]QuarantinedPart{}
	for len(unexplained) > 0 {
		parts := slices.SortedFunc(maps.Keys(unexplained), func(a, b string) int {
			return cmp.Or(-cmp.Compare(len(unexplained[a]), len(unexplained[b])), cmp.Compare(sound[a], sound[b]), cmp.Compare(a, b))
		})
		first := parts[0]
		if len(unexplained[first]) < minPartCrashes {
			break
		}
		explained := map[string]int64{}
		for _, p := range parts {
			if len(unexplained[p]) != len(unexplained[first]) || sound[p] != sound[first] || !maps.Equal(unexplained[p], unexplained[first]) {
				continue
			}
			quarantined[p] = QuarantinedPart{Crashes: len(unexplained[p]), LastCrashMillis: slices.Max(slices.Collect(maps.Values(unexplained[p])))}
			maps.Copy(explained, unexplained[p])
		}
		for p, crashes := range unexplained {
			maps.DeleteFunc(crashes, func(id string, _ int64) bool { _, ok := explained[id]; return ok })
			if len(crashes) < minPartCrashes {
				delete(unexplained, p)
			}
		}
	}
	return quarantined
}

// PartHistory collects the evidence that one process has seen or received. It is not safe
// for concurrent use. The methods that change it return the evidence that other processes
// need to know.
type PartHistory struct {
	evidence map[string]PartEvidence
	// sound holds the times of the last sound runs of parts, also of those without
	// crashes, in milliseconds since the Unix epoch.
	sound map[string]int64
	// version counts the changes of evidence.
	version int64
}

// NewPartHistory returns a history without evidence.
func NewPartHistory() *PartHistory {
	return &PartHistory{evidence: map[string]PartEvidence{}, sound: map[string]int64{}}
}

// RecordCrash records the crash of a target that ran a request with these parts, whose
// answer had not begun.
func (h *PartHistory) RecordCrash(crashID string, parts []string, now time.Time) []PartEvidence {
	var changed []PartEvidence
	for _, p := range parts {
		changed = append(changed, h.merge(PartEvidence{Part: p, Crashes: map[string]int64{crashID: now.UnixMilli()}, SoundMillis: h.sound[p]})...)
	}
	return changed
}

// RecordSound records an answer of a request with these parts that began at the given
// time and that its target survived.
func (h *PartHistory) RecordSound(parts []string, began, now time.Time) []PartEvidence {
	var changed []PartEvidence
	for _, p := range parts {
		h.sound[p] = max(h.sound[p], began.UnixMilli())
		e := h.evidence[p]
		if len(e.countedCrashes(now)) > 0 {
			changed = append(changed, h.merge(PartEvidence{Part: p, SoundMillis: h.sound[p]})...)
		}
	}
	h.pruneSound()
	return changed
}

// Merge adds the evidence of other processes. It returns the evidence of parts that this
// process has known to be sound later than the others.
func (h *PartHistory) Merge(received ...PartEvidence) []PartEvidence {
	var changed []PartEvidence
	for _, e := range received {
		h.merge(e)
		if sound := h.sound[e.Part]; sound > h.evidence[e.Part].SoundMillis {
			changed = append(changed, h.merge(PartEvidence{Part: e.Part, SoundMillis: sound})...)
		}
	}
	return changed
}

// merge adds evidence and returns the result if it differs from before.
func (h *PartHistory) merge(e PartEvidence) []PartEvidence {
	previous := h.evidence[e.Part]
	previous.Part = e.Part
	merged := MergePartEvidence(previous, e)
	if merged.Equal(&previous) {
		return nil
	}
	h.evidence[e.Part] = merged
	h.version++
	return []PartEvidence{merged}
}

// Quarantined returns the parts that are quarantined at the given time. It removes expired evidence.
func (h *PartHistory) Quarantined(now time.Time) map[string]QuarantinedPart {
	oldest := now.Add(-PartEvidenceTTL).UnixMilli()
	maps.DeleteFunc(h.evidence, func(_ string, e PartEvidence) bool {
		newest := e.SoundMillis
		for _, at := range e.Crashes {
			newest = max(newest, at)
		}
		return newest <= oldest
	})
	return CrashingParts(slices.Collect(maps.Values(h.evidence)), now)
}

// pruneSound forgets the older half of the sound runs if there are more than
// maxSoundParts.
func (h *PartHistory) pruneSound() {
	if len(h.sound) <= maxSoundParts {
		return
	}
	times := slices.Sorted(maps.Values(h.sound))
	median := times[len(times)/2]
	maps.DeleteFunc(h.sound, func(_ string, at int64) bool { return at <= median })
}

// Version returns a number that changes with the evidence.
func (h *PartHistory) Version() int64 { return h.version }

// Evidence returns what is known of a part.
func (h *PartHistory) Evidence(part string) PartEvidence {
	e := h.evidence[part]
	return MergePartEvidence(PartEvidence{Part: part}, e)
}
