// Package system runs entries, agents and the emulated platform in the process of the test,
// connected over loopback.
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

// Names and path prefix in the configuration of Start.
const (
	Service = "trackd"
	Host    = "queue.example"
	Prefix  = "/jobs/"
)

// conditionTimeout is the timeout of Until. It has a margin for busy machines.
const conditionTimeout = 60 * time.Second

// heartbeatInterval is the interval between the heartbeats of a target.
const heartbeatInterval = 100 * time.Millisecond

// forgetAfter is how long an agent must be unreachable before entries forget it.
const forgetAfter = time.Second

// claimTimeout is the timeout of a claim call to an agent. It is longer than in production, as
// processes may stall on a busy machine.
const claimTimeout = 5 * time.Second

// System is a set of entries and agents with the emulated platform.
type System struct {
	tb      testing.TB
	Store   *store.Store
	store   string // host and port of Store
	Targets []*target.Target
	wrap    func(http.Handler) http.Handler // wraps the HTTP handler of each target
	Entries []*Process
	Agents  []*Process
}

// Process is an entry or an agent, which tests may stop and start again.
type Process struct {
	settings settings.Node
	run      func(context.Context) error
	cancel   context.CancelFunc
	done     chan struct{}
}

// hostCount counts the addresses returned by freeAddr.
var hostCount atomic.Uint32

// freeAddr returns a free TCP address. The loopback IP depends on the process and changes with
// each call, so that other nodes are unlikely to use the same one.
func freeAddr(tb testing.TB) string {
	tb.Helper()
	pid, n := os.Getpid(), hostCount.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 192+(pid>>8)%60, pid%256, 1+n%250)
	l, err := net.Listen("tcp", host+":0")
	assert.NilError(tb, err)
	defer l.Close()
	return l.Addr().String()
}

// Start starts a system and waits until all entries are ready.
func Start(tb testing.TB, entries, agents int) *System {
	tb.Helper()
	return StartWrapped(tb, entries, agents, func(h http.Handler) http.Handler { return h })
}

