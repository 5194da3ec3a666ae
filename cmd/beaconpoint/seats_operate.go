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

// defaultOperators is where the examples' entries serve operators.
const defaultOperators = "http://127.0.0.1:7201,http://127.0.0.1:7202,http://127.0.0.1:7203"

// tokenVariable is the environment variable with the bearer token.
const tokenVariable = "BEACONPOINT_TOKEN"

// rolloutPoll and rolloutPatience bound the wait for a rollout.
const (
	rolloutPoll     = 100 * time.Millisecond
	rolloutPatience = 30 * time.Second
)

// operate is the common part of the operators' commands.
type operate struct {
	entries string
	token   string
	output  string
}

func (o *operate) flags(s *flaggy.Subcommand) {
	o.entries, o.output, o.token = defaultOperators, "text", os.Getenv(tokenVariable)
	s.String(&o.entries, "e", "entries", "operators' base URLs of the entries, comma-separated")
	s.String(&o.token, "", "token", "bearer token; better in "+tokenVariable)
	s.String(&o.output, "o", "output", "text or json")
}

func (o *operate) clients() []*operator.Client {
	var all []*operator.Client
	for base := range strings.SplitSeq(o.entries, ",") {
		all = append(all, operator.NewClient(base, o.token))
	}
	return all
}

// print writes v as JSON where that is asked for, and else the text.
func (o *operate) print(v any, text string) {
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

// problemExit prints a failed call and returns the exit code of its kind.
func problemExit(err error) int {
	return fault(exitOf(err), err)
}

// exitOf returns the exit code of a failed call's kind.
func exitOf(err error) int {
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
	var o operate
	var file, out string
	c := &command{sub: newCommand("plan", "prints what an intent would change, and writes the plan to confirm")}
	o.flags(c.sub)
	c.sub.String(&file, "f", "file", "the intent, as YAML or JSON")
	c.sub.String(&out, "p", "plan", "file to write the plan to")
	c.run = func(ctx context.Context) int {
		in, err := readIntent(file)
		if err != nil {
			return fault(exitUsage, err)
		}
		return o.makePlan(ctx, in, out)
	}
	return c
}

func readIntent(file string) (config.Intent, error) {
	var in config.Intent
	if file == "" {
		return in, errors.New("name the intent with --file FILE")
	}
	f, err := os.Open(file)
	if err != nil {
		return in, err
	}
	defer f.Close()
	dec := yaml.NewDecoder(f) // JSON is YAML
	dec.KnownFields(true)
	if err := dec.Decode(&in); err != nil {
		return in, fmt.Errorf("%s: %w", file, err)
	}
	return in, nil
}

// makePlan asks for a plan, prints it and writes it to out.
func (o *operate) makePlan(ctx context.Context, in config.Intent, out string) int {
	p, err := o.clients()[0].Plan(ctx, in)
	if err != nil {
		return problemExit(err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "plan %s from revision %d\n", p.Change, p.Base)
	for _, line := range p.Changes {
		fmt.Fprintln(&text, line)
	}
	if len(p.Changes) == 0 {
		fmt.Fprintln(&text, "nothing would change")
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
		return fault(exitFailed, err)
	}
	if err := os.WriteFile(out, raw, 0o600); err != nil {
		return fault(exitFailed, err)
	}
	return exitOK
}

func confirmCommand() *command {
	var o operate
	var file string
	c := &command{sub: newCommand("confirm", "puts a plan in force and waits until every process runs it")}
	o.flags(c.sub)
	c.sub.AddPositionalValue(&file, "plan", 1, true, "file with the plan")
	c.run = func(ctx context.Context) int {
		raw, err := os.ReadFile(file)
		if err != nil {
			return fault(exitUsage, err)
		}
		var p config.Plan
		if err := json.Unmarshal(raw, &p); err != nil {
			return fault(exitUsage, fmt.Errorf("%s is not a plan: %w", file, err))
		}
		done, err := o.clients()[0].Confirm(ctx, p)
		if err != nil {
			return problemExit(err)
		}
		o.print(done, fmt.Sprintf("accepted as revision %d\n", done.Revision))
		return o.waitForRollout(ctx, done.Revision)
	}
	return c
}

// waitForRollout waits until every entry that was named, and every agent that is
// connected to one, runs the revision.
func (o *operate) waitForRollout(ctx context.Context, revision uint64) int {
	deadline := time.Now().Add(rolloutPatience)
	for {
		there, all := o.rolledOut(ctx, revision)
		fmt.Fprintf(os.Stderr, "\rin force at %d of %d entries and their agents", there, all)
		if there == all {
			fmt.Fprintln(os.Stderr)
			return exitOK
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			fmt.Fprintln(os.Stderr)
			return fault(exitUnknown, errors.New("the change is accepted; not every process is known to run it yet"))
		}
		time.Sleep(rolloutPoll)
	}
}

func (o *operate) rolledOut(ctx context.Context, revision uint64) (there, all int) {
	for _, c := range o.clients() {
		all++
		if s, err := c.Status(ctx); err == nil && s.Config >= revision && s.AgentConfig >= revision {
			there++
		}
	}
	return there, all
}

func showCommand() *command {
	var o operate
	c := &command{sub: newCommand("show", "prints the configuration in force")}
	o.flags(c.sub)
	c.run = func(ctx context.Context) int {
		d, err := o.clients()[0].Config(ctx)
		if err != nil {
			return problemExit(err)
		}
		d.History = nil
		raw, err := yaml.Marshal(d)
		if err != nil {
			return fault(exitFailed, err)
		}
		o.print(d, string(raw))
		return exitOK
	}
	return c
}

func historyCommand() *command {
	var o operate
	c := &command{sub: newCommand("history", "prints the latest changes of the configuration")}
	o.flags(c.sub)
	c.run = func(ctx context.Context) int {
		d, err := o.clients()[0].Config(ctx)
		if err != nil {
			return problemExit(err)
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
	var o operate
	var target, out string
	var undo bool
	c := &command{sub: newCommand("drain", "plans that a target takes no new work")}
	o.flags(c.sub)
	c.sub.Bool(&undo, "u", "undo", "plans that it takes work again")
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
	var o operate
	c := &command{sub: newCommand("status", "prints where every entry stands")}
	o.flags(c.sub)
	c.run = func(ctx context.Context) int {
		exit := exitOK
		var text strings.Builder
		all := make(map[string]any)
		for k, client := range o.clients() {
			base := strings.Split(o.entries, ",")[k]
			s, err := client.Status(ctx)
			if err != nil {
				exit = exitOf(err)
				all[base] = err.Error()
				fmt.Fprintf(&text, "%s: %v\n", base, err)
				continue
			}
			all[base] = s
			fmt.Fprintf(&text, "%s standing %v settled %v; roster %d with %d seats, %d agents (%d open); configuration %d, agents %d; %d tasks wait, %d run\n",
				s.Seat, s.Standing, s.Settled, s.Roster, len(s.Seats), len(s.Agents), s.Open, s.Config, s.AgentConfig, s.Waiting, s.Running)
		}
		o.print(all, text.String())
		return exit
	}
	return c
}
