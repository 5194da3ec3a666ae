// Package cluster runs entries and agents of the built binary as separate
// processes on loopback, with test doubles for platform and targets in the test
// process. Tests can kill, pause and disconnect the processes.
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

// Service, organisation and operator token of a cluster.
const (
	Service      = "trackd"
	Organisation = "port-gate"
	token        = "token-of-the-cluster-tests"
)

// readyTimeout is the time limit for a process or the cluster to become ready.
const readyTimeout = 60 * time.Second

// Config configures a cluster.
type Config struct {
	Entries, Agents, Slots int
	// Lease is the lease in the settings of all processes.
	Lease time.Duration
	// Bounds are the limits of the service.
	Bounds config.Bounds
}

// Cluster is a running set of entries and agents with their test doubles.
type Cluster struct {
	tb          testing.TB
	cfg         Config
	dir         string
	Store       *standplatform.Store
	Targets     []*standtarget.Target
	Entries     []*Process
	Agents      []*Process
	relays      []*relay
	platformURL string
	callerURLs  []string
}

// Process is an entry or agent, which may be restarted.
type Process struct {
	name     string
	role     string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	addrs    map[string]string // addresses by log key, from the last start
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

// Binary builds the binary on the first call and returns its path.
func Binary(tb testing.TB) string {
	tb.Helper()
	path, err := binary()
	assert.NilError(tb, err)
	return path
}

// Start starts and configures a cluster and waits until it is ready. The cluster
// is stopped when the test ends.
func Start(tb testing.TB, cfg Config) *Cluster {
	tb.Helper()
	c := &Cluster{tb: tb, cfg: cfg, dir: tb.TempDir(), Store: standplatform.NewStore(time.Second)}
	server := httptest.NewServer(standplatform.NewServer(c.Store))
	c.platformURL = server.URL
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
	p := c.startProcess(name, "agent", fmt.Sprintf("agent: {target: %q}\n", server.URL))
	c.Agents = append(c.Agents, p)
	c.relays = append(c.relays, newRelay(c.tb, p.addr("addr")))
}

func (c *Cluster) addEntry(k int, tokens string) {
	name := fmt.Sprintf("entry%d", k+1)
	callers, operators := uniqueLoopbackAddr(), uniqueLoopbackAddr()
	p := c.startProcess(name, "entry", fmt.Sprintf(
		"entry: {callers: '%s', operators: '%s', platform: %q, tokens: %q}\n", callers, operators, c.platformURL, tokens))
	c.Entries = append(c.Entries, p)
	c.callerURLs = append(c.callerURLs, p.addr("callers"))
}

func (c *Cluster) startProcess(name, role, section string) *Process {
	c.tb.Helper()
	text := fmt.Sprintf("role: %s\nname: %s\nregion: test\nhall: hall1\npeers: '%s'\nlease: %s\nlog_level: info\n%s",
		role, name, uniqueLoopbackAddr(), c.cfg.Lease, section)
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

// Begin starts or restarts p and waits until it serves.
func (c *Cluster) Begin(p *Process) {
	c.tb.Helper()
	cmd := exec.Command(Binary(c.tb), p.role, "--settings", p.settings)
	errs, err := cmd.StderrPipe()
	assert.NilError(c.tb, err)
	assert.NilError(c.tb, cmd.Start())
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	addrs := make(chan map[string]string, 1)
	go p.copyLog(errs, addrs)
	select {
	case s := <-addrs:
		p.mu.Lock()
		p.addrs = s
		p.mu.Unlock()
	case <-time.After(readyTimeout):
		c.tb.Fatalf("%s did not start serving in time; log: %s", p.name, c.logOf(p))
	}
	p.pinAddresses(c.tb)
}

// copyLog copies stderr to the log file and sends the fields of the log line that
// contains the addresses.
func (p *Process) copyLog(r io.Reader, addrs chan<- map[string]string) {
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
		addrs <- found
	}
}

// pinAddresses writes the assigned ports into the settings file, so that a
// restarted process uses the same addresses.
func (p *Process) pinAddresses(tb testing.TB) {
	tb.Helper()
	raw, err := os.ReadFile(p.settings)
	assert.NilError(tb, err)
	text := string(raw)
	for _, key := range []string{"peers", "addr", "callers", "operators"} {
		addr := strings.TrimPrefix(p.addrs[key], "http://")
		if host, _, err := net.SplitHostPort(addr); err == nil {
			text = replaceOnce(text, "'"+host+":0'", "'"+addr+"'")
		}
	}
	assert.NilError(tb, os.WriteFile(p.settings, []byte(text), 0o600))
}

// assignedHosts is the number of assigned loopback assignedHosts.
var assignedHosts atomic.Uint32

// uniqueLoopbackAddr returns an address with port 0 on a loopback host that no
// other process uses. On a shared host, another socket could take the port of a
// process while it restarts.
func uniqueLoopbackAddr() string {
	pid, n := os.Getpid(), assignedHosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 64+(pid>>8)%64+64*int(n/250%2), pid%256, 1+n%250)
}

func (p *Process) addr(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addrs[key]
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // fails if the process has ended
	}
}

// Kill sends SIGKILL and waits until the process has ended.
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
	_ = cmd.Wait() // the exit code is in ProcessState
	return cmd.ProcessState.ExitCode()
}

// Pid returns the process ID, or zero after Wait or Kill.
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

// Intent returns the initial configuration intent of the cluster.
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

// Operator returns an operator client for the k-th entry.
func (c *Cluster) Operator(k int) *operator.Client {
	return operator.NewClient(c.Entries[k].addr("operators"), token)
}

// Client returns a caller's client for the k-th entry.
func (c *Cluster) Client(k int) *seats.Client {
	return seats.NewClient(c.callerURLs[k])
}

// URL returns the base URL of the callers' API of the k-th entry.
func (c *Cluster) URL(k int) string { return c.callerURLs[k] }

// Cut closes and blocks the connections to the k-th agent, or unblocks them.
func (c *Cluster) Cut(k int, cut bool) { c.relays[k].setBlocked(cut) }

// UntilReady waits until every entry holds its lease, has settled and lists all
// entries and agents.
func (c *Cluster) UntilReady() {
	c.tb.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !c.ready() {
		if time.Now().After(deadline) {
			for _, p := range append(c.Entries, c.Agents...) {
				c.tb.Logf("%s: %s", p.name, c.logOf(p))
			}
			c.tb.Fatal("cluster did not become ready in time")
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

// Doubled returns the tasks that were started more than once and the total number
// of starts.
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

// FirstStart returns the time of the job's first start at any target.
func (c *Cluster) FirstStart(job string) (time.Time, bool) {
	var first time.Time
	for _, t := range c.Targets {
		if at, ok := t.FirstStart(job); ok && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}