// StartWrapped is like Start, but wraps the HTTP handler of each target, so that tests can
// observe or change the calls of agents.
func StartWrapped(tb testing.TB, entries, agents int, wrap func(http.Handler) http.Handler) *System {
	tb.Helper()
	s := &System{tb: tb, Store: store.NewStore(), wrap: wrap}
	server := httptest.NewServer(s.Store)
	tb.Cleanup(server.Close)
	s.store = strings.TrimPrefix(server.URL, "http://")
	tb.Cleanup(s.stopAll)
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

// Configure stores a configuration with one route and one service.
func (s *System) Configure(version int, prefix string) {
	s.Store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-1","host":%q,"path_prefix":%q,
		"type":"non_idempotent","timeout_ms":1500,"target_latency_ms":60000,"priority":0,"service":%q,"attempts":2,"stretch":1.6}],
		"services":[{"name":%q}],"limits":{"max_body_bytes":4096}}`, version, Host, prefix, Service, Service))
}

// HallOf returns the data hall of target k. Each target has its own.
func HallOf(k int) string {
	return fmt.Sprintf("hall-%d", k)
}

// Evacuate requests the evacuation of the hall of target k.
func (s *System) Evacuate(k int) {
	s.Store.Put("op/evacuate/"+HallOf(k), []byte(`{}`))
}

// EndEvacuation requests the end of the evacuation of the hall of target k.
func (s *System) EndEvacuation(k int) {
	s.Store.Remove("op/evacuate/" + HallOf(k))
}

// addAgent starts agent k and its target, which sends heartbeats until the test ends.
func (s *System) addAgent(k int) {
	t := target.NewTarget(Service, 4000)
	t.Hall = HallOf(k)
	server := httptest.NewServer(s.wrap(t))
	s.tb.Cleanup(server.Close)
	s.Targets = append(s.Targets, t)
	n := s.nodeSettings(peer.RoleAgent, fmt.Sprintf("side-%d", k))
	n.HeartbeatAddr = freeAddr(s.tb)
	n.TargetAddr = strings.TrimPrefix(server.URL, "http://")
	p := &Process{settings: n, run: func(ctx context.Context) error {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		a := node.NewAgent(n, platform.NewStore(n.StoreAddr, log).Directory(), platform.NewTargetClient(n.TargetAddr).Calls(),
			log)
		a.Serve = platform.NewTargetAPI(a, n.HeartbeatAddr, log).Serve
		return a.Run(ctx)
	}}
	s.Agents = append(s.Agents, p)
	s.StartProcess(p)
	stop := make(chan struct{})
	s.tb.Cleanup(func() { close(stop) })
	go func() {
		for seq := 1; ; seq++ {
			_ = t.SendHeartbeat(n.HeartbeatAddr, seq) // the agent may be stopped
			select {
			case <-stop:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
}

// addEntry starts entry k.
func (s *System) addEntry(k int) {
	n := s.nodeSettings(peer.RoleEntry, fmt.Sprintf("edge-%d", k))
	n.CallerAddr, n.ReadinessAddr, n.MetricsAddr = freeAddr(s.tb), freeAddr(s.tb), freeAddr(s.tb)
	p := &Process{settings: n, run: func(ctx context.Context) error {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		store := platform.NewStore(n.StoreAddr, log)
		e := node.NewEntry(n, store.Directory(), store.Source(), log)
		e.ForgetAfter = forgetAfter
		e.SetClaimTimeout(claimTimeout)
		e.Serve = platform.NewCallerAPI(e, n, log).Serve
		return e.Run(ctx)
	}}
	s.Entries = append(s.Entries, p)
	s.StartProcess(p)
}

// nodeSettings returns default settings with a free address for peers and the address of the
// store.
func (s *System) nodeSettings(role peer.Role, name string) settings.Node {
	n := settings.DefaultNode()
	n.Role, n.Name, n.Hall, n.PeerAddr, n.StoreAddr = role, name, "z", freeAddr(s.tb), s.store
	return n
}

// StartProcess starts a new incarnation of p. The test fails if the incarnation ends with an error.
func (s *System) StartProcess(p *Process) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.cancel, p.done = cancel, done
	go func() {
		defer close(done)
		if err := p.run(ctx); err != nil {
			s.tb.Errorf("node %s stopped with an error: %v", p.settings.Name, err)
		}
	}()
}

// stopAll stops all processes and checks that no target was asked to run the same task twice
// concurrently.
func (s *System) stopAll() {
	all := append(append([]*Process(nil), s.Entries...), s.Agents...)
	for _, p := range all {
		p.SignalStop()
	}
	for _, p := range all {
		<-p.done
	}
	for _, t := range s.Targets {
		assert.Check(s.tb, len(t.DuplicateStarts()) == 0, "tasks started twice concurrently: %v", t.DuplicateStarts())
	}
}

// Stop signals p to stop and waits until it has stopped.
func (s *System) Stop(p *Process) {
	p.SignalStop()
	<-p.done
}

// SignalStop signals p to stop and does not wait.
func (p *Process) SignalStop() {
	p.cancel()
}

// UntilReady waits until entry k reports that it is ready.
func (s *System) UntilReady(k int) {
	s.tb.Helper()
	s.Until(func() bool {
		resp, err := http.Get("http://" + s.Entries[k].settings.ReadinessAddr + "/beaconpoint/readiness")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// UntilConnected waits until every entry is connected to every agent. An entry is ready as soon as
// it is connected to the first agent.
func (s *System) UntilConnected() {
	s.tb.Helper()
	linked := fmt.Sprintf("beaconpoint_agents %d\n", len(s.Agents))
	for k := range s.Entries {
		s.Until(func() bool { return strings.Contains(s.Metrics(k), linked) })
	}
}

// Until waits until holds returns true. It fails the test after conditionTimeout.
func (s *System) Until(holds func() bool) {
	s.tb.Helper()
	for started := time.Now(); !holds(); time.Sleep(heartbeatInterval / 5) {
		assert.Assert(s.tb, time.Since(started) < conditionTimeout,
			"condition of Until does not hold after conditionTimeout")
	}
}

// Call sends a request to entry k and returns the status and the body, or zero values if there
// was no answer.
func (s *System) Call(k int, method, path, body string) (int, string) {
	return s.CallContext(context.Background(), k, method, path, body)
}

// CallContext is like Call, but aborts the request when ctx ends.
func (s *System) CallContext(ctx context.Context, k int, method, path, body string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method,
		"http://"+s.Entries[k].settings.CallerAddr+path, strings.NewReader(body))
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

// Metrics returns the metrics of entry k, or an empty string if it can't be reached.
func (s *System) Metrics(k int) string {
	resp, err := http.Get("http://" + s.Entries[k].settings.MetricsAddr + node.MetricsPath)
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

// Do sends a request with additional headers to entry k. The caller must close the response
// body.
func (s *System) Do(k int, method, path, body string, headers map[string]string) *http.Response {
	s.tb.Helper()
	req, err := http.NewRequest(method, "http://"+s.Entries[k].settings.CallerAddr+path, strings.NewReader(body))
	assert.NilError(s.tb, err)
	req.Host = Host
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.tb, err)
	return resp
}

// ClosesConnection reports whether entry k closes the connection after answering a GET request for path.
// It returns false if there was no answer.
func (s *System) ClosesConnection(k int, path string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Entries[k].settings.CallerAddr+path, nil)
	assert.NilError(s.tb, err)
	req.Host = Host
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.Close
}

// Job returns the request body of a job with the given number of tasks of the given duration.
func Job(tasks int, duration time.Duration) string {
	return fmt.Sprintf(`{"spec":%q,"best_effort":true,"steps":[{"count":%d,"cpu":1000,"mem_mb":64,"estimate_ms":%d}]}`,
		duration, tasks, duration.Milliseconds())
}
