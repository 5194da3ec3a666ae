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
	"go.yaml.in/yaml/v3"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/operator"
)

// defaultOperatorURLs are the operator URLs of the entries in the examples.
const defaultOperatorURLs = "http://127.0.0.1:7201,http://127.0.0.1:7202,http://127.0.0.1:7203"

// tokenVariable is the environment variable that holds the bearer token.
const tokenVariable = "BEACONPOINT_TOKEN"

// Limits of the wait for a rollout.
const (
	// rolloutPollInterval is the time between two status calls to all entries.
	rolloutPollInterval = 100 * time.Millisecond
	// rolloutTimeout limits the wait.
	rolloutTimeout = 30 * time.Second
)

// operatorFlags holds the flags that all operator commands share.
type operatorFlags struct {
	entries string
	token   string
	output  string
}

// flags sets the defaults and adds the flags to a command.
func (o *operatorFlags) flags(s *flaggy.Subcommand) {
	o.entries, o.output, o.token = defaultOperatorURLs, "text", os.Getenv(tokenVariable)
	s.String(&o.entries, "e", "entries", "operator base URLs of the entries, comma-separated")
	s.String(&o.token, "", "token", "bearer token; better in "+tokenVariable)
	s.String(&o.output, "o", "output", "text or json")
}

// clients returns a client for each of the given entries.
func (o *operatorFlags) clients() []*operator.Client {
	var all []*operator.Client
	for base := range strings.SplitSeq(o.entries, ",") {
		all = append(all, operator.NewClient(base, o.token))
	}
	return all
}

