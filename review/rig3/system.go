package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/beaconpoint/beaconpoint/standin/store"
)

// Names in the configuration.
const (
	service = "trackd"
	host    = "sealchk.example"
	prefix  = "/sealchk/"
)

// process is one process of the system under test.
type process struct {
	name, binary, settings, logPath string
	front, ready, control, peers    string
	cmd                             *exec.Cmd
}

// system is a deployment on loopback addresses.
type system struct {
	dir     string
	rec     *recorder
	store   *store.Store
	entries []*process
	agents  []*process
	workers []*worker // workers[k] is beside agents[k]
}

// freePort listens on a free port of a loopback address.
func freePort(ip string) (net.Listener, error) {
	return net.Listen("tcp", ip+":0")
}

// freeAddrs returns different free addresses on a loopback address.
func freeAddrs(ip string, count int) ([]string, error) {
	var list []string
	for range count {
		l, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// configDocument is the operator's configuration.
func configDocument() []byte {
	body, _ := json.Marshal(map[string]any{"version": 3, "routes": []any{map[string]any{
		"name": "sealchk", "host": host, "path_prefix": prefix, "type": "non_idempotent", "timeout_ms": 60000,
		"target_latency_ms": 60, "priority": 0, "service": service, "attempts": 2, "stretch": 1.6}},
		"services": []any{map[string]any{"name": service, "admission_check": false}},
		"limits":   map[string]any{"max_body_bytes": 262144}})
	return body
}

// startSystem starts the platform's store, workers, agents and entries, and waits until each entry
// is ready and connected to each agent.
func startSystem(rec *recorder, entries, agents int) (*system, error) {
	dir, err := os.MkdirTemp("", "beaconpoint-review-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, rec: rec, store: store.NewStore()}
	s.store.Put("op/config", configDocument())
	l, err := freePort("127.0.0.1")
	if err != nil {
		return s, err
	}
	go func() { _ = http.Serve(l, s.store) }()
	zones := []string{"mtm", "sulph", "tepuke"}
	for k := range agents {
		if err := s.addAgent(fmt.Sprintf("side-%d", k+1), fmt.Sprintf("127.0.2.%d", k+1), zones[k%3], l.Addr().String()); err != nil {
			return s, err
		}
	}
	for k := range entries {
		if err := s.addEntry(fmt.Sprintf("edge-%d", k+1), fmt.Sprintf("127.0.1.%d", k+1), zones[k%3], l.Addr().String()); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady(20 * time.Second)
}

// fill fills the gaps of a template of the deploy file.
func fill(template string, values map[string]string) (string, error) {
	raw, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	text := string(raw)
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("%s has a gap without a value:\n%s", template, text)
	}
	return text, nil
}

// settings returns values for the gaps of both templates.
func settings(name, ip, zone, storeAddr string, ports []string) map[string]string {
	port := func(k int) string { return ports[k][strings.LastIndex(ports[k], ":")+1:] }
	return map[string]string{"node_name": name, "zone": zone, "ip": ip, "port_range.0": port(0),
		"platform.address": storeAddr, "bounds.grace_s": "6", "bounds.far_factor": "1.5", "limits.link_mbps": "1000",
		"limits.max_fds": "4100", "contracts|json": `["base","drain","config","cost","recover","sched","platform"]`,
		"listen.front": ports[1], "listen.ready": ports[2], "listen.control": ports[3]}
}

// addProcess writes the settings of a process and starts it.
func (s *system) addProcess(template, name, ip, zone, storeAddr, app string) (*process, error) {
	ports, err := freeAddrs(ip, 5)
	if err != nil {
		return nil, err
	}
	values := settings(name, ip, zone, storeAddr, ports)
	values["app"] = app
	text, err := fill(template, values)
	if err != nil {
		return nil, err
	}
	text = strings.ReplaceAll(text, ip+":9100", ports[4]) // the templates' port may be in use here
	p := &process{name: name, binary: "target/beaconpoint", settings: filepath.Join(s.dir, name+".yaml"),
		logPath: filepath.Join(s.dir, name+".log"), peers: ports[0], front: ports[1], ready: ports[2], control: ports[3]}
	if err := os.WriteFile(p.settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	return p, p.start()
}

// addAgent starts a worker and the agent beside it.
func (s *system) addAgent(name, ip, zone, storeAddr string) error {
	l, err := freePort(ip)
	if err != nil {
		return err
	}
	p, err := s.addProcess("deploy/agent.yaml", name, ip, zone, storeAddr, l.Addr().String())
	if err != nil {
		return err
	}
	s.agents = append(s.agents, p)
	s.workers = append(s.workers, startWorker("worker-"+name, zone, l, p.control, s.rec))
	return nil
}

// addEntry starts an entry.
func (s *system) addEntry(name, ip, zone, storeAddr string) error {
	p, err := s.addProcess("deploy/entry.yaml", name, ip, zone, storeAddr, "")
	if err != nil {
		return err
	}
	s.entries = append(s.entries, p)
	return nil
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.binary, "node", "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig) // it may have ended
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// stopAll kills all processes and removes the temporary folder.
func (s *system) stopAll() {
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		p.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(s.dir)
	}
}

// awaitReady waits until each entry is ready and each agent's log shows all entries.
func (s *system) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if s.allReady() {
			time.Sleep(2 * time.Second) // the first lists of the workers are in
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the system is not ready after %s", limit)
}

// allReady reports whether all entries are ready and have connected to all agents.
func (s *system) allReady() bool {
	for _, e := range s.entries {
		resp, err := http.Get("http://" + e.ready + "/beaconpoint/readiness")
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
		raw, err := os.ReadFile(e.logPath)
		if err != nil || strings.Count(string(raw), "agent-connected") < len(s.agents) {
			return false
		}
	}
	return true
}
