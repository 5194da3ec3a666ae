package owner

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// BenchmarkDecision measures one task from submission to answer, with its claims, room requests,
// reservation, order and end, and its share of the ticks at 1,300 jobs a second.
func BenchmarkDecision(b *testing.B) {
	const jobsPerTick = 1300 * int(TickInterval) / int(time.Second)
	for _, agents := range []int{11, 70, 240, 1200} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			o := newFleet(agents)
			now := time.Hour + startupIsolationTime
			o.Tick(now)
			var s sentFrames
			o.Send = s.add
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				now += TickInterval / time.Duration(jobsPerTick)
				if n%jobsPerTick == 0 {
					o.Tick(now)
					o.Heartbeats(now)
				}
				runOneTask(o, now, &s, fmt.Sprint(n))
			}
			assert.Equal(b, o.Stats().Completed, uint64(n))
		})
	}
}

// sentFrames records what an owner sends, in the order of the frames.
type sentFrames struct {
	claimed, asked, started []string // agents
	orders                  []task.Order
}

// add is the Send function of the owner.
func (s *sentFrames) add(agent string, f *peer.Frame) uint64 {
	for range f.Claims {
		s.claimed = append(s.claimed, agent)
	}
	if f.RoomRequest != nil {
		s.asked = append(s.asked, agent)
	}
	for _, o := range f.Starts {
		s.started = append(s.started, agent)
		s.orders = append(s.orders, o)
	}
	return 1
}

// runOneTask submits a job of one task, grants its claims, reserves room at the first agent that
// is asked, and reports the end of the run. The other agents have no room.
func runOneTask(o *Owner, now time.Duration, s *sentFrames, id string) {
	*s = sentFrames{claimed: s.claimed[:0], asked: s.asked[:0], started: s.started[:0], orders: s.orders[:0]}
	o.Submit(now, jobOf(id, 1), func(Answer) {})
	for _, home := range s.claimed {
		o.Receive(now, home, &peer.Frame{Claimed: []claim.Reply{{Job: id, State: claim.Granted}}})
	}
	state := halfFull("")
	room := task.Resources{CPU: 4000, MemoryMB: 100}
	for k, agent := range s.asked {
		o.Receive(now, agent, &peer.Frame{State: state, Reservation: &peer.Reservation{ID: uint64(k + 1), Room: room}})
		room = task.Resources{}
	}
	o.Receive(now, s.started[0], &peer.Frame{Ended: []peer.RunEnd{{
		Ref: task.Ref{Task: s.orders[0].Task, Run: 1}, End: task.EndDone, Took: 100 * ms}}})
}

// halfFull returns the state of a target in a hall with half of its room free.
func halfFull(hall string) *peer.State {
	return &peer.State{Profile: &peer.Profile{Service: "trackd", Hall: hall,
		Capacity: task.Resources{CPU: 16000, MemoryMB: 100}},
		Free: task.Resources{CPU: 8000, MemoryMB: 100}, Speed: 1, Accepting: true, Cleared: true, SeenSeq: 1}
}

// newFleet returns an owner connected to the given number of agents in three halls, at one hour
// of virtual time.
func newFleet(agents int) *Owner {
	o := NewOwner(slog.New(slog.DiscardHandler))
	o.Send = func(string, *peer.Frame) uint64 { return 1 }
	for k := range agents {
		name := fmt.Sprintf("side-%04d", k)
		o.Connected(time.Hour, name)
		hall := []string{"mtm", "sulph", "tepuke"}[k%3]
		o.Receive(time.Hour, name, &peer.Frame{Hello: &peer.Hello{Level: peer.LevelNewest}, State: halfFull(hall)})
	}
	return o
}

// BenchmarkRoomRequests measures the choice of agents to ask for room while all targets are
// full.
func BenchmarkRoomRequests(b *testing.B) {
	for _, agents := range []int{11, 70, 240, 1200} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			o := newFleet(agents)
			now := time.Hour
			for k := range 20 {
				o.Submit(now, jobOf(fmt.Sprint(k), 4), func(Answer) {})
			}
			q := o.queue("trackd")
			for _, a := range o.byName {
				a.lastFrameAt = now + time.Hour // keeps the state fresh
			}
			b.ReportAllocs()
			for b.Loop() {
				now += time.Microsecond
				o.requestRoom(now, q)
			}
		})
	}
}

// BenchmarkFirstSecond measures the first second of an entry: all agents connect and report, 20
// jobs arrive, and 50 ticks pass.
func BenchmarkFirstSecond(b *testing.B) {
	for _, agents := range []int{11, 70, 240, 1200} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				o := newFleet(agents)
				for k := range int(time.Second / TickInterval) {
					now := time.Hour + time.Duration(k)*TickInterval
					if k%2 == 0 {
						o.Submit(now, jobOf(fmt.Sprint(k), 4), func(Answer) {})
					}
					o.Tick(now)
					o.Heartbeats(now)
				}
			}
		})
	}
}
