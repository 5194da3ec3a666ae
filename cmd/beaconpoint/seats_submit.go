package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/load"
	"github.com/beaconpoint/beaconpoint/seats/operator"
)

// defaultEntry is where the examples' first entry serves callers.
const defaultEntry = "http://127.0.0.1:7401"

func callerFlags(s *flaggy.Subcommand, entry, service *string) {
	s.String(entry, "e", "entry", "base URL of an entry")
	s.String(service, "", "service", "name of the service")
}

func submitCommand() *command {
	entry, service := defaultEntry, "trackd"
	var file, id, payload string
	organisation, tasks := "port-gate", 1
	timeout := time.Minute
	c := &command{sub: newCommand("submit", "submits a job and prints its answer")}
	callerFlags(c.sub, &entry, &service)
	c.sub.String(&file, "f", "file", "the job as JSON; without it the flags make one")
	c.sub.String(&id, "", "id", "the job's id")
	c.sub.String(&organisation, "m", "member", "the member it counts on")
	c.sub.Int(&tasks, "n", "tasks", "how many tasks")
	c.sub.String(&payload, "p", "payload", "each task's payload, as JSON")
	c.sub.Duration(&timeout, "t", "timeout", "how long to wait for the answer")
	c.run = func(ctx context.Context) int {
		j, err := jobFrom(file, id, organisation, payload, tasks)
		if err != nil {
			return fault(exitUsage, err)
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		a, err := seats.NewClient(entry).Submit(ctx, service, j)
		if err != nil {
			return fault(exitUnreachable, err)
		}
		return printAnswer(a)
	}
	return c
}

func jobFrom(file, id, organisation, payload string, tasks int) (seats.Job, error) {
	var j seats.Job
	if file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return j, err
		}
		return j, json.Unmarshal(raw, &j)
	}
	if payload == "" {
		payload = `{"ms":100}`
	}
	if !json.Valid([]byte(payload)) {
		return j, errors.New("the payload is not JSON")
	}
	if id == "" {
		id = fmt.Sprintf("job-%d", time.Now().UnixNano())
	}
	j = seats.Job{ID: id, Organisation: organisation}
	for k := range tasks {
		j.Tasks = append(j.Tasks, seats.Task{ID: fmt.Sprintf("task-%d", k), Payload: json.RawMessage(payload)})
	}
	return j, nil
}

func printAnswer(a seats.Answer) int {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(a); err != nil {
		return fault(exitFailed, err)
	}
	switch a.State {
	case seats.Complete:
		return exitOK
	case seats.Refused:
		return exitRefused
	}
	return exitFailed
}

func loadCommand() *command {
	cfg := load.DefaultConfig()
	entries, operators, token := defaultEntry, "", ""
	c := &command{sub: newCommand("load", "puts a bounded, seeded load of jobs on entries and prints what came of it")}
	c.sub.String(&entries, "e", "entries", "base URLs of entries, comma-separated")
	c.sub.String(&cfg.Service, "", "service", "name of the service")
	c.sub.String(&cfg.Organisation, "m", "member", "the member it counts on")
	c.sub.Int(&cfg.Jobs, "j", "jobs", "how many jobs")
	c.sub.Int(&cfg.LargestJob, "n", "tasks", "the largest job's tasks; sizes are log-uniform")
	c.sub.Float64(&cfg.JobsPerSecond, "r", "rate", "jobs a second")
	c.sub.Int(&cfg.ShortMS, "", "short", "the shortest task, in ms")
	c.sub.Int(&cfg.LongMS, "", "long", "the longest common task, in ms")
	c.sub.UInt64(&cfg.Seed, "", "seed", "seed of sizes, lengths and arrivals")
	c.sub.Duration(&cfg.Expiry, "x", "expiry", "expiry of each job; 0 for none")
	c.sub.String(&operators, "", "operators", "base URLs of all entries' operators' addresses, comma-separated, to count messages")
	c.sub.String(&token, "", "token", "bearer token for them")
	c.run = func(ctx context.Context) int {
		cfg.Entries = entries
		before, err := messages(ctx, operators, token)
		if err != nil {
			return fault(exitUnreachable, err)
		}
		r, err := load.Run(ctx, cfg)
		if err != nil {
			return fault(exitUsage, err)
		}
		fmt.Print(r.Text())
		after, err := messages(ctx, operators, token)
		if err != nil {
			return fault(exitUnreachable, err)
		}
		if starts := after.starts - before.starts; starts > 0 {
			fmt.Printf("messages a started task: %.2f in all, %.4f wasted\n",
				(after.frames-before.frames)/starts, (after.wasted-before.wasted)/starts)
		}
		return exitOK
	}
	return c
}

// counted is what entries tell of their messages.
type counted struct {
	starts, frames, wasted float64
}

// messages sums up what the entries at the operators' addresses tell; nothing
// where none are named.
func messages(ctx context.Context, operators, token string) (counted, error) {
	var sum counted
	if operators == "" {
		return sum, nil
	}
	for base := range strings.SplitSeq(operators, ",") {
		s, err := operator.NewClient(base, token).Status(ctx)
		if err != nil {
			return sum, err
		}
		sum.starts += float64(s.Counts.Starts)
		sum.frames += float64(s.Frames)
		sum.wasted += float64(s.Counts.Wasted())
	}
	return sum, nil
}
