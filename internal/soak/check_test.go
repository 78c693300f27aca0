package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of the users' rules.
const (
	stableWindow = 4 * time.Second
	configApply  = 3 * time.Second
	// lossSlack is the time after its last byte within which a request may cross the close
	// of its connection.
	lossSlack = 200 * time.Millisecond
	// lateSigterm is the time after SIGTERM up to which a request may be cut at the end of
	// the grace time.
	lateSigterm = 3 * time.Second
)

// finding is a broken rule.
type finding struct {
	rule, text string
	exchange   *exchange
}

func (f finding) String() string { return f.rule + ": " + f.text }

// judge compares what clients received with what workers did.
func judge(exchanges []exchange, log *workerLog) []finding {
	var findings []finding
	for i := range exchanges {
		e := &exchanges[i]
		arrivals := log.of(e.id)
		if e.complete {
			findings = append(findings, judgeAnswer(e, arrivals)...)
		} else if f := judgeLost(e, arrivals); f != nil {
			findings = append(findings, *f)
		}
		ran := 0
		for _, a := range arrivals {
			if a.ran {
				ran++
			}
		}
		if ran > 1 && e.kind != idempotentCall {
			findings = append(findings, finding{"TWICE", fmt.Sprintf("%s ran %d times", e.id, ran), e})
		}
	}
	return findings
}

// judgeAnswer checks a complete response.
func judgeAnswer(e *exchange, arrivals []arrival) []finding {
	ran := slices.ContainsFunc(arrivals, func(a arrival) bool { return a.ran })
	switch e.status {
	case http.StatusOK:
		want := responseText(e.id, []byte(e.body))
		if e.kind == stream {
			want = streamText(strings.Count(e.content, "\n\n") - 1)
		}
		if e.content != want || e.header.Get("X-Response-Signature") == "" {
			return []finding{{"MIXED", fmt.Sprintf("%s: wrong response of %d bytes", e.id, len(e.content)), e}}
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if ran && e.kind != idempotentCall {
			return []finding{{"REFUSED", fmt.Sprintf("%s: status %d, but it ran", e.id, e.status), e}}
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	case http.StatusNotFound:
		// judgeChanges judges the routes that do not always exist.
		if e.route == "" {
			return []finding{{"DENIED", fmt.Sprintf("%s: status %d %.100s", e.id, e.status, e.content), e}}
		}
	default:
		return []finding{{"DENIED", fmt.Sprintf("%s: status %d %.100s", e.id, e.status, e.content), e}}
	}
	return nil
}

// streamText returns a complete stream with the given number of events before the last.
func streamText(events int) string {
	var b strings.Builder
	for i := range events {
		b.WriteString(eventText(i))
	}
	return b.String() + lastEvent
}

// judgeLost judges a request without a complete response by the rule LOST. It returns nil
// if the rule allows the end.
func judgeLost(e *exchange, arrivals []arrival) *finding {
	h := e.gateway.history()
	for _, at := range h.kills {
		if at.After(e.startedAt.Add(-stableWindow)) && !at.After(e.endedAt) {
			return nil
		}
	}
	// A client may give up shortly before a pause ends.
	for _, at := range h.resumes {
		if at.After(e.startedAt.Add(-stableWindow)) && at.Before(e.endedAt.Add(lossSlack)) {
			return nil
		}
	}
	passedOn := len(arrivals) > 0
	// An earlier attempt that broke off does not excuse the end of the last one.
	if passedOn && arrivals[len(arrivals)-1].brokeOff {
		return nil
	}
	if !passedOn && !e.timedOut && e.endedAt.Sub(e.sentAt) <= lossSlack {
		return nil
	}
	planned := "no planned work"
	for _, at := range h.stops {
		if e.endedAt.Before(at) || e.startedAt.After(at.Add(graceTime+time.Second)) {
			continue
		}
		planned = fmt.Sprintf("sent %.3f s, ended %.3f s after SIGTERM", e.sentAt.Sub(at).Seconds(), e.endedAt.Sub(at).Seconds())
		lastSixth := at.Add(graceTime * 5 / 6)
		atWork := func(a arrival) bool { return a.doneAt.IsZero() || a.doneAt.After(lastSixth) }
		if e.sentAt.Before(at.Add(lateSigterm)) && slices.ContainsFunc(arrivals, atWork) && e.endedAt.After(lastSixth) {
			return nil
		}
	}
	for _, at := range h.hangups {
		if e.startedAt.Before(at.Add(configApply)) && e.endedAt.After(at) {
			planned += fmt.Sprintf(", ended %.3f s after SIGHUP", e.endedAt.Sub(at).Seconds())
		}
	}
	return &finding{"LOST", fmt.Sprintf("%s at %s: kind %d, kept %v, passed on %v, status %d, %d bytes, ended %.3f s after its last byte (%v); %s",
		e.id, e.gateway.name, e.kind, e.kept, passedOn, e.status, len(e.content), e.endedAt.Sub(e.sentAt).Seconds(), e.err, planned), e}
}
