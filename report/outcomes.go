// Package report summarizes the log lines of gateways: what became of the
// requests of each route, by cause.
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

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Outcomes that are not causes of a loss.
const (
	onTime     = string(telemetry.OnTime)
	unfinished = "no final line: the process ended, or the log did"
)

// line holds the fields of a log line that matter here.
type line struct {
	Message string `json:"msg"`
	Request string `json:"request"`
	Route   string `json:"route"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	// Timing is the verdict of an answer that is complete, GapAt the number of
	// events before its longest pause.
	Timing telemetry.Timing `json:"timing"`
	GapAt  int              `json:"max_gap_at"`
	// Events is the number of events before a run went on elsewhere.
	Events int    `json:"events"`
	Error  string `json:"err"`
	Name   string `json:"name"`
}

// request is what is known of a request in progress.
type request struct {
	route string
	// moves are the numbers of events after which its run went on elsewhere.
	moves []int
}

// Outcomes counts requests by route and by what became of them.
type Outcomes struct {
	counts  map[string]map[string]int
	pending map[string]*request
	// Skipped is the number of lines that are no JSON objects.
	Skipped int
}

// New returns empty counts.
func New() *Outcomes {
	return &Outcomes{counts: map[string]map[string]int{}, pending: map[string]*request{}}
}

// Read adds the lines of a log. Each line holds one JSON object, with or without
// a prefix of the collector's.
func (o *Outcomes) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		var l line
		if start < 0 || json.Unmarshal(lines.Bytes()[start:], &l) != nil {
			o.Skipped++
			continue
		}
		o.add(&l)
	}
	return errors.Wrap(lines.Err(), "read the log")
}

func (o *Outcomes) add(l *line) {
	switch l.Message {
	case "placed":
		o.request(l)
	case "continued":
		r := o.request(l)
		r.moves = append(r.moves, l.Events)
	case "answered":
		o.count(l, o.answered(l))
	case "refused":
		o.count(l, "refused: "+l.Name)
	}
}

func (o *Outcomes) request(l *line) *request {
	r := o.pending[l.Request]
	if r == nil {
		r = &request{route: l.Route}
		o.pending[l.Request] = r
	}
	return r
}

func (o *Outcomes) count(l *line, outcome string) {
	delete(o.pending, l.Request)
	o.increase(l.Route, outcome)
}

func (o *Outcomes) increase(route, outcome string) {
	if o.counts[route] == nil {
		o.counts[route] = map[string]int{}
	}
	o.counts[route][outcome]++
}

// answered returns what became of a request that a target answered.
func (o *Outcomes) answered(l *line) string {
	switch {
	case l.Outcome == "cut":
		return "cut off: " + l.Error
	case l.Outcome != "complete":
		return l.Outcome
	case l.Status >= http.StatusBadRequest:
		return fmt.Sprintf("the target's own %d", l.Status)
	case l.Timing == telemetry.PauseTooLong && o.moved(l):
		return "late: " + string(l.Timing) + ", at a move"
	case l.Timing == "" || l.Timing == telemetry.OnTime:
		return onTime
	}
	return "late: " + string(l.Timing)
}

func (o *Outcomes) moved(l *line) bool {
	r := o.pending[l.Request]
	if r == nil {
		return false
	}
	for _, at := range r.moves {
		if at == l.GapAt {
			return true
		}
	}
	return false
}

// Row is the number of requests of a route with one outcome.
type Row struct {
	Route   string
	Outcome string
	Count   int
	// Part is the share among the route's requests.
	Part float64
}

// Rows returns the counts, the outcomes of each route by falling number.
// Requests without a final line are counted as such.
func (o *Outcomes) Rows() []Row {
	counts := map[string]map[string]int{}
	for route, outcomes := range o.counts {
		counts[route] = map[string]int{}
		for name, n := range outcomes {
			counts[route][name] = n
		}
	}
	for _, r := range o.pending {
		if counts[r.route] == nil {
			counts[r.route] = map[string]int{}
		}
		counts[r.route][unfinished]++
	}
	var rows []Row
	for route, outcomes := range counts {
		total := 0
		for _, n := range outcomes {
			total += n
		}
		for name, n := range outcomes {
			rows = append(rows, Row{Route: route, Outcome: name, Count: n, Part: float64(n) / float64(total)})
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
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "route\trequests\tpart\toutcome"); err != nil {
		return errors.Wrap(err, "write the table")
	}
	for _, r := range o.Rows() {
		if _, err := fmt.Fprintf(t, "%s\t%d\t%.3f\t%s\n", r.Route, r.Count, r.Part, r.Outcome); err != nil {
			return errors.Wrap(err, "write the table")
		}
	}
	return errors.Wrap(t.Flush(), "write the table")
}
