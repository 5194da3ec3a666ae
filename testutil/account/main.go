// Command account reads the reports of plays on the users' bench (its --report files) and
// says how much more the system could have earned on each day:
//
//	go run ./testutil/account REPORT.json...
//
// Requests that got no answer (no host could be reached, or the one that had them lost
// power) are taken as lost to any dispatcher, those that were refused or answered late as
// lost to this one. So the bound is what the day had earned if all of the latter were
// served in time, with the same prices: it is too high wherever the load was more than the
// targets could do. Field names are those of the reports.
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

// worstWindows is how many of the windows the bench's part of that name is the mean of.
const worstWindows = 2

// shownLoss is the loss from which a window is shown.
const shownLoss = 0.02

// report is what is read of a play's report.
type report struct {
	Worth   float64 `json:"G"`
	Parts   []part  `json:"parts"`
	All     count   `json:"all"`
	Classes []count `json:"classes"`
	Windows []count `json:"windows"`
}

// part is one summand of the worth before prices: its name, weight and value.
type part struct {
	name          string
	weight, value float64
}

// UnmarshalJSON reads the row of a report.
func (p *part) UnmarshalJSON(raw []byte) error {
	return json.Unmarshal(raw, &[]any{&p.name, &p.weight, &p.value})
}

// count is what became of a group of requests: all, those of a class, or those of two
// seconds.
type count struct {
	Name    string  `json:"name"`
	Sent    int     `json:"n"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
}

// bound returns what the group had earned if no request had been refused or late.
func (c count) bound() float64 {
	lost := c.Late + c.Refused + c.Failed
	if lost == 0 {
		return c.Worth
	}
	return c.Worth + (1-c.Worth)*float64(c.Late+c.Refused)/float64(lost)
}

// bound returns what the day had earned if no request had been refused or late.
func (r report) bound() float64 {
	prices, sum := -r.Worth, 0.0
	for _, p := range r.Parts {
		prices += p.weight * p.value
		sum += p.weight * r.boundOf(p)
	}
	return sum - prices
}

// boundOf returns the bound of one part. One that is not known here stays as it is.
func (r report) boundOf(p part) float64 {
	switch p.name {
	case "whole day":
		return r.All.bound()
	case "worst class":
		return meanOfLeast(r.Classes, 1)
	case "worst windows":
		return meanOfLeast(r.Windows, worstWindows)
	}
	return p.value
}

// meanOfLeast returns the mean of the least bounds of the groups.
func meanOfLeast(groups []count, least int) float64 {
	bounds := make([]float64, 0, len(groups))
	for _, g := range groups {
		bounds = append(bounds, g.bound())
	}
	slices.Sort(bounds)
	bounds = bounds[:min(least, len(bounds))]
	sum := 0.0
	for _, b := range bounds {
		sum += b
	}
	return sum / float64(max(1, len(bounds)))
}

// write writes the account of a day as rows of Markdown tables.
func (r report) write(out io.Writer, name string) {
	fmt.Fprintf(out, "| **%s** | %d | %d | %d | %d | %.3f | %.3f |\n",
		name, r.All.Sent, r.All.Late, r.All.Refused, r.All.Failed, r.Worth, r.bound())
	for _, w := range r.Windows {
		if 1-w.Worth >= shownLoss {
			fmt.Fprintf(out, "| from %s s | %d | %d | %d | %d | %.3f | %.3f |\n",
				w.Name, w.Sent, w.Late, w.Refused, w.Failed, w.Worth, w.bound())
		}
	}
}

// account writes the account of each report.
func account(out io.Writer, paths []string) error {
	fmt.Fprintln(out, "| day | sent | late | refused | no answer | worth | bound |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var r report
		if err := json.Unmarshal(raw, &r); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		r.write(out, strings.TrimSuffix(filepath.Base(path), ".json"))
	}
	return nil
}

func main() {
	if err := account(os.Stdout, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "account:", err)
		os.Exit(1)
	}
}
