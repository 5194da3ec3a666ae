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

// completeStarts answers every start in out as done, d later.
func (x *harness) completeStarts(out home.Effects, d time.Duration) home.Effects {
	x.now = x.now.Plus(d)
	var last home.Effects
	for _, s := range out.Sends {
		if m, ok := s.Frame.Body.(wire.Start); ok {
			last = x.receive(roster.NewID("worker", 1), wire.Result{Key: m.Key, Seq: s.Frame.Seq, Status: wire.Done, Output: []byte("1"), Window: 2})
		}
	}
	return last
}

// Guards against refusing a large job at low load because the drain estimate
// follows recent throughput instead of the number of slots.
func TestDrainEstimateIgnoresLowLoad(t *testing.T) {
	x := newHarness(t, config.Organisation{Name: "m"}, config.Bounds{})
	submit := func(id string, tasks int, life time.Duration) home.Effects {
		x.seq++
		at := x.now.Wall.Add(life)
		j := seats.Job{ID: id, Organisation: "m", ExpiresAt: &at}
		for k := range tasks {
			j.Tasks = append(j.Tasks, seats.Task{ID: fmt.Sprint(k)})
		}
		sub, err := job.New("trackd", j)
		assert.NilError(t, err)
		return x.h.Submit(x.now, x.seq, sub)
	}
	for k := range 300 {
		out := x.completeStarts(submit(fmt.Sprintf("small%d", k), 1, 20*time.Second), 10*time.Millisecond)
		assert.Equal(t, len(out.Answers), 1)
		x.now = x.now.Plus(40 * time.Millisecond)
		x.receive(roster.NewID("worker", 1), wire.AgentHeartbeat{Service: "trackd", Window: 2, Slots: 2, Standing: true})
	}
	// 800 tasks of 10 ms on two slots take 4 s.
	out := submit("large", 800, 20*time.Second)
	assert.Equal(t, len(out.Answers), 0, "%+v", out.Answers)
	out = submit("too-large", 800, 2*time.Second)
	assert.Equal(t, len(out.Answers), 1)
	assert.Equal(t, out.Answers[0].Answer.Name, "cannot-meet-expiry")
	assert.Equal(t, out.Answers[0].Answer.Ran, seats.RanNo)
}
