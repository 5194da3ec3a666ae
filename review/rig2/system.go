package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/beaconpoint/beaconpoint/standin/store"
)

// routeHost is the host name of all routes.
const routeHost = "nony24.example"

// prefixOf returns the path prefix of a route.
func prefixOf(route string) string {
	return "/" + route + "/"
}

// halls and the number of workers in each, as on the sheet of the users' site.
var halls = []struct {
	name    string
	workers int
}{{"mtm", 4}, {"sulph", 4}, {"tepuke", 3}}

// workerKinds are the kinds of the workers, in turn.
var workerKinds = []string{"a", "a", "b"}

// readyTimeout bounds the start of the system.
const readyTimeout = 20 * time.Second

// process is a process of the project.
type process struct {
	name, program, settings     string
	callers, readiness, metrics string // of an entry
	log                         *os.File
	cmd                         *exec.Cmd
}

// system is a small deployment: three entries, and eleven agents beside as many workers.
type system struct {
	rec     *record
	dir     string
	store   *store.Store
	server  *http.Server
	entries []*process
	agents  []*process
	workers []*worker
	clients *clients
}

// startSystem starts the store, the workers and all processes, and waits until each entry is ready
// and connected to every agent.
func startSystem(rec *record, program string) (*system, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir, store: store.NewStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s.store}
	go func() { _ = s.server.Serve(l) }() // returns when the server is closed
	s.store.Put("op/config", []byte(config))
	if err := s.startNodes(program, l.Addr().String()); err != nil {
		s.stop()
		return nil, err
	}
	s.clients = &clients{rec: rec, entries: s.entries}
	if err := s.awaitReady(); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// config is the operator's configuration.
var config = fmt.Sprintf(`{"version":7,"routes":[%s,%s,%s],"services":[{"name":%q,"admission_check":false}],
	"limits":{"max_body_bytes":262144}}`,
	route("posfix", 0, 3), route("sealchk", 2, 2), route("holdq", 1, 2), service)

// route returns a route of the configuration.
func route(name string, priority, attempts int) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"type":"non_idempotent","timeout_ms":1500,
		"target_latency_ms":60,"priority":%d,"service":%q,"attempts":%d,"stretch":1.6}`,
		name, routeHost, prefixOf(name), priority, service, attempts)
}

// startNodes starts the workers, agents and entries.
func (s *system) startNodes(program, storeAddr string) error {
	for _, h := range halls {
		e := &process{name: "edge-" + h.name + "-1", program: program}
		if err := s.startEntry(e, h.name, storeAddr); err != nil {
			return err
		}
		for k := range h.workers {
			if err := s.startSide(program, h.name, k+1, storeAddr); err != nil {
				return err
			}
		}
	}
	return nil
}

// startEntry starts an entry with settings as the template of the deploy file gives them.
func (s *system) startEntry(e *process, hall, storeAddr string) error {
	addrs, err := freeAddrs(4)
	if err != nil {
		return err
	}
	e.callers, e.readiness, e.metrics = addrs[0], addrs[1], addrs[2]
	text := fmt.Sprintf(`role: entry
name: %q
zone: %q
peers: %q
store: %q
grace: "6s"
far: 1.5
link_mbps: 1000.0
descriptors: 4100
contracts: ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
metrics: %q
callers: %q
readiness: %q
`, e.name, hall, addrs[3], storeAddr, e.metrics, e.callers, e.readiness)
	s.entries = append(s.entries, e)
	return s.startProcess(e, text)
}

// startSide starts a worker and the agent beside it.
func (s *system) startSide(program, hall string, number int, storeAddr string) error {
	w, err := startWorker(s.rec, fmt.Sprintf("worker-%s-%d", hall, number), hall,
		[]string{workerKinds[len(s.workers)%len(workerKinds)], "r-" + hall})
	if err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	addrs, err := freeAddrs(3)
	if err != nil {
		return err
	}
	a := &process{name: fmt.Sprintf("side-%s-%d", hall, number), program: program}
	text := fmt.Sprintf(`role: agent
name: %q
zone: %q
peers: %q
store: %q
grace: "6s"
far: 1.5
metrics: %q
reports: %q
worker: %q
`, a.name, hall, addrs[0], storeAddr, addrs[1], addrs[2], w.addr())
	s.agents = append(s.agents, a)
	if err := s.startProcess(a, text); err != nil {
		return err
	}
	go w.sendHeartbeats(addrs[2])
	return nil
}

// kill sends SIGKILL to a process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait() // reports the kill
	p.cmd = nil
}

// startProcess writes the settings of a process and starts it.
func (s *system) startProcess(p *process, text string) error {
	p.settings = filepath.Join(s.dir, p.name+".yaml")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, p.name+".log"))
	if err != nil {
		return err
	}
	p.log = log
	p.cmd = exec.Command(p.program, "node", "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// hostCount counts the hosts returned by newHost.
var hostCount atomic.Uint32

// newHost returns a loopback IP for one host. Outgoing connections come from 127.0.0.1, so they
// can't take the ports that listeners of other hosts need.
func newHost() string {
	pid, n := os.Getpid(), hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%120, pid%256, 1+n%250)
}

// freeAddrs returns free addresses of a new host.
func freeAddrs(count int) ([]string, error) {
	host := newHost()
	var addrs []string
	for range count {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // after all were chosen, so that they differ
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// awaitReady waits until each entry is ready and connected to every agent.
func (s *system) awaitReady() error {
	linked := fmt.Sprintf("beaconpoint_agents %d\n", len(s.agents))
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range s.entries {
			status, _ := get("http://" + e.readiness + "/beaconpoint/readiness")
			_, figures := get("http://" + e.metrics + "/metrics")
			if status == http.StatusOK && strings.Contains(figures, linked) {
				ready++
			}
		}
		if ready == len(s.entries) {
			s.rec.note("all entries are ready and connected to all %d agents", len(s.agents))
			return nil
		}
	}
	return fmt.Errorf("the system was not ready within %v", readyTimeout)
}

// get returns the status and the body of a page, zero values if there is no answer.
func get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(raw)
}

// stop ends all processes and stand-ins, and removes the settings. With KEEP_LOGS set, the folder
// with the settings and logs stays.
func (s *system) stop() {
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		if p.cmd != nil && p.cmd.Process != nil {
			p.kill()
		}
		if p.log != nil {
			_ = p.log.Close()
		}
	}
	for _, w := range s.workers {
		w.stop()
	}
	_ = s.server.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
		return
	}
	fmt.Println("logs:", s.dir)
}
