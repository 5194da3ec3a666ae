// Package demo runs a small system in one process on loopback, with test
// doubles for the platform and the targets.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/oklog/run"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/agent"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/entry"
	"github.com/beaconpoint/beaconpoint/seats/operator"
	"github.com/beaconpoint/beaconpoint/seats/settings"
	standplatform "github.com/beaconpoint/beaconpoint/seats/standin/store"
	standtarget "github.com/beaconpoint/beaconpoint/seats/standin/target"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Size and time limits of the demo.
const (
	entries      = 3
	agents       = 3
	slots        = 8
	tasks        = 40
	service      = "trackd"
	organisation = "port-gate"
	readyTimeout = 5 * time.Second
	stopTimeout  = 5 * time.Second
)

// anyPort is a loopback address with a port chosen by the operating system.
const anyPort = "127.0.0.1:0"

// Config configures a demo.
type Config struct {
	// Stay keeps the system running after the job.
	Stay bool
	// Out receives the progress messages.
	Out io.Writer
	// Log receives the logs of entries and agents.
	Log *slog.Logger
}

// system holds the entries, agents and targets of the demo.
type system struct {
	cfg     Config
	group   run.Group
	dir     string
	token   string
	entries []*entry.Entry
	agents  []*agent.Agent
	targets []*standtarget.Target
}

// Run starts the system and submits a job to it. It then stops the system, or
// with Stay waits until ctx is done.
func Run(ctx context.Context, cfg Config) error {
	dir, err := os.MkdirTemp("", "beaconpoint-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s := &system{cfg: cfg, dir: dir, token: fmt.Sprintf("demo-%x", agent.NewIncarnation())}
	if err := s.build(); err != nil {
		return err
	}
	scenarioCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.group.Add(func() error { return s.runScenario(scenarioCtx) }, func(error) { cancel() })
	return s.group.Run()
}

// build creates the test doubles, agents and entries and adds them to the run
// group.
func (s *system) build() error {
	store := standplatform.NewStore(time.Second)
	base, err := s.addServer(standplatform.NewServer(store))
	if err != nil {
		return err
	}
	tokens := filepath.Join(s.dir, "tokens.yaml")
	line := fmt.Sprintf("- {name: demo, token: %s, change: true}\n", s.token)
	if err := os.WriteFile(tokens, []byte(line), 0o600); err != nil {
		return err
	}
	for k := range agents {
		if err := s.addAgent(k); err != nil {
			return err
		}
	}
	for k := range entries {
		if err := s.addEntry(k, base, tokens); err != nil {
			return err
		}
	}
	s.printf("started %d entries, %d agents with targets, 1 platform stand-in", entries, agents)
	return nil
}

func (s *system) addAgent(k int) error {
	t := standtarget.NewTarget()
	base, err := s.addServer(t)
	if err != nil {
		return err
	}
	cfg := settings.Default()
	cfg.Role, cfg.Region, cfg.Hall = wire.RoleAgent, "demo", "hall1"
	cfg.Name, cfg.Peers = fmt.Sprintf("worker%d", k+1), anyPort
	cfg.Agent.Target = base
	a, err := agent.NewAgent(cfg, s.cfg.Log)
	if err != nil {
		return err
	}
	s.targets = append(s.targets, t)
	s.agents = append(s.agents, a)
	s.addProcess(a.Run)
	return nil
}

func (s *system) addEntry(k int, platform, tokens string) error {
	cfg := settings.Default()
	cfg.Role, cfg.Region, cfg.Hall = wire.RoleEntry, "demo", "hall1"
	cfg.Name, cfg.Peers = fmt.Sprintf("entry%d", k+1), anyPort
	cfg.Entry.Callers, cfg.Entry.Operators = anyPort, anyPort
	cfg.Entry.Platform, cfg.Entry.Tokens = platform, tokens
	e, err := entry.NewEntry(cfg, s.cfg.Log)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	s.addProcess(e.Run)
	return nil
}

// addProcess adds an entry or agent to the run group. When the group stops, the
// context of serve is cancelled.
func (s *system) addProcess(serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	s.group.Add(func() error { return serve(ctx) }, func(error) { cancel() })
}

// addServer adds an HTTP server for a test double to the run group and returns its
// base URL.
func (s *system) addServer(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	stop, cancel := context.WithCancel(context.Background())
	s.group.Add(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-stop.Done()
		return nil
	}, func(error) {
		// Entries and agents need the test doubles while they drain.
		go func() {
			time.Sleep(stopTimeout / 2)
			_ = srv.Close()
			cancel()
		}()
	})
	return "http://" + l.Addr().String(), nil
}

