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

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// newTable returns a table writer with the header already written.
func newTable(w io.Writer, columns ...string) *tabwriter.Writer {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	writeRow(table, columns...)
	return table
}

// writeRow writes one row of a table. The table's Flush returns write errors.
func writeRow(table *tabwriter.Writer, cells ...string) {
	_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
}

func printHistory(w io.Writer, manifests []config.Manifest) error {
	table := newTable(w, "VERSION", "PUBLISHED", "AUTHOR", "DOCUMENTS")
	for _, manifest := range manifests {
		writeRow(table, fmt.Sprint(manifest.Version), manifest.Published.Format(time.RFC3339), manifest.Author, fmt.Sprint(len(manifest.Documents)))
	}
	return table.Flush()
}

// storeHealth reads the manifest from the store and returns a line about the
// result.
func (c *clientOptions) storeHealth(ctx context.Context) string {
	store, err := c.openStore()
	if err != nil {
		return "store: not set"
	}
	started := time.Now()
	manifest, _, err := operator.CurrentManifest(ctx, store)
	if err != nil {
		return "store: does not answer; configuration and running work are not affected, keyed calls are refused"
	}
	return fmt.Sprintf("store: answers in %d ms, version %d in force since %s",
		time.Since(started).Milliseconds(), manifest.Version, manifest.Published.Format(time.RFC3339))
}

func printStatus(w io.Writer, status *operator.Status, storeLine string) error {
	if _, err := fmt.Fprintln(w, storeLine); err != nil {
		return err
	}
	table := newTable(w, "VM", "ROLE", "PLACE", "STATE", "RUNNING", "QUEUED", "MEMORY", "VERSION", "TARGETS", "LINK", "MODELS")
	for i := range status.Processes {
		p := &status.Processes[i]
		load := &p.State.Load
		writeRow(table, p.VM.Name, roleName(p), p.VM.Region+"/"+p.VM.Datacentre, processState(p), fmt.Sprint(load.Running), fmt.Sprint(load.Queued),
			kvUtilization(load.KVTokens, load.KVCapacityTokens), fmt.Sprint(p.State.ConfigVersion), usableTargets(p), crossRegionTraffic(p), strings.Join(p.State.Models, ","))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if unanswered := status.Unanswered(); len(unanswered) > 0 {
		_, err := fmt.Fprintf(w, "%d processes do not answer: %s\n", len(unanswered), strings.Join(unanswered, ", "))
		return err
	}
	return nil
}

// usableTargets returns the number of targets that an entry may send work to, or
// "-" for other roles.
func usableTargets(p *operator.Process) string {
	if p.VM.Role != vmlist.RoleEntry {
		return "-"
	}
	return fmt.Sprint(p.State.UsableTargets)
}

const bytesPerMegabyte = 1e6

// crossRegionTraffic returns the bytes that an entry exchanged with other regions
// since its start, or "-" for other roles.
func crossRegionTraffic(p *operator.Process) string {
	if p.VM.Role != vmlist.RoleEntry {
		return "-"
	}
	return fmt.Sprintf("%.1f MB", float64(p.State.CrossRegionBytes)/bytesPerMegabyte)
}

// roleName returns the role that a target reports, otherwise the role in the VM
// list.
func roleName(p *operator.Process) string {
	if p.VM.Role == vmlist.RoleTarget && p.State.Role != "" {
		return p.State.Role
	}
	return string(p.VM.Role)
}

// processState returns the STATE column of a process.
func processState(p *operator.Process) string {
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

// kvUtilization returns the used share of a target's KV cache as a percentage, or
// "-" if its size is unknown.
func kvUtilization(usedTokens, totalTokens int) string {
	if totalTokens == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", 100*usedTokens/totalTokens)
}

// printExplanation prints the decision records and the VMs that did not answer.
func printExplanation(w io.Writer, explanation *operator.Explanation) error {
	for i := range explanation.Decisions {
		if err := printDecision(w, &explanation.Decisions[i]); err != nil {
			return err
		}
	}
	if len(explanation.Unanswered) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "not told: %s did not answer\n", strings.Join(explanation.Unanswered, ", "))
	return err
}

func printDecision(w io.Writer, decision *operator.VMDecision) error {
	line := fmt.Sprintf("%s  %-10s %-10s %s (%s)", decision.Time.Format("15:04:05.000"), decision.VM, decision.Kind, decision.Choice, decision.Reason)
	for _, field := range []struct{ name, value string }{
		{"target", decision.Target}, {"workspace", decision.Workspace}, {"service", decision.Service}, {"attempt", decision.Attempt}, {"generation", decision.Generation},
	} {
		if field.value != "" && field.value != decision.VM {
			line += " " + field.name + "=" + field.value
		}
	}
	if decision.Detail != "" {
		line += " detail=" + strconv.Quote(decision.Detail)
	}
	if decision.TookMicros > 0 {
		line += " took=" + (time.Duration(decision.TookMicros) * time.Microsecond).String()
	}
	if _, err := fmt.Fprintln(w, line); err != nil {
		return err
	}
	for _, c := range decision.Candidates {
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
