package home_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// harness is one Home with one agent, whose messages the test sends.
type harness struct {
	t   *testing.T
	h   *home.Home
	now clock.Moment
	seq uint64
}

func newHarness(t *testing.T, organisation config.Organisation, bounds config.Bounds) *harness {
	t.Helper()
	id := roster.NewID("entry", 1)
	x := &harness{t: t, h: home.NewHome(home.DefaultConfig(id, "here")), now: clock.Moment{Mono: time.Second, Wall: time.Unix(1_700_000_000, 0)}}
	x.h.Configure(x.now, config.Document{Revision: 1, Organisations: []config.Organisation{organisation}, Services: []config.Service{{
		Name: "trackd", Bounds: bounds, Targets: []config.Target{{Name: "worker", Agent: "there", Slots: 2, Connections: 8}},
	}}})
	worker := roster.NewID("worker", 1)
	x.h.RosterRead(x.now, roster.Roster{Revision: 1, Seats: []roster.Seat{{ID: id}}, Agents: []roster.ID{worker}, Changes: []string{"c"}}, nil)
	x.h.LinkUp(x.now, worker, wire.RoleAgent)
	x.receive(worker, wire.AgentHeartbeat{Service: "trackd", Window: 2, Slots: 2, Standing: true})
	x.receive(worker, wire.Records{Revision: 1})
	assert.Assert(t, x.h.Settled() && x.h.Standing(x.now))
	return x
}

func (x *harness) receive(from roster.ID, m wire.Message) home.Effects {
	x.seq++
	return x.h.Receive(x.now, from, wire.Frame{
		Header: wire.Header{Kind: m.Kind(), Seq: x.seq, Revision: 1, Config: 1, Stamp: int64(x.seq), Echo: int64(x.now.Mono)}, Body: m,
	})
}

// submit submits a job of n tasks. It returns the code and retry time of the
// refusal, or code.Running.
func (x *harness) submit(n int) (code.Code, time.Duration) {
	x.t.Helper()
	x.seq++
	j := seats.Job{ID: fmt.Sprintf("j%d", x.seq), Organisation: "m"}
	for k := range n {
		j.Tasks = append(j.Tasks, seats.Task{ID: fmt.Sprint(k)})
	}
	sub, err := job.New("trackd", j)
	assert.NilError(x.t, err)
	out := x.h.Submit(x.now, x.seq, sub)
	if len(out.Answers) == 0 {
		return code.Running, 0
	}
	a := out.Answers[0].Answer
	assert.Equal(x.t, a.Ran, seats.RanNo)
	return code.Code(a.Code), time.Duration(a.RetryAfterMS) * time.Millisecond
}

func TestInFlightQuotaLimitsOrganisation(t *testing.T) {
	x := newHarness(t, config.Organisation{Name: "m", InFlight: 10}, config.Bounds{})
	for _, c := range []struct {
		tasks int
		want  code.Code
	}{{6, code.Running}, {5, code.QuotaInFlight}, {4, code.Running}, {1, code.QuotaInFlight}} {
		got, retry := x.submit(c.tasks)
		assert.Equal(t, got, c.want)
		assert.Equal(t, retry > 0, c.want != code.Running)
	}
}

func TestRateQuotaDelaysSubmissions(t *testing.T) {
	x := newHarness(t, config.Organisation{Name: "m", Rate: 20}, config.Bounds{})
	got, _ := x.submit(20)
	assert.Equal(t, got, code.Running)
	got, retry := x.submit(10)
	assert.Equal(t, got, code.RateLimited)
	assert.Equal(t, retry, 500*time.Millisecond)
	x.now = x.now.Plus(retry)
	got, _ = x.submit(10)
	assert.Equal(t, got, code.Running, "a retry at the given time is accepted")
}

func TestFullQueueRefusesJob(t *testing.T) {
	x := newHarness(t, config.Organisation{Name: "m"}, config.Bounds{Queue: 5})
	got, _ := x.submit(7) // two of the tasks start immediately
	assert.Equal(t, got, code.Running)
	got, retry := x.submit(1)
	assert.Equal(t, got, code.QueueFull)
	assert.Assert(t, retry > 0)
}
