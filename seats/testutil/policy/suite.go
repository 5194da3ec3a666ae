package policy

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/beaconpoint/beaconpoint/seats/dispatch"
)

// Sizes of today, for each of the two users.
const (
	entries   = 3
	targets   = 11
	slots     = 8
	oneWay    = 500 * time.Microsecond
	largeJob  = 200
	agentRoom = 0
)

// System is what a workload is run through.
type System struct {
	Name string
	Run  func(Workload) *Result
}

// Systems returns the system in service and the baselines.
func Systems() []System {
	ours := Fleet{Name: "beaconpoint", Homes: entries, Targets: targets, Slots: slots,
		AgentQueue: agentRoom, Delay: oneWay, Policy: dispatch.DefaultPolicy()}
	knowing := Fleet{Name: "all-knowing, fewest unstarted", Homes: 1, Targets: targets, Slots: slots,
		Policy: dispatch.Policy{Order: dispatch.FewestUnstarted, Choose: dispatch.LeastLoaded}}
	firstCome := knowing
	firstCome.Name, firstCome.Policy.Order = "all-knowing, first come", dispatch.FirstCome
	return []System{
		{ours.Name, ours.Run}, {knowing.Name, knowing.Run}, {firstCome.Name, firstCome.Run},
	}
}

// Troubles returns the system in service under trouble, and the all-knowing
// queue under the same.
func Troubles(span time.Duration) []System {
	var all []System
	for _, s := range []struct {
		name string
		with func(*Fleet)
	}{
		{"a target at half speed", func(f *Fleet) { f.Slow = 2 }},
		{"a target lost", func(f *Fleet) { f.LoseAt = span / 2 }},
	} {
		ours := Fleet{Name: "beaconpoint, " + s.name, Homes: entries, Targets: targets, Slots: slots,
			AgentQueue: agentRoom, Delay: oneWay, Policy: dispatch.DefaultPolicy()}
		knowing := Fleet{Name: "all-knowing, " + s.name, Homes: 1, Targets: targets, Slots: slots,
			Policy: dispatch.Policy{Order: dispatch.FewestUnstarted, Choose: dispatch.LeastLoaded}}
		s.with(&ours)
		s.with(&knowing)
		all = append(all, System{ours.Name, ours.Run}, System{knowing.Name, knowing.Run})
	}
	return all
}

// Bounds of the fleets under overload.
const (
	overloadQueue  = 1000
	overloadExpiry = 20 * time.Second
	fixedRetry     = time.Second
)

// Overloads returns the system in service with a bounded queue and jobs that
// expire, its callers obeying the time to come back or waiting a fixed time.
func Overloads() []System {
	obeying := Fleet{Name: "come back when told", Homes: entries, Targets: targets, Slots: slots, Delay: oneWay,
		Policy: dispatch.DefaultPolicy(), Queue: overloadQueue, Expiry: overloadExpiry}
	fixed := obeying
	fixed.Name, fixed.FixedRetry = "come back after 1 s", fixedRetry
	return []System{{obeying.Name, obeying.Run}, {fixed.Name, fixed.Run}}
}

// WriteOverload writes the rows of an overload as a Markdown table.
func WriteOverload(out io.Writer, rows []Row) error {
	var b strings.Builder
	b.WriteString("| load | callers | goodput | refusals a job | jobs given up | jobs begun in vain | mean of complete | p99 |\n")
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

// floodOrganisation floods; floodLoad is what it offers, over the capacity, in jobs of
// few tasks, which the order prefers.
const (
	floodOrganisation = "flood"
	floodLoad         = 1.5
	floodJob          = 5
)

// Floods returns a quiet organisation alone and beside a flooding one.
func Floods(w Workload) []System {
	alone := Fleet{Name: "quiet organisation alone", Homes: entries, Targets: targets, Slots: slots, Delay: oneWay, Policy: dispatch.DefaultPolicy()}
	beside := alone
	beside.Name = "quiet organisation beside a flood of 150%"
	flood := Workload{Load: floodLoad, Slots: w.Slots, Seed: w.Seed + 1, LargestJob: floodJob, Organisation: floodOrganisation}
	return []System{{alone.Name, alone.Run}, {beside.Name, func(w Workload) *Result {
		// As many jobs as come while the quiet organisation's do.
		own := flood
		own.Jobs = int(float64(w.Jobs) * floodLoad / w.Load * w.meanSize() / flood.meanSize())
		f := beside
		f.Beside = &own
		return f.Run(w)
	}}}
}

// Row is a result at one load.
type Row struct {
	Load float64
	*Result
}

// Compare runs every system at every load, several at once, and returns the
// rows in order.
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

// DefaultWorkload returns the workload of today's sizes.
func DefaultWorkload(jobs int, seed uint64) Workload {
	return Workload{Slots: targets * slots, Jobs: jobs, Seed: seed, LargestJob: largeJob}
}

// WriteTable writes the rows as a Markdown table.
func WriteTable(out io.Writer, rows []Row) error {
	var b strings.Builder
	b.WriteString("| load | system | mean | p50 | p99 | worst | largest tenth, mean | wasted messages a start | jobs without an answer |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %.0f%% | %s | %.2f | %.2f | %.2f | %.1f | %.2f | %.3f | %d |\n",
			100*r.Load, r.Name, r.Mean(), r.Quantile(50), r.Quantile(99), r.Worst(), r.LargestMean(), r.WastedPerStart(), r.Unanswered)
	}
	_, err := io.WriteString(out, b.String())
	return err
}
