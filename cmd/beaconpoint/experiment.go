package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/beaconpoint/beaconpoint/experiment"
)

// loads are those that the experiment compares at.
var loads = []float64{0.5, 0.8, 0.95}

// floodJobs bounds the quiet member's jobs beside a flood.
const floodJobs = 600

func experimentCommand() *command {
	jobs, seed, dir := 2000, uint64(1), ""
	c := &command{sub: newCommand("experiment", "compares the policy with its baselines in virtual time")}
	c.sub.Int(&jobs, "j", "jobs", "how many jobs at each load")
	c.sub.UInt64(&seed, "", "seed", "seed of the workload")
	c.sub.String(&dir, "o", "out", "directory for the page policy.md and its plots; without it the tables are printed")
	c.run = func(context.Context) int {
		if jobs < 10 {
			return fault(exitUsage, fmt.Errorf("%d jobs are too few", jobs))
		}
		if err := runExperiment(jobs, seed, dir); err != nil {
			return fault(exitFailed, err)
		}
		return exitOK
	}
	return c
}

func runExperiment(jobs int, seed uint64, dir string) error {
	w := experiment.DefaultWorkload(jobs, seed)
	rows := experiment.Compare(experiment.Systems(), loads, w)
	span := time.Duration(jobs) * time.Second / 8
	troubled := experiment.Compare(experiment.Troubles(span), loads, w)
	bursty := w
	bursty.Burst, bursty.BurstFor = 5, 10*time.Second
	bursts := experiment.Compare(experiment.Systems()[:2], loads[:1], bursty)
	few := w
	few.Jobs = min(jobs, floodJobs) // a flood has many times as many
	floods := experiment.Compare(experiment.Floods(few), []float64{0.3}, few)
	overload := experiment.Compare(experiment.Overloads(), []float64{2, 5}, w)
	out := os.Stdout
	if dir != "" {
		page, err := os.Create(filepath.Join(dir, "policy.md"))
		if err != nil {
			return err
		}
		defer page.Close()
		out = page
	}
	fmt.Fprintf(out, "# The policy beside its baselines\n\nMade by `go run ./cmd/beaconpoint experiment --jobs %d --seed %d --out docs/measurements`: response time over the ideal (a job's longest task), in virtual time, at today's sizes.\n\n", jobs, seed)
	for _, part := range []struct {
		title string
		rows  []experiment.Row
	}{
		{"Common load", rows}, {"Under trouble", troubled}, {"A burst of 5 times the load for 10 s", bursts},
		{"A quiet member beside a flooding one", floods},
	} {
		fmt.Fprintf(out, "## %s\n\n", part.title)
		if err := experiment.WriteTable(out, part.rows); err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	fmt.Fprint(out, "## Overload\n\nA bounded queue, jobs that expire after 20 s, callers that come back until then.\n\n")
	if err := experiment.WriteOverload(out, overload); err != nil {
		return err
	}
	fmt.Fprintln(out)
	if dir == "" {
		return nil
	}
	for _, load := range loads {
		name, err := experiment.WritePlot(dir, load, rows)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "![load %.0f%%](%s)\n\n", 100*load, name)
	}
	return nil
}
