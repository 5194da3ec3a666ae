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

// defaultEntryURL is the caller URL of the first entry in the examples.
const defaultEntryURL = "http://127.0.0.1:7401"

func callerFlags(s *flaggy.Subcommand, entry, service *string) {
	s.String(entry, "e", "entry", "base URL of an entry")
	s.String(service, "", "service", "name of the service")
}

func submitCommand() *command {
	entry, service := defaultEntryURL, "trackd"
	var file, id, payload string
	organisation, tasks := "port-gate", 1
	timeout := time.Minute
	c := &command{sub: newCommand("submit", "submits a job and prints its answer")}
	callerFlags(c.sub, &entry, &service)
	c.sub.String(&file, "f", "file", "the job as JSON; default: a job made from the other flags")
	c.sub.String(&id, "", "id", "the ID of the job")
	c.sub.String(&organisation, "m", "member", "organisation whose quota the jobs count against")
	c.sub.Int(&tasks, "n", "tasks", "number of tasks")
	c.sub.String(&payload, "p", "payload", "payload of each task, as JSON")
	c.sub.Duration(&timeout, "t", "timeout", "time to wait for the answer")
	c.run = func(ctx context.Context) int {
		j, err := buildJob(file, id, organisation, payload, tasks)
		if err != nil {
			return reportError(exitUsage, err)
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		a, err := seats.NewClient(entry).Submit(ctx, service, j)
		if err != nil {
			return reportError(exitUnreachable, err)
		}
		return printAnswer(a)
	}
	return c
}

func buildJob(file, id, organisation, payload string, tasks int) (seats.Job, error) {
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
		return j, errors.New("payload is not valid JSON")
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
		return reportError(exitFailed, err)
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
	entries, operators, token := defaultEntryURL, "", ""
	c := &command{sub: newCommand("load", "submits a bounded, seeded load of jobs and prints the results")}
	c.sub.String(&entries, "e", "entries", "base URLs of entries, comma-separated")
	c.sub.String(&cfg.Service, "", "service", "name of the service")
	c.sub.String(&cfg.Organisation, "m", "member", "organisation whose quota the jobs count against")
	c.sub.Int(&cfg.Jobs, "j", "jobs", "number of jobs")
	c.sub.Int(&cfg.LargestJob, "n", "tasks", "number of tasks of the largest job; sizes are log-uniform")
	c.sub.Float64(&cfg.JobsPerSecond, "r", "rate", "jobs per second")
	c.sub.Int(&cfg.ShortMS, "", "short", "duration of the shortest task, in ms")
	c.sub.Int(&cfg.LongMS, "", "long", "duration of the longest common task, in ms")
	c.sub.UInt64(&cfg.Seed, "", "seed", "seed of job sizes, task durations and arrivals")
	c.sub.Duration(&cfg.Expiry, "x", "expiry", "expiry of each job; 0: none")
	c.sub.String(&operators, "", "operators", "operator base URLs of all entries, comma-separated, to count messages")
	c.sub.String(&token, "", "token", "bearer token for the operator URLs")
	c.run = func(ctx context.Context) int {
		cfg.Entries = entries
		before, err := sumMessageCounts(ctx, operators, token)
		if err != nil {
			return reportError(exitUnreachable, err)
		}
		r, err := load.Run(ctx, cfg)
		if err != nil {
			return reportError(exitUsage, err)
		}
		fmt.Print(r.Text())
		after, err := sumMessageCounts(ctx, operators, token)
		if err != nil {
			return reportError(exitUnreachable, err)
		}
		if starts := after.starts - before.starts; starts > 0 {
			fmt.Printf("messages per started task: %.2f total, %.4f wasted\n",
				(after.frames-before.frames)/starts, (after.wasted-before.wasted)/starts)
		}
		return exitOK
	}
	return c
}

// messageCounts are message counters of entries.
type messageCounts struct {
	starts, frames, wasted float64
}

// sumMessageCounts returns the sums of the counters of the entries at the operator URLs,
// or zeros if there are no URLs.
func sumMessageCounts(ctx context.Context, operators, token string) (messageCounts, error) {
	var sum messageCounts
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
