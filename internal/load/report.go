package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// WriteJSON writes a result to a file as indented JSON.
func WriteJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write result")
}

// WriteLine writes the main figures of a run in one line.
func WriteLine(w io.Writer, r *Run) {
	f := r.Figures
	_, _ = fmt.Fprintf(w, "%s %-24s seed %d load %.2f: complete %d/%d refused %d failed %d; stall %.1f s, preemptions %d, gap p95 %.0f p99 %.0f ms, "+
		"first p95 %.0f ms, short p99 %.0f ms, goodput %.0f tok/s (%.2f of capacity), cross %0.f kB, lag p99 %.1f ms %v\n",
		r.Deployment, r.Label, r.Seed, r.Load, f.Complete, f.Offered, f.Refused, f.Failed, f.StallSeconds, f.Preemptions, f.Gaps.P95, f.Gaps.P99,
		f.First.P95, f.Short.P99, f.GoodputTokensPerSecond, f.GoodputTokensPerSecond/r.Capacity.TokensPerSecond, r.crossRegionBytes()/1000, f.SendLag.P99, f.Failures)
}

// WriteReport writes a Markdown page with tables and plots into a directory.
func WriteReport(dir string, c *Comparison) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s, %s\n\n", c.Deployment, c.Scenario)
	first := c.Runs[0]
	fmt.Fprintf(&b, "Capacity %.0f tokens/s, %.0f requests/s, batch %.1f. Median over the seeds, least and greatest in brackets.\n\n",
		first.Capacity.TokensPerSecond, first.Capacity.RequestsPerSecond, first.Capacity.Batch)
	writeTable(&b, c)
	plots, err := writePlots(dir, c)
	if err != nil {
		return err
	}
	for _, p := range plots {
		fmt.Fprintf(&b, "\n![%s](%s)\n", strings.TrimSuffix(p, filepath.Ext(p)), p)
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, "report.md"), []byte(b.String()), 0o644), "report")
}

func writeTable(b *strings.Builder, c *Comparison) {
	b.WriteString("| figure |")
	for _, s := range c.Summaries {
		fmt.Fprintf(b, " %s |", s.Label)
	}
	b.WriteString("\n|---|" + strings.Repeat("---:|", len(c.Summaries)) + "\n")
	for _, m := range metrics {
		fmt.Fprintf(b, "| %s |", m.name)
		for _, s := range c.Summaries {
			v := s.Figures[m.name]
			fmt.Fprintf(b, " %s (%s–%s) |", formatNumber(v.Median), formatNumber(v.Min), formatNumber(v.Max))
		}
		b.WriteString("\n")
	}
}

// Table returns the summaries as a Markdown table.
func (c *Comparison) Table() string {
	var b strings.Builder
	writeTable(&b, c)
	return b.String()
}

func formatNumber(v float64) string {
	if v != 0 && v < 10 {
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.0f", v)
}
