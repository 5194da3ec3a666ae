package owner

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// BenchmarkDecision measures one task from submission to answer, with its room requests,
// reservation, order and end, and its share of the ticks at 1,300 jobs a second.
func BenchmarkDecision(b *testing.B) {
	const jobsPerTick = 1300 * int(TickInterval) / int(time.Second)
	for _, agents := range []int{11, 70, 240, 1200} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			o := newFleet(agents)
			now := time.Hour
			var asked []string
			var orders []task.Order
			o.Send = func(agent string, f *peer.Frame) uint64 {
				if f.RoomRequest != nil {
					asked = append(asked, agent)
				}
				orders = append(orders, f.Starts...)
				return 1
			}
			state := halfFull("")
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				now += TickInterval / time.Duration(jobsPerTick)
				if n%jobsPerTick == 0 {
					o.Tick(now)
					o.Heartbeats(now)
				}
				asked, orders = asked[:0], orders[:0]
				o.Submit(now, jobOf(fmt.Sprint(n), 1), func(Answer) {})
				agent := asked[0]
				o.Receive(now, agent, &peer.Frame{State: state,
					Reservation: &peer.Reservation{ID: 1, Room: task.Resources{CPU: 4000, MemoryMB: 100}}})
				o.Receive(now, agent, &peer.Frame{Ended: []peer.RunEnd{{
					Ref: task.Ref{Task: orders[0].Task, Run: 1}, End: task.EndDone, Took: 100 * ms}}})
				for _, other := range asked[1:] {
					o.Receive(now, other, &peer.Frame{State: state, Reservation: &peer.Reservation{ID: 2}})
				}
			}
		})
	}
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
