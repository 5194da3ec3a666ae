package peer

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/evacuation"
	"github.com/beaconpoint/beaconpoint/task"
)

// goldenFrame is a frame and its name in the golden file.
type goldenFrame struct {
	name  string
	frame *Frame
}

// goldenFrames returns one frame of each kind that processes send, in both directions.
func goldenFrames() []goldenFrame {
	id := task.ID{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}
	stamps := Frame{Stamp: 1500 * time.Millisecond, Echo: 1400 * time.Millisecond, Seq: 70000, Config: 12}
	frameWith := func(change func(*Frame)) *Frame {
		f := stamps
		change(&f)
		return &f
	}
	return []goldenFrame{
		{"heartbeat", &stamps},
		{"entry: hello", frameWith(
			func(f *Frame) { f.Hello = &Hello{Role: RoleEntry, Name: "edge-mtm-1", Addr: "10.1.0.13:7720"} })},
		{"agent: introduces itself", frameWith(func(f *Frame) {
			f.Hello = &Hello{Role: RoleAgent, Name: "side-mtm-1", Addr: "10.1.0.30:7720", Introduce: true}
		})},
		{"either: asks for the configuration", frameWith(func(f *Frame) { f.AskDocument = true })},
		{"either: hands over the configuration", frameWith(func(f *Frame) { f.Document = []byte(`{"version":12}`) })},
		{"either: hands over the configuration, compressed", frameWith(
			func(f *Frame) { f.DocumentZip = []byte{0x1f, 0x8b} })},
		{"either: data halls are evacuated", frameWith(func(f *Frame) {
			f.Evacuations = &evacuation.Set{Revision: 71, Halls: []string{"mtm", "sulph"}}
		})},
		{"either: no data hall is evacuated any more", frameWith(
			func(f *Frame) { f.Evacuations = &evacuation.Set{Revision: 90} })},
		{"entry: starts", frameWith(func(f *Frame) {
			f.Starts = []task.Order{
				{Task: id, Run: 2, Spec: "60ms", Needs: task.Resources{CPU: 1600, MemoryMB: 64, GPU: 1},
					Estimate: 61 * time.Millisecond, Guess: 60 * time.Millisecond,
					FailedElsewhere: true, TimeLeft: 1480 * time.Millisecond},
				{Task: task.ID{Job: "5c0e7a21d94b36f8"}, Run: 1},
			}
		})},
		{"entry: stops", frameWith(func(f *Frame) { f.Stops = []task.Ref{{Task: id, Run: 2}} })},
		{"entry: answers an offer and wants more", frameWith(func(f *Frame) {
			f.UsedReservation = 9
			f.RoomRequest = &RoomRequest{Slack: -30 * time.Millisecond, Needs: task.Resources{CPU: 1600},
				Total: task.Resources{CPU: 12800, MemoryMB: 512, GPU: 2}}
		})},
		{"entry: begins to watch", frameWith(func(f *Frame) { f.Watch = WatchStart })},
		{"entry: starts, the spec is kept there", frameWith(func(f *Frame) {
			f.Starts = []task.Order{{Task: id, Run: 1, SpecKept: true, Needs: task.Resources{CPU: 1600, MemoryMB: 64}}}
		})},
		{"entry: starts, another agent has the spec", frameWith(func(f *Frame) {
			f.Starts = []task.Order{{Task: id, Run: 1, SpecAt: "10.1.0.30:7720",
				Needs: task.Resources{CPU: 1600, MemoryMB: 64}}}
		})},
		{"entry: claims jobs, and passes a cancellation on", frameWith(func(f *Frame) {
			f.Claims = []claim.Claim{{Job: id.Job, MaxDuration: 9 * time.Second, Begun: true},
				{Job: id.Job, Cancel: true}}
		})},
		{"entry: settles a job", frameWith(func(f *Frame) {
			f.Settled = []claim.Settlement{
				{Job: id.Job, Outcome: claim.Refused, Why: code.JobBacklogTooLong, Retry: time.Second, Clear: true},
				{Job: id.Job, Clear: true, Ran: true},
			}
		})},
		{"agent: answers claims", frameWith(func(f *Frame) {
			f.Claimed = []claim.Reply{
				{Job: id.Job, State: claim.Granted, Ran: true},
				{Job: id.Job, State: claim.Answered, Outcome: claim.GivenUp, Why: code.JobTooLate, Retry: time.Second},
			}
		})},
		{"agent: another entry waits for a job", frameWith(func(f *Frame) {
			f.Interests = []claim.Interest{{Job: id.Job, Waits: true, Begun: true}, {Job: id.Job, Cancel: true}}
		})},
		{"agent: asks another one for a spec", &Frame{AskSpec: id.Job}},
		{"agent: gives a spec to another one", &Frame{GiveSpec: &GivenSpec{Known: true, Spec: "60ms"}}},
		{"agent: hello", frameWith(
			func(f *Frame) { f.Hello = &Hello{Role: RoleAgent, Name: "side-mtm-1", Level: LevelWatch} })},
		{"agent: state", frameWith(func(f *Frame) {
			f.State = &State{Free: task.Resources{CPU: 3200, MemoryMB: 1024}, Speed: 0.75,
				Accepting: true, Cleared: true, SeenSeq: 69999}
		})},
		{"agent: state of an ejected target, with its profile", frameWith(func(f *Frame) {
			f.State = &State{Speed: 1, Health: Ejected, Profile: &Profile{Target: "i-7", Service: "trackd", Hall: "mtm",
				Labels: []string{"rack-1", "gpu"}, Capacity: task.Resources{CPU: 16000, MemoryMB: 65536, GPU: 8}}}
		})},
		{"agent: ends of runs", frameWith(func(f *Frame) {
			for _, e := range []task.End{task.EndNone, task.EndDone, task.EndFailed, task.EndStopped,
				task.EndLapsed, task.EndLost, task.EndRejected} {
				f.Ended = append(f.Ended, RunEnd{Ref: task.Ref{Task: id, Run: 2}, End: e,
					Reason: code.RunListed, Took: 59 * time.Millisecond, TargetFault: true})
			}
		})},
		{"agent: an offer", frameWith(
			func(f *Frame) {
				f.Reservation = &Reservation{ID: 9, Room: task.Resources{CPU: 1600, MemoryMB: 64, GPU: 1}}
			})},
	}
}

// TestFrameEncodingIsUnchanged guards against changes to the encoding, since processes of two
// versions exchange frames during an upgrade.
func TestFrameEncodingIsUnchanged(t *testing.T) {
	var out strings.Builder
	for _, g := range goldenFrames() {
		buf, err := AppendFrame(nil, g.frame)
		assert.NilError(t, err)
		fmt.Fprintf(&out, "%s\n%s\n", g.name, hex.EncodeToString(buf))
	}
	golden.Assert(t, out.String(), "frames.golden")
}
