package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"

	"github.com/beaconpoint/beaconpoint/testutil/fleet"
)

// result is the outcome of a scene with one seed.
type result struct {
	Earned   float64 `json:"earned"`   // share of the worth owed
	Worst    float64 `json:"worst"`    // lowest share of the groups of World.Worst
	Bound    float64 `json:"bound"`    // share earned by the clairvoyant scheduler, an approximate bound
	Refused  float64 `json:"refused"`  // share of the jobs
	Held     float64 `json:"held"`     // worth refused late, as a share of the worth owed
	Moved    float64 `json:"moved"`    // runs moved to another target, as a share of the starts
	Rejected float64 `json:"rejected"` // rejected start orders, as a share of the starts
	Ejected  float64 `json:"ejected"`  // seconds for which healthy targets were ejected
	Again    float64 `json:"again"`    // refusals of callers that retry, per job
	Wait     float64 `json:"wait"`     // mean seconds until a job completed
	Served   float64 `json:"served"`   // share of the jobs that completed
	Frames   float64 `json:"frames"`   // between entries and agents, per run
	Broken   string  `json:"broken"`   // first violation of an invariant
}

// resultOf plays a scene with a seed and returns the result as JSON, or the text of an encoding
// error.
func resultOf(s fleet.Scene, seed uint64) string {
	w := s.New(seed)
	w.Run()
	var total fleet.Credit
	for _, c := range w.Credits {
		total = total.Plus(c)
	}
	stats := w.Stats()
	line, err := json.Marshal(result{
		Earned:   total.Share(),
		Worst:    w.Worst(),
		Bound:    w.Clairvoyant(s.Outages),
		Refused:  float64(stats.Refused) / float64(total.Jobs),
		Held:     total.Held / total.Owed,
		Moved:    float64(stats.Moved) / float64(stats.Starts),
		Rejected: float64(stats.Rejected) / float64(stats.Starts),
		Ejected:  w.HealthyEjectedTime.Seconds(),
		Again:    float64(w.Retries.Refused) / float64(total.Jobs),
		Wait:     w.Retries.Taken.Seconds() / float64(max(1, w.Retries.Served)),
		Served:   float64(w.Retries.Served) / float64(total.Jobs),
		Frames:   float64(w.Frames) / float64(stats.Starts-stats.Rejected),
		Broken:   w.Violation,
	})
	if err != nil {
		return err.Error()
	}
	return string(line)
}

// mean returns the mean of a metric over the seeds.
func mean(results []result, metric func(result) float64) float64 {
	sum := 0.0
	for _, r := range results {
		sum += metric(r)
	}
	return sum / float64(len(results))
}

// meanDifference returns the mean of the paired differences of a metric, and its standard
// error.
func meanDifference(base, head []result, metric func(result) float64) (value, standardError float64) {
	n := float64(len(base))
	for k := range base {
		value += (metric(head[k]) - metric(base[k])) / n
	}
	squares := 0.0
	for k := range base {
		d := metric(head[k]) - metric(base[k]) - value
		squares += d * d
	}
	return value, math.Sqrt(squares / max(1, n-1) / n)
}

// barWidth is the width of a bar in characters.
const barWidth = 20

// bar returns a bar that is empty for shares up to 0.5 and full at 1.
func bar(share float64) string {
	filled := min(barWidth, max(0, int(math.Round((share-0.5)*2*barWidth))))
	line := make([]byte, barWidth)
	for k := range line {
		line[k] = '.'
		if k < filled {
			line[k] = '#'
		}
	}
	return string(line)
}

// printTable prints the results of the variant and their differences from base.
func (v *variant) printTable(out io.Writer, base *variant, names []string) {
	fmt.Fprintf(out, "\n%s\n%-44s %6s %6s %6s %7s %6s %6s %7s %7s %6s", v.name,
		"scene", "earned", "worst", "bound", "refused", "held", "moved", "rejected", "ejected", "frames")
	if v != base {
		fmt.Fprintf(out, "  %8s %7s %8s %7s", "+earned", "s.e.", "+worst", "s.e.")
	}
	fmt.Fprintln(out)
	var allBase, allHead []result
	for _, name := range names {
		r := v.results[name]
		if len(r) == 0 || len(r) != len(base.results[name]) {
			fmt.Fprintf(out, "%-44s not played\n", name)
			continue
		}
		allBase, allHead = append(allBase, base.results[name]...), append(allHead, r...)
		printRow(out, name, base.results[name], r, v != base)
	}
	if len(allHead) > 0 {
		printRow(out, "all", allBase, allHead, v != base)
	}
}

// printRow prints the means of one scene and, if compared is set, the differences from base.
func printRow(out io.Writer, name string, base, head []result, compared bool) {
	fmt.Fprintf(out, "%-44s %6.3f %6.3f %6.3f %7.3f %6.3f %6.3f %7.3f %7.2f %6.2f", name,
		mean(head, earned), mean(head, worst), mean(head, func(r result) float64 { return r.Bound }),
		mean(head, func(r result) float64 { return r.Refused }), mean(head, func(r result) float64 { return r.Held }),
		mean(head, func(r result) float64 { return r.Moved }), mean(head, func(r result) float64 { return r.Rejected }),
		mean(head, func(r result) float64 { return r.Ejected }), mean(head, func(r result) float64 { return r.Frames }))
	if compared {
		e, se := meanDifference(base, head, earned)
		w, sw := meanDifference(base, head, worst)
		fmt.Fprintf(out, "  %+8.4f %7.4f %+8.4f %7.4f", e, se, w, sw)
	} else {
		fmt.Fprintf(out, "  %s", bar(mean(head, earned)))
	}
	fmt.Fprintln(out)
	for k, r := range head {
		if r.Broken != "" {
			fmt.Fprintf(out, "  BROKEN seed %d: %s\n", k+1, r.Broken)
		}
	}
}

func earned(r result) float64 { return r.Earned }

func worst(r result) float64 { return r.Worst }
