// Package system runs entries and agents with the platform's stand-ins in the
// test's own process, over loopback.
package system

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/node"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/platform"
	"github.com/beaconpoint/beaconpoint/settings"
	"github.com/beaconpoint/beaconpoint/standin/store"
	"github.com/beaconpoint/beaconpoint/standin/target"
)

// Names of what a system serves.
const (
	Service = "trackd"
	Host    = "queue.example"
	Prefix  = "/jobs/"
)

// patience is how long something that must happen may take on a busy machine.
const patience = 60 * time.Second

// reportInterval is how often targets send heartbeats.
const reportInterval = 100 * time.Millisecond

// forgetAfter is how long an agent can't be reached before it is forgotten.
const forgetAfter = time.Second

// claimTimeout is how long an agent may leave a claim unanswered: on a busy machine it stands
// still for longer than any deployment's would.
const claimTimeout = 5 * time.Second

// System is a set of processes with the stand-ins.
type System struct {
	tb      testing.TB
	Store   *store.Store
	store   string
	Targets []*target.Target
	wrap    func(http.Handler) http.Handler // put around the targets' interface
	Entries []*Process
	Agents  []*Process
}

// Process is one entry or agent, through all of its incarnations.
type Process struct {
	settings settings.Node
	run      func(context.Context) error
	cancel   context.CancelFunc
	done     chan struct{}
}

var hosts atomic.Uint32

// ownAddr returns a free address on a loopback host that nobody else uses.
func ownAddr(tb testing.TB) string {
	tb.Helper()
	pid, n := os.Getpid(), hosts.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 192+(pid>>8)%60, pid%256, 1+n%250)
	l, err := net.Listen("tcp", host+":0")
	assert.NilError(tb, err)
	defer l.Close()
	return l.Addr().String()
}

// Start starts a system and waits until every entry is ready.
func Start(tb testing.TB, entries, agents int) *System {
	tb.Helper()
	return StartWrapped(tb, entries, agents, func(h http.Handler) http.Handler { return h })
}

// StartWrapped starts a system in which wrap is put around each target's
// interface, to see or change what agents ask of it.
func StartWrapped(tb testing.TB, entries, agents int, wrap func(http.Handler) http.Handler) *System {
	tb.Helper()
	s := &System{tb: tb, Store: store.NewStore(), wrap: wrap}
	server := httptest.NewServer(s.Store)
	tb.Cleanup(server.Close)
	s.store = strings.TrimPrefix(server.URL, "http://")
	tb.Cleanup(s.end)
	s.Configure(1, Prefix)
	for k := range agents {
		s.addAgent(k)
	}
	for k := range entries {
		s.addEntry(k)
	}
	for k := range entries {
		s.UntilReady(k)
	}
	return s
}

