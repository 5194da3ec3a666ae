// Command account reads reports of the customers' benchmark (the files written with --report)
// and prints, for each day, how much more the system could have earned:
//
//	go run ./testutil/account REPORT.json...
//
// Requests without an answer (no host was reachable, or the host lost power) count as lost for
// any dispatcher. Requests that were refused or answered late count as lost by this system. The
// bound is what the day would have earned if all of the latter had been served in time, with the
// same deductions from the weighted parts of the report. The bound is too high if the load
// exceeded the capacity of the targets. Field names are those of the reports.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// worstWindowCount is the number of windows whose mean is the part "worst windows" of a report.
const worstWindowCount = 2

// minShownLoss is the smallest loss of a window that is printed.
const minShownLoss = 0.02

// report has the fields of a benchmark report that are used.
type report struct {
	Worth   float64         `json:"G"`
	Parts   []part          `json:"parts"`
	All     requestCounts   `json:"all"`
	Classes []requestCounts `json:"classes"`
	Windows []requestCounts `json:"windows"`
}

// part is one weighted term of the worth before deductions.
type part struct {
	name          string
	weight, value float64
}

// UnmarshalJSON decodes the array [name, weight, value].
func (p *part) UnmarshalJSON(raw []byte) error {
	return json.Unmarshal(raw, &[]any{&p.name, &p.weight, &p.value})
}

// requestCounts are the counts of a group of requests: all, one class, or one window of two
// seconds.
type requestCounts struct {
	Name    string  `json:"name"`
	Sent    int     `json:"n"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
}

// bound returns the earned share of the group if its refused and late requests had been served
// in time. Each lost request is taken to lose the same share.
func (c requestCounts) bound() float64 {
	lost := c.Late + c.Refused + c.Failed
	if lost == 0 {
		return c.Worth
	}
	return c.Worth + (1-c.Worth)*float64(c.Late+c.Refused)/float64(lost)
}

// bound returns what the day would have earned if its refused and late requests had been served
// in time.
func (r report) bound() float64 {
	deductions, sum := -r.Worth, 0.0
	for _, p := range r.Parts {
		deductions += p.weight * p.value
		sum += p.weight * r.boundOf(p)
	}
	return sum - deductions
}

// boundOf returns the bound of one part, or its value if its name is unknown.
func (r report) boundOf(p part) float64 {
	switch p.name {
	case "whole day":
		return r.All.bound()
	case "worst class":
		return meanOfLowest(r.Classes, 1)
	case "worst windows":
		return meanOfLowest(r.Windows, worstWindowCount)
	}
	return p.value
}

// meanOfLowest returns the mean of the n lowest bounds of the groups.
func meanOfLowest(groups []requestCounts, n int) float64 {
	bounds := make([]float64, 0, len(groups))
	for _, g := range groups {
		bounds = append(bounds, g.bound())
	}
	slices.Sort(bounds)
	bounds = bounds[:min(n, len(bounds))]
	sum := 0.0
	for _, b := range bounds {
		sum += b
	}
	return sum / float64(max(1, len(bounds)))
}

// writeRows writes the account of a day as rows of a Markdown table.
func (r report) writeRows(out io.Writer, name string) {
	fmt.Fprintf(out, "| **%s** | %d | %d | %d | %d | %.3f | %.3f |\n",
		name, r.All.Sent, r.All.Late, r.All.Refused, r.All.Failed, r.Worth, r.bound())
	for _, w := range r.Windows {
		if 1-w.Worth >= minShownLoss {
			fmt.Fprintf(out, "| from %s s | %d | %d | %d | %d | %.3f | %.3f |\n",
				w.Name, w.Sent, w.Late, w.Refused, w.Failed, w.Worth, w.bound())
		}
	}
}

// writeAccount writes a table with the account of each report.
func writeAccount(out io.Writer, paths []string) error {
	fmt.Fprintln(out, "| day | sent | late | refused | no answer | worth | bound |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var r report
		if err := json.Unmarshal(raw, &r); err != nil {
			return fmt.Errorf("decoding report %s: %w", path, err)
		}
		r.writeRows(out, strings.TrimSuffix(filepath.Base(path), ".json"))
	}
	return nil
}

func main() {
	if err := writeAccount(os.Stdout, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "account:", err)
		os.Exit(1)
	}
}
