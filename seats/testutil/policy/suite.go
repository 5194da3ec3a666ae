package policy

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/beaconpoint/beaconpoint/seats/dispatch"
)

// Sizes of the simulated fleets.
const (
	entries     = 3
	targets     = 11
	slots       = 8
	oneWayDelay = 500 * time.Microsecond
	largeJob    = 200
	agentQueue  = 0
)

// System is a named configuration that runs a workload.
type System struct {
	Name string
	Run  func(Workload) *Result
}

// Systems returns the default configuration and two baselines: a single entry
// without network delay, with two orders of jobs.
func Systems() []System {
	standard := Fleet{Name: "beaconpoint", Homes: entries, Targets: targets, Slots: slots,
		AgentQueue: agentQueue, Delay: oneWayDelay, Policy: dispatch.DefaultPolicy()}
	central := Fleet{Name: "central queue, fewest unstarted", Homes: 1, Targets: targets, Slots: slots,
		Policy: dispatch.Policy{Order: dispatch.FewestUnstarted, Choose: dispatch.LeastLoaded}}
	firstCome := central
	firstCome.Name, firstCome.Policy.Order = "central queue, first come first served", dispatch.FirstCome
	return []System{
		{standard.Name, standard.Run}, {central.Name, central.Run}, {firstCome.Name, firstCome.Run},
	}
}

// Troubles returns the default configuration and the central queue, each with a
// slow target and with a failed target.
func Troubles(span time.Duration) []System {
	var all []System
	for _, s := range []struct {
		name string
		with func(*Fleet)
	}{
		{"a target at half speed", func(f *Fleet) { f.Slow = 2 }},
		{"a failed target", func(f *Fleet) { f.LoseAt = span / 2 }},
	} {
		standard := Fleet{Name: "beaconpoint, " + s.name, Homes: entries, Targets: targets, Slots: slots,
			AgentQueue: agentQueue, Delay: oneWayDelay, Policy: dispatch.DefaultPolicy()}
		central := Fleet{Name: "central queue, " + s.name, Homes: 1, Targets: targets, Slots: slots,
			Policy: dispatch.Policy{Order: dispatch.FewestUnstarted, Choose: dispatch.LeastLoaded}}
		s.with(&standard)
		s.with(&central)
		all = append(all, System{standard.Name, standard.Run}, System{central.Name, central.Run})
	}
	return all
}

// Limits of the fleets under overload.
const (
	overloadQueue  = 1000
	overloadExpiry = 20 * time.Second
	fixedRetry     = time.Second
)

// Overloads returns the default configuration with a bounded queue and expiring
// jobs. Refused callers retry after the delay in the answer or a fixed delay.
func Overloads() []System {
	advised := Fleet{Name: "retry after the advised delay", Homes: entries, Targets: targets, Slots: slots, Delay: oneWayDelay,
		Policy: dispatch.DefaultPolicy(), Queue: overloadQueue, Expiry: overloadExpiry}
	fixed := advised
	fixed.Name, fixed.FixedRetry = "retry after 1 s", fixedRetry
	return []System{{advised.Name, advised.Run}, {fixed.Name, fixed.Run}}
}

// WriteOverload writes the results under overload as a Markdown table.
func WriteOverload(out io.Writer, rows []Row) error {
	var b strings.Builder
	b.WriteString("| load | callers | goodput | refusals per job | jobs given up | jobs failed | mean of complete | p99 |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		jobs := float64(r.Ratio.TotalCount()) + float64(r.Unserved+r.Failed)
		fmt.Fprintf(&b, "| %.0f%% | %s | %.1f%% | %.2f | %.1f%% | %.1f%% | %.2f | %.2f |\n",
			100*r.Load, r.Name, 100*r.Goodput(targets*slots), float64(r.Refusals)/jobs,
			100*float64(r.Unserved)/jobs, 100*float64(r.Failed)/jobs, r.Mean(), r.Quantile(99))
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// The flood of one organisation. floodLoad is its offered work divided by the
// capacity. Its jobs have at most floodJobSize tasks, so that the order favours them.
const (
	floodOrganisation = "flood"
	floodLoad         = 1.5
	floodJobSize      = 5
)

// Floods returns a fleet that serves one organisation and a fleet that also
// serves another one whose load exceeds the capacity.
func Floods(w Workload) []System {
	alone := Fleet{Name: "quiet organisation alone", Homes: entries, Targets: targets, Slots: slots, Delay: oneWayDelay, Policy: dispatch.DefaultPolicy()}
	beside := alone
	beside.Name = "quiet organisation beside a flood of 150%"
	flood := Workload{Load: floodLoad, Slots: w.Slots, Seed: w.Seed + 1, LargestJob: floodJobSize, Organisation: floodOrganisation}
	return []System{{alone.Name, alone.Run}, {beside.Name, func(w Workload) *Result {
		// The flood lasts as long as the arrivals of w.
		scaled := flood
		scaled.Jobs = int(float64(w.Jobs) * floodLoad / w.Load * w.meanJobSize() / flood.meanJobSize())
		f := beside
		f.Beside = &scaled
		return f.Run(w)
	}}}
}

// Row is the result of one system at one load.
type Row struct {
	Load float64
	*Result
}

// Compare runs every system at every load concurrently. Rows are ordered by load,
// then by system.
func Compare(systems []System, loads []float64, w Workload) []Row {
	rows := make([]Row, len(systems)*len(loads))
	var all sync.WaitGroup
	for i, load := range loads {
		for k, s := range systems {
			all.Go(func() {
				own := w
				own.Load = load
				rows[i*len(systems)+k] = Row{load, s.Run(own)}
			})
		}
	}
	all.Wait()
	return rows
}

// DefaultWorkload returns a workload for the default fleet. Compare sets its
// load.
func DefaultWorkload(jobs int, seed uint64) Workload {
	return Workload{Slots: targets * slots, Jobs: jobs, Seed: seed, LargestJob: largeJob}
}

// WriteTable writes the results as a Markdown table.
func WriteTable(out io.Writer, rows []Row) error {
	var b strings.Builder
	b.WriteString("| load | system | mean | p50 | p99 | worst | largest tenth, mean | wasted messages per start | jobs without an answer |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %.0f%% | %s | %.2f | %.2f | %.2f | %.1f | %.2f | %.3f | %d |\n",
			100*r.Load, r.Name, r.Mean(), r.Quantile(50), r.Quantile(99), r.Worst(), r.LargestMean(), r.WastedPerStart(), r.Unanswered)
	}
	_, err := io.WriteString(out, b.String())
	return err
}