// runScenario configures the service, submits the job and prints the result.
func (s *system) runScenario(ctx context.Context) error {
	ops := operator.NewClient(s.entries[0].OperatorsURL(), s.token)
	if err := s.configure(ctx, ops); err != nil {
		return err
	}
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	if err := s.runJob(ctx); err != nil {
		return err
	}
	if !s.cfg.Stay {
		return nil
	}
	s.printf("\nserving; stop with Ctrl-C. Submit a job with:\n  curl -s -H 'Content-Type: application/json' -d '{\"id\":\"job-1\",\"member\":\"%s\",\"tasks\":[{\"id\":\"a\",\"payload\":{\"ms\":100}}]}' %s/v1/services/%s/jobs",
		organisation, s.entries[1].CallersURL(), service)
	s.printf("look at an entry with:\n  curl -s -H 'Authorization: Bearer %s' %s/v1/status", s.token, s.entries[0].OperatorsURL())
	<-ctx.Done()
	return nil
}

func (s *system) configure(ctx context.Context, ops *operator.Client) error {
	in := config.Intent{
		Organisations: []config.Organisation{{Name: organisation}},
		Services:      []config.Service{{Name: service}},
	}
	for k, a := range s.agents {
		in.Services[0].Targets = append(in.Services[0].Targets, config.Target{
			Name: fmt.Sprintf("worker%d", k+1), Agent: a.Addr(), Slots: slots, Connections: 64,
		})
	}
	p, err := ops.Plan(ctx, in)
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	for _, line := range p.Changes {
		s.printf("plan: %.100s", line)
	}
	c, err := ops.Confirm(ctx, p)
	if err != nil {
		return fmt.Errorf("confirm: %w", err)
	}
	s.printf("confirmed: revision %d", c.Revision)
	return nil
}

// waitReady waits until every entry holds its lease, has settled and lists all
// agents and entries.
func (s *system) waitReady(ctx context.Context) error {
	began := time.Now()
	for time.Since(began) < readyTimeout {
		ready := true
		for _, e := range s.entries {
			st := e.Status()
			ready = ready && st.Standing && st.Settled && len(st.Agents) == agents && len(st.Seats) == entries
		}
		if ready {
			s.printf("ready after %d ms", time.Since(began).Milliseconds())
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return errors.New("the system did not get ready")
}

func (s *system) runJob(ctx context.Context) error {
	j, longest := mixedJob()
	c := seats.NewClient(s.entries[1].CallersURL())
	before := s.messages()
	began := time.Now()
	a, err := c.Submit(ctx, service, j)
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	took := time.Since(began)
	if a.State != seats.Complete {
		return fmt.Errorf("the job was %s: %d %s: %s", a.State, a.Code, a.Name, a.Message)
	}
	s.printf("job %s: %s with %d results, the first %s", a.ID, a.State, len(a.Results), a.Results[0].Output)
	s.printf("response %d ms, ideal %d ms (its longest task): %.2f times the ideal",
		took.Milliseconds(), longest.Milliseconds(), float64(took)/float64(longest))
	started, repeated := s.starts()
	s.printf("%d tasks started, %d twice; %.2f messages a task, heartbeats included",
		started, repeated, float64(s.messages()-before)/tasks)
	return nil
}

// mixedJob returns a job of short and long tasks and the duration of its longest
// task.
func mixedJob() (seats.Job, time.Duration) {
	j := seats.Job{ID: "demo-job", Organisation: organisation}
	longestMS := 0
	for k := range tasks {
		ms := 50 + (k*37)%200
		if k == tasks/2 {
			ms = 900
		}
		longestMS = max(longestMS, ms)
		j.Tasks = append(j.Tasks, seats.Task{
			ID:         fmt.Sprintf("task-%02d", k),
			Payload:    fmt.Appendf(nil, `{"ms":%d,"echo":"fix-%d"}`, ms, k),
			ExpectedMS: int64(ms),
		})
	}
	return j, time.Duration(longestMS) * time.Millisecond
}

func (s *system) messages() uint64 {
	n := uint64(0)
	for _, e := range s.entries {
		n += e.Messages()
	}
	return n
}

func (s *system) starts() (started, repeated int) {
	for _, t := range s.targets {
		for _, n := range t.Starts() {
			started++
			if n > 1 {
				repeated++
			}
		}
	}
	return started, repeated
}

func (s *system) printf(format string, args ...any) {
	fmt.Fprintf(s.cfg.Out, format+"\n", args...)
}
