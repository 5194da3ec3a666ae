package node

import (
	"errors"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/settings"
	"github.com/beaconpoint/beaconpoint/supervisor"
	"github.com/beaconpoint/beaconpoint/task"
)

// newSpecAgent returns an agent with a connection from an entry.
func newSpecAgent() *Agent {
	calls := TargetCalls{
		Start: func(supervisor.StartCall) supervisor.Reply { return supervisor.Reply{Outcome: supervisor.NoAnswer} },
		Stop:  func(supervisor.StopCall) supervisor.Reply { return supervisor.Reply{Outcome: supervisor.NoAnswer} },
	}
	a := NewAgent(settings.DefaultNode(), Directory{}, calls, slog.New(slog.DiscardHandler))
	a.clock = virtualClock()
	near, _ := net.Pipe()
	a.connect(peer.NewConn(near), &peer.Hello{Role: peer.RoleEntry, Name: "edge-1", Level: peer.LevelNewest})
	return a
}

// deliverSpec delivers an order with the spec of a job. The agent has no target and rejects the
// order, but keeps the spec.
func deliverSpec(a *Agent, job string) {
	a.receive(a.lastConnID, &peer.Frame{Seq: 1, Starts: []task.Order{{Task: task.ID{Job: job}, Run: 1, Spec: "text"}}})
}

// TestAgentServesSpecToAgent guards against a late answer to a request for a spec, and against
// reporting a spec as unknown before specWaitTimeout has elapsed.
func TestAgentServesSpecToAgent(t *testing.T) {
	for name, c := range map[string]struct {
		arrivesAfter time.Duration
		known        bool
	}{
		"present":      {0, true},
		"in flight":    {specWaitTimeout / 2, true},
		"not arriving": {time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newSpecAgent()
				near, far := net.Pipe()
				go a.accept(t.Context(), far)
				deliver := time.AfterFunc(c.arrivesAfter, func() { deliverSpec(a, "j") })
				defer deliver.Stop()
				if c.arrivesAfter == 0 {
					synctest.Wait()
				}
				began := time.Now()
				buf, err := peer.AppendFrame(nil, &peer.Frame{AskSpec: "j"})
				assert.NilError(t, err)
				_, err = near.Write(buf)
				assert.NilError(t, err)
				f, err := peer.ReadFrame(near)
				assert.NilError(t, err)
				assert.Equal(t, f.GiveSpec.Known, c.known)
				if c.known {
					assert.Equal(t, f.GiveSpec.Spec, "text")
				}
				assert.Equal(t, time.Since(began), min(c.arrivesAfter, specWaitTimeout))
				_, err = peer.ReadFrame(near)
				assert.Assert(t, err != nil, "the connection is still open after the answer")
				near.Close()
			})
		})
	}
}

// TestRequestSpecReturnsDialError guards against losing the reason why an agent can't be reached.
func TestRequestSpecReturnsDialError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	l.Close()
	_, known, err := requestSpec("j", addr)
	assert.Assert(t, !known)
	var opErr *net.OpError
	assert.Assert(t, errors.As(err, &opErr), "%v", err)
}
