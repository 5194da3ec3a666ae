package trials

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/agent"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/entry"
	"github.com/beaconpoint/beaconpoint/seats/operator"
	"github.com/beaconpoint/beaconpoint/seats/settings"
	standplatform "github.com/beaconpoint/beaconpoint/seats/standin/store"
	standtarget "github.com/beaconpoint/beaconpoint/seats/standin/target"
	"github.com/beaconpoint/beaconpoint/seats/testutil/cluster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// benchTasks is the number of tasks in a job of the benchmark.
const benchTasks = 100

// BenchmarkJob submits jobs of empty tasks to an entry with one agent. Caller,
// entry, agent and target run in this process and all count.
func BenchmarkJob(b *testing.B) {
	e := startPair(b)
	c := seats.NewClient(e.CallersURL())
	ctx := context.Background()
	before := e.Status()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		a, err := c.Submit(ctx, cluster.Service, jobOf(fmt.Sprintf("bench-%d-%d", b.N, n), benchTasks, 0))
		assert.NilError(b, err)
		assert.Equal(b, a.State, seats.Complete, a.Message)
	}
	after := e.Status()
	starts := float64(after.Counts.Starts - before.Counts.Starts)
	b.ReportMetric(starts/b.Elapsed().Seconds(), "tasks/s")
	b.ReportMetric(float64(after.Bytes-before.Bytes)/starts, "wire-B/task")
}

// startPair starts an entry and an agent in this process and returns the entry
// once it can place tasks.
func startPair(b *testing.B) *entry.Entry {
	b.Helper()
	platform := httptest.NewServer(standplatform.NewServer(standplatform.NewStore(0)))
	target := httptest.NewServer(standtarget.NewTarget())
	tokens := filepath.Join(b.TempDir(), "tokens.yaml")
	assert.NilError(b, os.WriteFile(tokens, []byte("- {name: bench, token: token-of-the-benchmark, change: true}\n"), 0o600))
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))

	agentSettings := settings.Default()
	agentSettings.Role, agentSettings.Name, agentSettings.Region, agentSettings.Hall, agentSettings.Peers = wire.RoleAgent, "worker1", "bench", "hall", "127.0.0.1:0"
	agentSettings.Agent.Target = target.URL
	a, err := agent.NewAgent(agentSettings, log)
	assert.NilError(b, err)
	entrySettings := settings.Default()
	entrySettings.Role, entrySettings.Name, entrySettings.Region, entrySettings.Hall, entrySettings.Peers = wire.RoleEntry, "entry1", "bench", "hall", "127.0.0.1:0"
	entrySettings.Entry.Callers, entrySettings.Entry.Operators, entrySettings.Entry.Platform, entrySettings.Entry.Tokens = "127.0.0.1:0", "127.0.0.1:0", platform.URL, tokens
	e, err := entry.NewEntry(entrySettings, log)
	assert.NilError(b, err)

	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- a.Run(ctx) }()
	go func() { done <- e.Run(ctx) }()
	b.Cleanup(func() {
		stop()
		assert.Check(b, <-done == nil)
		assert.Check(b, <-done == nil)
		platform.Close()
		target.Close()
	})
	ops := operator.NewClient(e.OperatorsURL(), "token-of-the-benchmark")
	plan, err := ops.Plan(ctx, config.Intent{
		Organisations: []config.Organisation{{Name: cluster.Organisation}},
		Services: []config.Service{{Name: cluster.Service, Targets: []config.Target{
			{Name: "worker1", Agent: a.Addr(), Slots: 64, Connections: 64},
		}}},
	})
	assert.NilError(b, err)
	_, err = ops.Confirm(ctx, plan)
	assert.NilError(b, err)
	for e.Status().Open == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return e
}