// Configure writes a configuration with one queue.
func (s *System) Configure(version int, prefix string) {
	s.Store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-1","host":%q,"path_prefix":%q,
		"type":"non_idempotent","timeout_ms":1500,"target_latency_ms":60000,"priority":0,"service":%q,"attempts":2,"stretch":1.6}],
		"services":[{"name":%q}],"limits":{"max_body_bytes":4096}}`, version, Host, prefix, Service, Service))
}

// HallOf returns the data hall of target k: each stands in one of its own.
func HallOf(k int) string {
	return fmt.Sprintf("hall-%d", k)
}

// Evacuate asks that the hall of target k be evacuated.
func (s *System) Evacuate(k int) {
	s.Store.Put("op/evacuate/"+HallOf(k), []byte(`{}`))
}

// TakeBack ends the evacuation of the hall of target k.
func (s *System) TakeBack(k int) {
	s.Store.Remove("op/evacuate/" + HallOf(k))
}

// addAgent starts agent k with its target, which sends heartbeats until the test ends.
func (s *System) addAgent(k int) {
	w := target.NewTarget(Service, 4000)
	w.Hall = HallOf(k)
	server := httptest.NewServer(s.wrap(w))
	s.tb.Cleanup(server.Close)
	s.Targets = append(s.Targets, w)
	n := s.node(peer.RoleAgent, fmt.Sprintf("side-%d", k))
	n.Reports = ownAddr(s.tb)
	n.Target = strings.TrimPrefix(server.URL, "http://")
	p := &Process{settings: n, run: func(ctx context.Context) error {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		a := node.NewAgent(n, platform.NewStore(n.Store, log).Directory(), platform.NewTargetClient(n.Target).Calls(), log)
		a.Serve = platform.NewTargetAPI(a, n.Reports, log).Serve
		return a.Run(ctx)
	}}
	s.Agents = append(s.Agents, p)
	s.Begin(p)
	stop := make(chan struct{})
	s.tb.Cleanup(func() { close(stop) })
	go func() {
		for seq := 1; ; seq++ {
			_ = w.Report(n.Reports, seq) // the agent may be away
			select {
			case <-stop:
				return
			case <-time.After(reportInterval):
			}
		}
	}()
}

// addEntry starts entry k.
func (s *System) addEntry(k int) {
	n := s.node(peer.RoleEntry, fmt.Sprintf("edge-%d", k))
	n.Callers, n.Readiness, n.Metrics = ownAddr(s.tb), ownAddr(s.tb), ownAddr(s.tb)
	p := &Process{settings: n, run: func(ctx context.Context) error {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		store := platform.NewStore(n.Store, log)
		e := node.NewEntry(n, store.Directory(), store.Source(), log)
		e.ForgetAfter = forgetAfter
		e.SetClaimTimeout(claimTimeout)
		e.Serve = platform.NewCallerAPI(e, n, log).Serve
		return e.Run(ctx)
	}}
	s.Entries = append(s.Entries, p)
	s.Begin(p)
}

// node returns settings with addresses that nobody else uses.
func (s *System) node(role peer.Role, name string) settings.Node {
	n := settings.DefaultNode()
	n.Role, n.Name, n.Hall, n.Peers, n.Store = role, name, "z", ownAddr(s.tb), s.store
	return n
}

// Begin begins a new incarnation of p.
func (s *System) Begin(p *Process) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.cancel, p.done = cancel, done
	go func() {
		defer close(done)
		if err := p.run(ctx); err != nil {
			s.tb.Errorf("%s: %v", p.settings.Name, err)
		}
	}()
}

// end stops all processes, and checks that no target was asked to run a task twice at
// once.
func (s *System) end() {
	all := append(append([]*Process(nil), s.Entries...), s.Agents...)
	for _, p := range all {
		p.Tell()
	}
	for _, p := range all {
		<-p.done
	}
	for _, t := range s.Targets {
		assert.Check(s.tb, len(t.Doubled()) == 0, "started twice at once: %v", t.Doubled())
	}
}

// Stop tells p to stop, and waits until it has.
func (s *System) Stop(p *Process) {
	p.Tell()
	<-p.done
}

// Tell tells p to stop.
func (p *Process) Tell() {
	p.cancel()
}

// UntilReady waits until entry k calls itself ready.
func (s *System) UntilReady(k int) {
	s.tb.Helper()
	s.Until(func() bool {
		resp, err := http.Get("http://" + s.Entries[k].settings.Readiness + "/beaconpoint/readiness")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// UntilLinked waits until every entry is connected to every agent: one is ready with its first,
// and may find the others seconds later.
func (s *System) UntilLinked() {
	s.tb.Helper()
	linked := fmt.Sprintf("beaconpoint_agents %d\n", len(s.Agents))
	for k := range s.Entries {
		s.Until(func() bool { return strings.Contains(s.Metrics(k), linked) })
	}
}

// Until waits until the condition holds.
func (s *System) Until(holds func() bool) {
	s.tb.Helper()
	for began := time.Now(); !holds(); time.Sleep(reportInterval / 5) {
		assert.Assert(s.tb, time.Since(began) < patience, "it does not come to be")
	}
}

// Call sends a request to entry k and returns the status and the body, zero
// where there was no answer.
func (s *System) Call(k int, method, path, body string) (int, string) {
	return s.CallUntil(context.Background(), k, method, path, body)
}

// CallUntil is as Call; the connection breaks when the context ends.
func (s *System) CallUntil(ctx context.Context, k int, method, path, body string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Entries[k].settings.Callers+path, strings.NewReader(body))
	assert.NilError(s.tb, err)
	req.Host = Host
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(raw))
}

// Metrics returns the metrics of entry k, empty where it is away.
func (s *System) Metrics(k int) string {
	resp, err := http.Get("http://" + s.Entries[k].settings.Metrics + node.MetricsPath)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(raw)
}

// Do sends a request with more headers to entry k and returns the answer, whose
// body the caller closes.
func (s *System) Do(k int, method, path, body string, headers map[string]string) *http.Response {
	s.tb.Helper()
	req, err := http.NewRequest(method, "http://"+s.Entries[k].settings.Callers+path, strings.NewReader(body))
	assert.NilError(s.tb, err)
	req.Host = Host
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.tb, err)
	return resp
}

// Closes reports whether entry k closes its callers' connection after an answer.
func (s *System) Closes(k int, path string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Entries[k].settings.Callers+path, nil)
	assert.NilError(s.tb, err)
	req.Host = Host
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.Close
}

// Job returns the body of a job of the given number of tasks, each of which takes so long.
func Job(tasks int, took time.Duration) string {
	return fmt.Sprintf(`{"spec":%q,"best_effort":true,"steps":[{"count":%d,"cpu":1000,"mem_mb":64,"estimate_ms":%d}]}`,
		took, tasks, took.Milliseconds())
}
