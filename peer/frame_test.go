package peer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/framing"
	"github.com/beaconpoint/beaconpoint/task"
)

// fullFrame returns a frame with most fields set.
func fullFrame() *Frame {
	id := task.ID{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}
	return &Frame{
		Stamp: time.Second, Echo: 2 * time.Second, Seq: 3, Config: 4,
		Hello:    &Hello{Role: RoleEntry, Name: "edge-1", Addr: "127.0.0.1:1", Level: LevelWatch},
		Document: []byte("{}"), DocumentZip: []byte{1}, AskDocument: true,
		Starts: []task.Order{{Task: id, Run: 2, Spec: "text", Needs: task.Resources{CPU: 1, MemoryMB: 2, GPU: 3},
			Estimate: 4, Guess: 5}},
		Stops: []task.Ref{{Task: id, Run: 1}}, UsedReservation: 9, RoomRequest: &RoomRequest{Slack: -time.Second},
		Watch: WatchStart, AskSpec: "5c0e7a21d94b36f8", GiveSpec: &GivenSpec{Known: true, Spec: "text"},
		State: &State{Profile: &Profile{Target: "i-1", Labels: []string{"a"}},
			Speed: 1.25, Health: Ejected, Accepting: true, SeenSeq: 8},
		Ended: []RunEnd{{Ref: task.Ref{Task: id, Run: 2}, End: task.EndDone,
			Reason: code.RunListed, Took: time.Second}},
		Reservation: &Reservation{ID: 1},
	}
}

func TestFrameRoundTrip(t *testing.T) {
	buf, err := AppendFrame(nil, fullFrame())
	assert.NilError(t, err)
	buf, err = AppendFrame(buf, &Frame{Seq: 4})
	assert.NilError(t, err)
	in := bytes.NewReader(buf)
	first, err := ReadFrame(in)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, fullFrame())
	second, err := ReadFrame(in)
	assert.NilError(t, err)
	assert.Equal(t, second.Seq, uint64(4))
}

// TestCutFrameIsNotRead guards against orders taken from the beginning of a frame whose connection
// ended before the rest arrived.
func TestCutFrameIsNotRead(t *testing.T) {
	buf, err := AppendFrame(nil, fullFrame())
	assert.NilError(t, err)
	for length := range len(buf) {
		f, err := ReadFrame(bytes.NewReader(buf[:length]))
		assert.Assert(t, err != nil && f == nil, "%d of %d bytes", length, len(buf))
	}
}

func TestOversizedFrameIsRejected(t *testing.T) {
	_, err := ReadFrame(bytes.NewReader([]byte{0xff, 0, 0, 0, 1}))
	assert.ErrorIs(t, err, ErrFrameSize)
	_, err = AppendFrame(nil, &Frame{Document: make([]byte, maxFrameBytes+1)})
	assert.ErrorIs(t, err, ErrFrameSize)
}

func TestConnKeepsFrameOrder(t *testing.T) {
	one, other := net.Pipe()
	sender, receiver := NewConn(one), NewConn(other)
	go sender.Run()
	defer receiver.Close()
	const frames = 100
	for k := range frames {
		assert.Equal(t, sender.Send(&Frame{}), uint64(k+1))
	}
	for k := range frames {
		f, err := receiver.Receive()
		assert.NilError(t, err)
		assert.Equal(t, f.Seq, uint64(k+1))
	}
	sender.Close()
	assert.Equal(t, sender.Send(&Frame{}), uint64(0))
	_, err := receiver.Receive()
	assert.Assert(t, err != nil)
}

func FuzzDecodeFrame(f *testing.F) {
	buf, err := AppendFrame(nil, fullFrame())
	assert.NilError(f, err)
	f.Add(buf[framing.PrefixSize:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		frame, err := DecodeFrame(body)
		if err != nil {
			return
		}
		again, err := AppendFrame(nil, frame)
		assert.NilError(t, err)
		_, err = DecodeFrame(again[framing.PrefixSize:])
		assert.NilError(t, err)
	})
}

func BenchmarkFrame(b *testing.B) {
	for _, c := range []struct {
		name  string
		frame *Frame
	}{{"heartbeat", &Frame{Stamp: time.Second, Echo: time.Second, Seq: 9}}, {"full", fullFrame()}} {
		b.Run(c.name, func(b *testing.B) {
			var buf []byte
			for b.Loop() {
				var err error
				if buf, err = AppendFrame(buf[:0], c.frame); err != nil {
					b.Fatal(err)
				}
				if _, err := DecodeFrame(buf[framing.PrefixSize:]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestConnCauseIsFirstLocalError guards against reporting the error of Receive or a later cause in
// place of the first local cause.
func TestConnCauseIsFirstLocalError(t *testing.T) {
	one, other := net.Pipe()
	c, far := NewConn(one), NewConn(other)
	far.Close()
	_, err := c.Receive()
	assert.ErrorIs(t, c.Cause(err), io.EOF)
	silent := errors.New("silent")
	c.CloseWithCause(silent)
	c.CloseWithCause(errors.New("later"))
	assert.ErrorIs(t, c.Cause(err), silent)

	one, _ = net.Pipe()
	c = NewConn(one)
	assert.Equal(t, c.Send(&Frame{Document: make([]byte, maxFrameBytes+1)}), uint64(0))
	assert.ErrorIs(t, c.Cause(nil), ErrFrameSize)
}
