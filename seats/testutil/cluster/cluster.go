// Package cluster starts the built binary's roles as separate processes on
// loopback, with the stand-ins for platform and targets in the test's own
// process, and lets a test kill, stop and cut them.
package cluster

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/operator"
	standplatform "github.com/beaconpoint/beaconpoint/seats/standin/store"
	standtarget "github.com/beaconpoint/beaconpoint/seats/standin/target"
)

// Names of what a cluster serves.
const (
	Service      = "trackd"
	Organisation = "port-gate"
	token        = "token-of-the-cluster-tests"
)

// patience is how long a cluster may take to get ready on a busy machine.
const patience = 60 * time.Second

// Config is the shape of a cluster.
type Config struct {
	Entries, Agents, Slots int
	// Lease is as in the settings.
	Lease time.Duration
	// Bounds are the service's.
	Bounds config.Bounds
}

// Cluster is a set of processes.
type Cluster struct {
	tb      testing.TB
	cfg     Config
	dir     string
	Store   *standplatform.Store
	Targets []*standtarget.Target
	Entries []*Process
	Agents  []*Process
	relays  []*relay
	base    string
	urls    []string
}

// Process is one role, through all of its lives.
type Process struct {
	name     string
	role     string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	served   map[string]string // the addresses of its last life
	log      *os.File
}

var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "beaconpoint-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "beaconpoint")
	out, err := exec.Command("go", "build", "-o", path, "github.com/beaconpoint/beaconpoint/cmd/beaconpoint").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

// Binary returns the path of the built binary.
func Binary(tb testing.TB) string {
	tb.Helper()
	path, err := binary()
	assert.NilError(tb, err)
	return path
}

// Start starts a cluster, configures its service and waits until every entry
// serves. It is stopped when the test ends.
func Start(tb testing.TB, cfg Config) *Cluster {
	tb.Helper()
	c := &Cluster{tb: tb, cfg: cfg, dir: tb.TempDir(), Store: standplatform.NewStore(time.Second)}
	server := httptest.NewServer(standplatform.NewServer(c.Store))
	c.base = server.URL
	tb.Cleanup(server.Close)
	tokens := filepath.Join(c.dir, "tokens.yaml")
	assert.NilError(tb, os.WriteFile(tokens, []byte("- {name: test, token: "+token+", change: true}\n"), 0o600))
	for k := range cfg.Agents {
		c.addAgent(k)
	}
	for k := range cfg.Entries {
		c.addEntry(k, tokens)
	}
	c.configure()
	c.UntilReady()
	return c
}

func (c *Cluster) addAgent(k int) {
	t := standtarget.NewTarget()
	server := httptest.NewServer(t)
	c.tb.Cleanup(server.Close)
	c.Targets = append(c.Targets, t)
	name := fmt.Sprintf("worker%d", k+1)
	p := c.process(name, "agent", fmt.Sprintf("agent: {target: %q}\n", server.URL))
	c.Agents = append(c.Agents, p)
	c.relays = append(c.relays, newRelay(c.tb, p.addr("addr")))
}

func (c *Cluster) addEntry(k int, tokens string) {
	name := fmt.Sprintf("entry%d", k+1)
	callers, operators := ownHost(), ownHost()
	p := c.process(name, "entry", fmt.Sprintf(
		"entry: {callers: '%s', operators: '%s', platform: %q, tokens: %q}\n", callers, operators, c.base, tokens))
	c.Entries = append(c.Entries, p)
	c.urls = append(c.urls, p.addr("callers"))
}

func (c *Cluster) process(name, role, part string) *Process {
	c.tb.Helper()
	text := fmt.Sprintf("role: %s\nname: %s\nregion: test\nhall: hall1\npeers: '%s'\nlease: %s\nlog_level: info\n%s",
		role, name, ownHost(), c.cfg.Lease, part)
	path := filepath.Join(c.dir, name+".yaml")
	assert.NilError(c.tb, os.WriteFile(path, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	assert.NilError(c.tb, err)
	p := &Process{name: name, role: role, settings: path, log: log}
	c.tb.Cleanup(func() {
		p.Signal(syscall.SIGCONT)
		p.Kill()
		log.Close()
	})
	c.Begin(p)
	return p
}

// Begin starts a new life of p and waits until it serves.
func (c *Cluster) Begin(p *Process) {
	c.tb.Helper()
	cmd := exec.Command(Binary(c.tb), p.role, "--settings", p.settings)
	errs, err := cmd.StderrPipe()
	assert.NilError(c.tb, err)
	assert.NilError(c.tb, cmd.Start())
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	served := make(chan map[string]string, 1)
	go p.follow(errs, served)
	select {
	case s := <-served:
		p.mu.Lock()
		p.served = s
		p.mu.Unlock()
	case <-time.After(patience):
		c.tb.Fatalf("%s does not serve; its log: %s", p.name, c.logOf(p))
	}
	p.keepAddresses(c.tb)
}

// follow copies the log and picks out the line that tells the addresses.
func (p *Process) follow(r io.Reader, served chan<- map[string]string) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		fmt.Fprintln(p.log, lines.Text())
		var line map[string]any
		if json.Unmarshal(lines.Bytes(), &line) != nil || line["msg"] != p.role+" serves" {
			continue
		}
		found := make(map[string]string)
		for key, v := range line {
			if text, ok := v.(string); ok {
				found[key] = text
			}
		}
		served <- found
	}
}

