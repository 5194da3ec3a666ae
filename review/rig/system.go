package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/beaconpoint/beaconpoint/standin/store"
)

// The deployment, which resembles the site tctc-sched.
const (
	service     = "trackd"
	routeHost   = "queue.example"
	routePrefix = "/jobs/"
	halls       = 3
	// binary is the program of both roles in the deploy file, from the repository's root.
	binary = "target/beaconpoint"
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
)

// system is a small deployment.
type system struct {
	ctx     context.Context
	log     *record
	trouble bool // whether to play the disruptions of the case

	dir      string // holds the settings files and the output of the processes
	net      int    // second and third number of the loopback addresses
	ports    ports
	store    *store.Store
	storeURL string

	entries, agents []*process
	workers         []*worker
	servers         []*http.Server

	mu       sync.Mutex
	stopping bool
}

// ports are the ports of the deployment, which are alike on all machines.
type ports struct{ front, ready, control, peers, app int }

// metricsPort is the port of the metrics in the templates.
const metricsPort = 9100

// newSystem returns a deployment with a store that holds the configuration. Nothing else runs.
func newSystem(ctx context.Context, log *record, trouble bool) (*system, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("run the build of the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{ctx: ctx, log: log, trouble: trouble, dir: dir, store: store.NewStore()}
	if err := s.findPorts(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", s.ip(250)+":0")
	if err != nil {
		return nil, err
	}
	s.storeURL = l.Addr().String()
	s.serve(l, s.store)
	s.configure()
	return s, nil
}

// configure writes the configuration into the store, as the operator does.
func (s *system) configure() {
	s.store.Put("op/config", fmt.Appendf(nil, `{"version":7,"routes":[{"name":"r-1","host":%q,"path_prefix":%q,`+
		`"type":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":1,"service":%q,"attempts":2,`+
		`"stretch":1.6}],"services":[{"name":%q,"admission_check":false}],"limits":{"max_body_bytes":262144}}`,
		routeHost, routePrefix, service, service))
}

// ip returns the loopback address of machine k, from 1 to 250.
func (s *system) ip(k int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.net/256, s.net%256, k)
}

// findPorts chooses loopback addresses and ports on which nothing listens.
func (s *system) findPorts() error {
	for range 20 {
		s.net = 64*256 + rand.IntN(64*256)
		base := 20000 + rand.IntN(10000)
		s.ports = ports{front: base, ready: base + 1, control: base + 2, peers: base + 3, app: base + 4}
		if s.portsFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (s *system) portsFree() bool {
	for _, port := range []int{s.ports.front, s.ports.ready, s.ports.control, s.ports.peers, s.ports.app, metricsPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip(1), port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// serve serves HTTP on l until the system stops.
func (s *system) serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }() // ends with the system
}

// hall returns the name of the data hall of machine k of a class.
func hall(k int) string {
	return fmt.Sprintf("hall-%d", k%halls)
}

// addEntries adds and starts entries.
func (s *system) addEntries(count int) error {
	for k := range count {
		ip := s.ip(1 + k)
		p := &process{system: s, name: fmt.Sprintf("edge-%d", k), ip: ip, template: "deploy/entry.yaml",
			fields: s.fields(fmt.Sprintf("edge-%d", k), ip, k, map[string]any{
				"listen": map[string]any{"front": s.addr(ip, s.ports.front), "ready": s.addr(ip, s.ports.ready)}})}
		s.entries = append(s.entries, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// addWorkers adds and starts workers. Their agents are added by addAgents.
func (s *system) addWorkers(count int) error {
	for k := range count {
		ip := s.ip(100 + k)
		w := newWorker(s, fmt.Sprintf("worker-%d", k), k, s.addr(ip, s.ports.app), s.addr(ip, s.ports.control))
		s.workers = append(s.workers, w)
		if err := w.begin(); err != nil {
			return err
		}
	}
	return nil
}

// addAgents adds and starts an agent beside each worker.
func (s *system) addAgents() error {
	for k, w := range s.workers {
		ip := s.ip(100 + k)
		p := &process{system: s, name: fmt.Sprintf("side-%d", k), ip: ip, template: "deploy/agent.yaml",
			fields: s.fields(fmt.Sprintf("side-%d", k), ip, k, map[string]any{
				"app": w.appAddr, "listen": map[string]any{"control": w.controlAddr}})}
		s.agents = append(s.agents, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) addr(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, port)
}

// fields returns the platform's fields for the settings template of a machine.
func (s *system) fields(name, ip string, k int, more map[string]any) map[string]any {
	f := map[string]any{
		"node_name":  name,
		"zone":       hall(k),
		"ip":         ip,
		"port_range": []any{s.ports.peers, s.ports.peers + 15},
		"platform":   map[string]any{"address": s.storeURL},
		"bounds":     map[string]any{"grace_s": 6, "far_factor": 1.5},
		"limits":     map[string]any{"link_mbps": 1000.0, "max_fds": 4100},
		"contracts":  []any{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
	}
	for key, value := range more {
		f[key] = value
	}
	return f
}

// gap matches a gap of a settings template.
var gap = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)

// fill fills a settings template.
func fill(template string, fields map[string]any) (string, error) {
	var failed error
	filled := gap.ReplaceAllStringFunc(template, func(found string) string {
		m := gap.FindStringSubmatch(found)
		var value any = fields
		for _, key := range strings.Split(m[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[key]
			case []any:
				value = v[0]
			}
		}
		if value == nil {
			failed = fmt.Errorf("no field %s", m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		raw, err := json.Marshal(value)
		if err != nil {
			failed = err
		}
		return string(raw)
	})
	return filled, failed
}

// stop ends all processes and servers and removes the folder.
func (s *system) stop() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		p.kill()
	}
	for _, w := range s.workers {
		w.crash()
	}
	for _, server := range s.servers {
		server.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// sleep waits for d, or less if the case ends.
func (s *system) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

// process is an entry or an agent.
type process struct {
	system             *system
	name, ip, template string
	fields             map[string]any

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// start fills the settings file and starts the process with the command of the deploy file.
func (p *process) start() error {
	raw, err := os.ReadFile(p.template)
	if err != nil {
		return err
	}
	text, err := fill(string(raw), p.fields)
	if err != nil {
		return err
	}
	path := filepath.Join(p.system.dir, p.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.system.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(binary, "node", "--settings", path)
	c.Stdout, c.Stderr = out, out
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.system.dir}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.system.mu.Lock()
	defer p.system.mu.Unlock()
	if p.system.stopping {
		return context.Canceled
	}
	if err := c.Start(); err != nil {
		return err
	}
	p.system.log.add("started %s", p.name)
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended = c, ended
	p.mu.Unlock()
	go func() {
		_ = c.Wait() // the exit code does not matter
		p.system.log.add("ended %s", p.name)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	select {
	case <-p.ended:
	default:
		p.system.log.add("%s to %s", sig, p.name)
		_ = p.command.Process.Signal(sig) // it may have ended just now
	}
}

// kill ends the process at once and waits until it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// wait waits until the process has ended.
func (p *process) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}
