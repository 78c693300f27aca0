// Package report counts the outcomes of requests by route and cause from the log
// lines of gateways.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/telemetry"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Outcomes that do not depend on the content of a log line.
const (
	// onTime is the outcome of a request that did not fail and was not late.
	onTime = string(telemetry.OnTime)
	// noFinalLine is the outcome of a request without a final log line, which is
	// the line "answered" or "refused".
	noFinalLine = "no final line: the process ended, or the log did"
)

// logLine holds the fields of a log line that the counts use.
type logLine struct {
	Message string `json:"msg"`
	Request string `json:"request"`
	Route   string `json:"route"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	// Timing compares a complete response with its route's latency objectives. GapAt
	// is the number of events of a stream before its longest gap.
	Timing telemetry.Timing `json:"timing"`
	GapAt  int              `json:"max_gap_at"`
	// Events, in a line "continued", is the number of events before the failover to
	// another target.
	Events int    `json:"events"`
	Error  string `json:"err"`
	// Name is the name of the result code in a line "refused".
	Name string `json:"name"`
}

// request is the state of a request without a final log line.
type request struct {
	route string
	// switchEvents holds, for each failover of the stream to another target, the
	// number of events before it.
	switchEvents []int
}

// Outcomes counts requests by route and outcome. It is not safe for concurrent
// use.
type Outcomes struct {
	// counts holds the number of finished requests by route and outcome.
	counts map[string]map[string]int
	// pending holds the requests without a final log line by request ID.
	pending map[string]*request
	// Skipped is the number of lines that do not contain a JSON object.
	Skipped int
}

// NewOutcomes returns Outcomes without any requests.
func NewOutcomes() *Outcomes {
	return &Outcomes{counts: map[string]map[string]int{}, pending: map[string]*request{}}
}

// Read counts the requests in a log. Each line contains a JSON object; a prefix,
// such as a log collector adds, is ignored. The lines of a request may be spread
// over several calls.
func (o *Outcomes) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		var l logLine
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &l) != nil {
			o.Skipped++
			continue
		}
		o.add(&l)
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

// add counts a line that the gateway logs about a request and ignores others.
func (o *Outcomes) add(l *logLine) {
	switch l.Message {
	case "placed":
		o.request(l)
	case "continued":
		r := o.request(l)
		r.switchEvents = append(r.switchEvents, l.Events)
	case "answered":
		o.finish(l, o.answerOutcome(l))
	case "refused":
		o.finish(l, "refused: "+l.Name)
	}
}

// request returns the pending request of the line and adds it if necessary.
func (o *Outcomes) request(l *logLine) *request {
	r := o.pending[l.Request]
	if r == nil {
		r = &request{route: l.Route}
		o.pending[l.Request] = r
	}
	return r
}

// finish removes the pending request of the line and counts its outcome.
func (o *Outcomes) finish(l *logLine, outcome string) {
	delete(o.pending, l.Request)
	o.increment(l.Route, outcome)
}

func (o *Outcomes) increment(route, outcome string) {
	if o.counts[route] == nil {
		o.counts[route] = map[string]int{}
	}
	o.counts[route][outcome]++
}

// answerOutcome returns the outcome of a request from its line "answered".
func (o *Outcomes) answerOutcome(l *logLine) string {
	switch {
	case l.Outcome == "cut":
		return "cut off: " + l.Error
	case l.Outcome != "complete":
		return l.Outcome
	case l.Status >= http.StatusBadRequest:
		return fmt.Sprintf("the target's own %d", l.Status)
	case l.Timing == telemetry.GapTooLong && o.pausedAtSwitch(l):
		return "late: " + string(l.Timing) + ", at a move"
	case l.Timing == "" || l.Timing == telemetry.OnTime:
		return onTime
	}
	return "late: " + string(l.Timing)
}

// pausedAtSwitch reports whether the longest gap of a stream was at a failover to
// another target.
func (o *Outcomes) pausedAtSwitch(l *logLine) bool {
	r := o.pending[l.Request]
	if r == nil {
		return false
	}
	for _, events := range r.switchEvents {
		if events == l.GapAt {
			return true
		}
	}
	return false
}

// Row is the number of requests of a route that had an outcome.
type Row struct {
	Route   string
	Outcome string
	Count   int
	// Share is Count divided by the number of the route's requests.
	Share float64
}

// Rows returns the counts sorted by route, then by descending count. Requests
// without a final log line are counted with an outcome of their own.
func (o *Outcomes) Rows() []Row {
	counts := map[string]map[string]int{}
	for route, outcomes := range o.counts {
		counts[route] = map[string]int{}
		for outcome, count := range outcomes {
			counts[route][outcome] = count
		}
	}
	for _, r := range o.pending {
		if counts[r.route] == nil {
			counts[r.route] = map[string]int{}
		}
		counts[r.route][noFinalLine]++
	}
	var rows []Row
	for route, outcomes := range counts {
		total := 0
		for _, count := range outcomes {
			total += count
		}
		for outcome, count := range outcomes {
			rows = append(rows, Row{Route: route, Outcome: outcome, Count: count, Share: float64(count) / float64(total)})
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		a, b := rows[i], rows[j]
		if a.Route != b.Route {
			return a.Route < b.Route
		}
		if a.Count != b.Count {
			return a.Count > b.Count
		}
		return strings.Compare(a.Outcome, b.Outcome) < 0
	})
	return rows
}

// Print writes the rows as a table.
func (o *Outcomes) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "route\trequests\tpart\toutcome"); err != nil {
		return errors.Wrap(err, "write the table")
	}
	for _, r := range o.Rows() {
		if _, err := fmt.Fprintf(table, "%s\t%d\t%.3f\t%s\n", r.Route, r.Count, r.Share, r.Outcome); err != nil {
			return errors.Wrap(err, "write the table")
		}
	}
	return errors.Wrap(table.Flush(), "write the table")
}