// keepAddresses writes the chosen ports into the settings, so that the next
// life has the same.
func (p *Process) keepAddresses(tb testing.TB) {
	tb.Helper()
	raw, err := os.ReadFile(p.settings)
	assert.NilError(tb, err)
	text := string(raw)
	for _, key := range []string{"peers", "addr", "callers", "operators"} {
		addr := strings.TrimPrefix(p.served[key], "http://")
		if host, _, err := net.SplitHostPort(addr); err == nil {
			text = replaceOnce(text, "'"+host+":0'", "'"+addr+"'")
		}
	}
	assert.NilError(tb, os.WriteFile(p.settings, []byte(text), 0o600))
}

// hosts counts the hosts that were given out.
var hosts atomic.Uint32

// ownHost returns an address on loopback, with a free port, whose host nobody
// else uses: a port that a killed process had is still free on it when the next
// life wants it. On 127.0.0.1 any other socket may take it in between.
func ownHost() string {
	pid, n := os.Getpid(), hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 64+(pid>>8)%64+64*int(n/250%2), pid%256, 1+n%250)
}

func (p *Process) addr(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.served[key]
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Wait waits until the process has ended and returns its exit code.
func (p *Process) Wait() int {
	p.mu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	_ = cmd.Wait() // the state tells
	return cmd.ProcessState.ExitCode()
}

// Pid returns the process's id, zero when it has ended.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

func (c *Cluster) logOf(p *Process) string {
	raw, _ := os.ReadFile(p.log.Name())
	return string(raw)
}

// Intent returns the intent that the cluster starts with.
func (c *Cluster) Intent() config.Intent {
	in := config.Intent{
		Organisations: []config.Organisation{{Name: Organisation}},
		Services:      []config.Service{{Name: Service, Bounds: c.cfg.Bounds}},
	}
	for k, p := range c.Agents {
		in.Services[0].Targets = append(in.Services[0].Targets, config.Target{
			Name: p.name, Agent: c.relays[k].addr(), Slots: c.cfg.Slots, Connections: 64,
		})
	}
	return in
}

func (c *Cluster) configure() {
	c.tb.Helper()
	ctx := context.Background()
	ops := c.Operator(0)
	plan, err := ops.Plan(ctx, c.Intent())
	assert.NilError(c.tb, err)
	_, err = ops.Confirm(ctx, plan)
	assert.NilError(c.tb, err)
}

// Operator returns an operators' client of the k-th entry.
func (c *Cluster) Operator(k int) *operator.Client {
	return operator.NewClient(c.Entries[k].addr("operators"), token)
}

// Client returns a callers' client of the k-th entry.
func (c *Cluster) Client(k int) *seats.Client {
	return seats.NewClient(c.urls[k])
}

// URL returns the k-th entry's base URL for callers.
func (c *Cluster) URL(k int) string { return c.urls[k] }

// Cut cuts the connections to the k-th agent, or lets them through again.
func (c *Cluster) Cut(k int, cut bool) { c.relays[k].setCut(cut) }

// UntilReady waits until every entry stands, is settled and knows all agents.
func (c *Cluster) UntilReady() {
	c.tb.Helper()
	deadline := time.Now().Add(patience)
	for !c.ready() {
		if time.Now().After(deadline) {
			for _, p := range append(c.Entries, c.Agents...) {
				c.tb.Logf("%s: %s", p.name, c.logOf(p))
			}
			c.tb.Fatal("the cluster does not get ready")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *Cluster) ready() bool {
	for k := range c.Entries {
		s, err := c.Operator(k).Status(context.Background())
		if err != nil || !s.Standing || !s.Settled || len(s.Seats) != len(c.Entries) || len(s.Agents) != len(c.Agents) || s.Open < len(c.Agents) {
			return false
		}
	}
	return true
}

// Doubled returns the tasks that were started more than once, and how many
// starts there were in all.
func (c *Cluster) Doubled() (doubled []string, starts int) {
	seen := make(map[string]int)
	for _, t := range c.Targets {
		for task, n := range t.Starts() {
			seen[task] += n
			starts += n
		}
	}
	for task, n := range seen {
		if n > 1 {
			doubled = append(doubled, task)
		}
	}
	return doubled, starts
}

// FirstStart returns when the job's first task was started at any target.
func (c *Cluster) FirstStart(job string) (time.Time, bool) {
	var first time.Time
	for _, t := range c.Targets {
		if at, ok := t.FirstStart(job); ok && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}