// print writes v as JSON if JSON output is selected, and text otherwise.
func (o *operatorFlags) print(v any, text string) {
	if o.output != "json" {
		fmt.Print(text)
		return
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// reportCallError prints the error of an operator call and returns its exit code.
func reportCallError(err error) int {
	return reportError(exitCodeOf(err), err)
}

// exitCodeOf maps the error of an operator call to an exit code.
func exitCodeOf(err error) int {
	switch code.Of(err, code.OK) {
	case code.OK, code.StoreDown:
		return exitUnreachable
	case code.PlanStale:
		return exitConflict
	case code.ChangeUnknown:
		return exitUnknown
	}
	return exitRefused
}

func planCommand() *command {
	var o operatorFlags
	var file, out string
	c := &command{sub: newCommand("plan", "prints the changes of an intent; with --plan, writes the plan to a file")}
	o.flags(c.sub)
	c.sub.String(&file, "f", "file", "the intent, as YAML or JSON")
	c.sub.String(&out, "p", "plan", "file to write the plan to")
	c.run = func(ctx context.Context) int {
		in, err := readIntent(file)
		if err != nil {
			return reportError(exitUsage, err)
		}
		return o.makePlan(ctx, in, out)
	}
	return c
}

// readIntent reads an intent from a file. Unknown keys are errors.
func readIntent(file string) (config.Intent, error) {
	var in config.Intent
	if file == "" {
		return in, errors.New("no intent given: use --file FILE")
	}
	f, err := os.Open(file)
	if err != nil {
		return in, err
	}
	defer f.Close()
	dec := yaml.NewDecoder(f) // accepts JSON, too
	dec.KnownFields(true)
	if err := dec.Decode(&in); err != nil {
		return in, fmt.Errorf("%s: %w", file, err)
	}
	return in, nil
}

// makePlan requests a plan for the intent, prints it, and writes it to the file out if
// that is set.
func (o *operatorFlags) makePlan(ctx context.Context, in config.Intent, out string) int {
	p, err := o.clients()[0].Plan(ctx, in)
	if err != nil {
		return reportCallError(err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "plan %s from revision %d\n", p.Change, p.Base)
	for _, line := range p.Changes {
		fmt.Fprintln(&text, line)
	}
	if len(p.Changes) == 0 {
		fmt.Fprintln(&text, "no changes")
	}
	for _, line := range p.Warnings {
		fmt.Fprintln(&text, "warning: "+line)
	}
	o.print(p, text.String())
	if out == "" {
		return exitOK
	}
	raw, err := json.Marshal(p)
	if err != nil {
		return reportError(exitFailed, err)
	}
	if err := os.WriteFile(out, raw, 0o600); err != nil {
		return reportError(exitFailed, err)
	}
	return exitOK
}

func confirmCommand() *command {
	var o operatorFlags
	var file string
	c := &command{sub: newCommand("confirm", "applies a plan and waits until every process runs it")}
	o.flags(c.sub)
	c.sub.AddPositionalValue(&file, "plan", 1, true, "file with the plan")
	c.run = func(ctx context.Context) int {
		raw, err := os.ReadFile(file)
		if err != nil {
			return reportError(exitUsage, err)
		}
		var p config.Plan
		if err := json.Unmarshal(raw, &p); err != nil {
			return reportError(exitUsage, fmt.Errorf("%s is not a plan: %w", file, err))
		}
		done, err := o.clients()[0].Confirm(ctx, p)
		if err != nil {
			return reportCallError(err)
		}
		o.print(done, fmt.Sprintf("accepted as revision %d\n", done.Revision))
		return o.waitForRollout(ctx, done.Revision)
	}
	return c
}

// waitForRollout waits until the given entries and the agents connected to them run the
// revision. It returns exitUnknown after rolloutTimeout or if the context is cancelled.
func (o *operatorFlags) waitForRollout(ctx context.Context, revision uint64) int {
	deadline := time.Now().Add(rolloutTimeout)
	for {
		updated, total := o.rolledOut(ctx, revision)
		fmt.Fprintf(os.Stderr, "\rrevision in force on %d of %d entries and their agents", updated, total)
		if updated == total {
			fmt.Fprintln(os.Stderr)
			return exitOK
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			fmt.Fprintln(os.Stderr)
			return reportError(exitUnknown, errors.New(
				"the change was accepted, but not all entries and agents reported it in force before the wait ended"))
		}
		time.Sleep(rolloutPollInterval)
	}
}

func (o *operatorFlags) rolledOut(ctx context.Context, revision uint64) (updated, total int) {
	for _, c := range o.clients() {
		total++
		if s, err := c.Status(ctx); err == nil && s.Config >= revision && s.AgentConfig >= revision {
			updated++
		}
	}
	return updated, total
}

func showCommand() *command {
	var o operatorFlags
	c := &command{sub: newCommand("show", "prints the configuration in force")}
	o.flags(c.sub)
	c.run = func(ctx context.Context) int {
		d, err := o.clients()[0].Config(ctx)
		if err != nil {
			return reportCallError(err)
		}
		d.History = nil
		raw, err := yaml.Marshal(d)
		if err != nil {
			return reportError(exitFailed, err)
		}
		o.print(d, string(raw))
		return exitOK
	}
	return c
}

func historyCommand() *command {
	var o operatorFlags
	c := &command{sub: newCommand("history", "prints the latest changes of the configuration")}
	o.flags(c.sub)
	c.run = func(ctx context.Context) int {
		d, err := o.clients()[0].Config(ctx)
		if err != nil {
			return reportCallError(err)
		}
		var text strings.Builder
		for _, l := range d.History {
			fmt.Fprintf(&text, "%d  %s  %s  %s\n", l.Revision, l.At, l.By, l.Summary)
		}
		o.print(d.History, text.String())
		return exitOK
	}
	return c
}

func drainCommand() *command {
	var o operatorFlags
	var target, out string
	var undo bool
	c := &command{sub: newCommand("drain", "makes a plan to drain a target, which then gets no new work")}
	o.flags(c.sub)
	c.sub.Bool(&undo, "u", "undo", "makes a plan to end the drain")
	c.sub.String(&out, "p", "plan", "file to write the plan to")
	c.sub.AddPositionalValue(&target, "target", 1, true, "name of the target")
	c.run = func(ctx context.Context) int {
		in := config.Intent{Drain: []string{target}}
		if undo {
			in = config.Intent{Undrain: []string{target}}
		}
		return o.makePlan(ctx, in, out)
	}
	return c
}

func statusCommand() *command {
	var o operatorFlags
	c := &command{sub: newCommand("status", "prints the status of every entry")}
	o.flags(c.sub)
	c.run = func(ctx context.Context) int {
		exit := exitOK
		var text strings.Builder
		all := make(map[string]any)
		for k, client := range o.clients() {
			base := strings.Split(o.entries, ",")[k]
			s, err := client.Status(ctx)
			if err != nil {
				exit = exitCodeOf(err)
				all[base] = err.Error()
				fmt.Fprintf(&text, "%s: %v\n", base, err)
				continue
			}
			all[base] = s
			fmt.Fprintf(&text,
				"%s standing %v settled %v; roster %d with %d seats, %d agents (%d open); configuration %d, agents %d; %d tasks wait, %d run\n",
				s.Seat, s.Standing, s.Settled, s.Roster, len(s.Seats), len(s.Agents), s.Open,
				s.Config, s.AgentConfig, s.Waiting, s.Running)
		}
		o.print(all, text.String())
		return exit
	}
	return c
}
