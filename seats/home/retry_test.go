package home_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// request submits a single request.
func (x *harness) request(repeatable bool) {
	x.t.Helper()
	x.seq++
	sub, err := job.NewSingle("trackd", "m", fmt.Sprintf("r%d", x.seq), []byte("x"), repeatable, nil)
	assert.NilError(x.t, err)
	x.h.Submit(x.now, x.seq, sub)
}

// loseWorker disconnects the agent until its starts count as lost.
func (x *harness) loseWorker() home.Effects {
	x.h.LinkDown(x.now, roster.NewID("worker", 1))
	x.now = x.now.Plus(6 * time.Second)
	return x.h.Tick(x.now)
}

func TestNonRepeatableRequestFailsWithLostAgent(t *testing.T) {
	x := newHarness(t, config.Organisation{Name: "m"}, config.Bounds{})
	x.request(false)
	out := x.loseWorker()
	assert.Equal(t, len(out.Answers), 1)
	a := out.Answers[0].Answer
	assert.Equal(t, a.Name, "agent-lost")
	assert.Equal(t, a.Ran, seats.RanMaybe)
	assert.Equal(t, x.h.Stats().Retries, uint64(0))
}

func TestRetriesStayWithinBudget(t *testing.T) {
	x := newHarness(t, config.Organisation{Name: "m"}, config.Bounds{})
	worker := roster.NewID("worker", 1)
	failed := 0
	for range 20 {
		x.request(true)
		failed += len(x.loseWorker().Answers)
		x.h.LinkUp(x.now, worker, wire.RoleAgent)
		x.receive(worker, wire.AgentHeartbeat{Service: "trackd", Window: 2, Slots: 2, Standing: true})
	}
	s := x.h.Stats()
	assert.Assert(t, s.Retries > 0)
	// retryBurst plus a tenth of the starts.
	assert.Assert(t, s.Retries <= 10+s.Starts/10+1, "%+v", s)
	assert.Assert(t, failed > 0, "the budget is never used up")
}

// Guards against an answer larger than a frame, which would close the connection
// to the waiting entry on every attempt.
func TestOversizeAnswerFailsJob(t *testing.T) {
	x := newHarness(t, config.Organisation{Name: "m"}, config.Bounds{})
	x.seq++
	j := seats.Job{ID: "large", Organisation: "m"}
	const tasks = 7
	for k := range tasks {
		j.Tasks = append(j.Tasks, seats.Task{ID: fmt.Sprint(k)})
	}
	sub, err := job.New("trackd", j)
	assert.NilError(t, err)
	var out home.Effects
	x.h.Submit(x.now, x.seq, sub)
	for k := range tasks {
		out = x.receive(roster.NewID("worker", 1), wire.Result{
			Key: wire.TaskKey{Job: "trackd/large", Index: k}, Status: wire.Done, Output: make([]byte, 1<<20), Window: 2,
		})
	}
	assert.Equal(t, len(out.Answers), 1)
	a := out.Answers[0].Answer
	assert.Equal(t, a.Name, "answer-too-large")
	assert.Equal(t, a.Ran, seats.RanYes)
	assert.Equal(t, len(a.Results), 0)
}
