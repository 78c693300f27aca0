package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/operator"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// columnGap is the space between columns of a table.
const columnGap = 2

func newTable(w io.Writer, columns ...string) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	row(t, columns...)
	return t
}

// row writes one line of a table; errors surface when the table is flushed.
func row(t *tabwriter.Writer, cells ...string) {
	_, _ = fmt.Fprintln(t, strings.Join(cells, "\t"))
}

func printHistory(w io.Writer, manifests []config.Manifest) error {
	t := newTable(w, "VERSION", "PUBLISHED", "AUTHOR", "DOCUMENTS")
	for _, m := range manifests {
		row(t, fmt.Sprint(m.Version), m.Published.Format(time.RFC3339), m.Author, fmt.Sprint(len(m.Documents)))
	}
	return t.Flush()
}

// storeHealth asks the store for the manifest and describes the answer.
func (c *connection) storeHealth(ctx context.Context) string {
	store, err := c.openStore()
	if err != nil {
		return "store: not set"
	}
	started := time.Now()
	m, _, err := operator.Manifest(ctx, store)
	if err != nil {
		return "store: does not answer; configuration and running work are not affected, keyed calls are refused"
	}
	return fmt.Sprintf("store: answers in %d ms, version %d in force since %s",
		time.Since(started).Milliseconds(), m.Version, m.Published.Format(time.RFC3339))
}

func printStatus(w io.Writer, s *operator.Status, store string) error {
	if _, err := fmt.Fprintln(w, store); err != nil {
		return err
	}
	t := newTable(w, "VM", "ROLE", "PLACE", "STATE", "RUNNING", "QUEUED", "MEMORY", "VERSION", "TARGETS", "LINK", "MODELS")
	for i := range s.Processes {
		p := &s.Processes[i]
		l := &p.State.Load
		row(t, p.VM.Name, role(p), p.VM.Region+"/"+p.VM.Datacentre, condition(p), fmt.Sprint(l.Running), fmt.Sprint(l.Queued),
			memory(l.UsedTokens, l.TotalTokens), fmt.Sprint(p.State.ConfigVersion), targets(p), link(p), strings.Join(p.State.Models, ","))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if silent := s.Silent(); len(silent) > 0 {
		_, err := fmt.Fprintf(w, "%d processes do not answer: %s\n", len(silent), strings.Join(silent, ", "))
		return err
	}
	return nil
}

// targets returns the number of targets that an entry may send work to.
func targets(p *operator.Process) string {
	if p.VM.Role != vmlist.RoleEntry {
		return "-"
	}
	return fmt.Sprint(p.State.UsableTargets)
}

const bytesPerMegabyte = 1e6

// link returns what an entry exchanged with other regions since its start.
func link(p *operator.Process) string {
	if p.VM.Role != vmlist.RoleEntry {
		return "-"
	}
	return fmt.Sprintf("%.1f MB", float64(p.State.LinkBytes)/bytesPerMegabyte)
}

func role(p *operator.Process) string {
	if p.VM.Role == vmlist.RoleTarget && p.State.Role != "" {
		return p.State.Role
	}
	return string(p.VM.Role)
}

func condition(p *operator.Process) string {
	switch {
	case p.Problem != "":
		return p.Problem
	case p.State.Draining:
		return "draining"
	case !p.State.Ready:
		return "not ready"
	case p.VM.State == vmlist.VMLeaving:
		return "leaving"
	}
	return "ready"
}

func memory(used, total int) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", 100*used/total)
}

func printStory(w io.Writer, s *operator.Story) error {
	for i := range s.Steps {
		if err := printStep(w, &s.Steps[i]); err != nil {
			return err
		}
	}
	if len(s.Missing) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "not told: %s did not answer\n", strings.Join(s.Missing, ", "))
	return err
}

func printStep(w io.Writer, s *operator.Step) error {
	line := fmt.Sprintf("%s  %-10s %-10s %s (%s)", s.Time.Format("15:04:05.000"), s.VM, s.Kind, s.Choice, s.Reason)
	for _, part := range []struct{ name, value string }{
		{"target", s.Target}, {"workspace", s.Workspace}, {"service", s.Service}, {"attempt", s.Attempt}, {"generation", s.Generation},
	} {
		if part.value != "" && part.value != s.VM {
			line += " " + part.name + "=" + part.value
		}
	}
	if s.Detail != "" {
		line += " detail=" + strconv.Quote(s.Detail)
	}
	if s.TookMicros > 0 {
		line += " took=" + (time.Duration(s.TookMicros) * time.Microsecond).String()
	}
	if _, err := fmt.Fprintln(w, line); err != nil {
		return err
	}
	for _, c := range s.Candidates {
		age := "unknown"
		if c.AgeMillis != nil {
			age = strconv.FormatInt(*c.AgeMillis, 10) + "ms"
		}
		_, err := fmt.Fprintf(w, "%14s candidate %-10s score=%.2f running=%d queued=%d age=%s %s\n", "", c.Target, c.Score, c.Running, c.Queued, age, c.Note)
		if err != nil {
			return err
		}
	}
	return nil
}
