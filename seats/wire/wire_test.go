package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/framing"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/roster"
)

func samples() []Message {
	id := roster.NewID("entry1", 7)
	at := time.Unix(1_700_000_000, 0)
	sub := job.Submission{Service: "trackd", Digest: 9, Deadline: 5, Job: seats.Job{
		ID: "a", Organisation: "m", ExpiresAt: &at, Tasks: []seats.Task{{ID: "t", Payload: []byte(`{}`), ExpectedMS: 4}},
	}}
	return []Message{
		Hello{Version: 1, Role: RoleAgent, ID: id, Region: "bay"},
		Heartbeat{Waiting: 3, Running: 4, Settling: true},
		AgentHeartbeat{Service: "trackd", Window: 8, Slots: 8, Standing: true},
		Roster{Roster: roster.Roster{Revision: 3, Seats: []roster.Seat{{ID: id, Addr: "127.0.0.1:1"}}, Agents: []roster.ID{id}, Changes: []string{"c"}}},
		Config{Document: []byte(`{"revision":1}`)},
		Target{Known: true, Service: "trackd", Slots: 8, Connections: 64},
		Start{Key: TaskKey{Job: "trackd/a", Index: 2}, TaskID: "t", Digest: 1 << 63, Service: "trackd", Payload: []byte("{}"), Expiry: 1},
		Await{Key: TaskKey{Job: "trackd/a"}},
		Result{Key: TaskKey{Job: "trackd/a"}, Seq: 4, Status: Done, Code: code.OK, Output: []byte("1"), Window: 2},
		Collect{Revision: 3},
		Records{Revision: 3, Records: []Record{{Key: TaskKey{Job: "trackd/a"}, Digest: 2, Expiry: 3, Starter: id}}},
		Forward{Ticket: 2, Submission: sub, Pointed: true},
		Reply{Ticket: 2, Answer: seats.Answer{ID: "a", State: seats.Complete, Results: []seats.Result{{ID: "t", Output: []byte("1")}}}},
		HandOver{Revision: 3, Settled: true, Moved: []Moved{{Job: "trackd/a", Expiry: 1}}, Doubts: []Doubt{{Holder: id, Expiry: 4}}},
	}
}

func TestEveryKindRoundTrips(t *testing.T) {
	seen := make(map[Kind]bool)
	for _, m := range samples() {
		var buf bytes.Buffer
		assert.NilError(t, AppendFrame(&buf, Frame{Header: Header{Seq: 1, Echo: -5}, Body: m}))
		f, err := ReadFrame(&buf)
		assert.NilError(t, err)
		assert.Equal(t, f.Kind, m.Kind())
		// The time in a Forward decodes with another location.
		if _, ok := m.(Forward); !ok {
			assert.Assert(t, reflect.DeepEqual(f.Body, m), "%+v\n%+v", f.Body, m)
		}
		seen[m.Kind()] = true
	}
	assert.Equal(t, len(seen), len(decoders))
}

func TestHeadersRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Header{
			Seq: rapid.Uint64().Draw(t, "seq"), Revision: rapid.Uint64().Draw(t, "revision"),
			Config: rapid.Uint64().Draw(t, "config"), Stamp: rapid.Int64().Draw(t, "stamp"), Echo: rapid.Int64().Draw(t, "echo"),
		}
		var buf bytes.Buffer
		if err := AppendFrame(&buf, Frame{Header: h, Body: Collect{}}); err != nil {
			t.Fatal(err)
		}
		f, err := ReadFrame(&buf)
		if err != nil {
			t.Fatal(err)
		}
		h.Kind = KindCollect
		if f.Header != h {
			t.Fatalf("header %+v decoded as %+v", h, f.Header)
		}
	})
}

func TestOversizeFrameIsRejectedBeforeAllocation(t *testing.T) {
	prefix := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	_, err := ReadFrame(bytes.NewReader(prefix))
	assert.Assert(t, errors.Is(err, ErrFrameSize))
}

func TestHandshakeRejectsMalformedInput(t *testing.T) {
	for _, input := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x01\xc1", "\x00\x00\x00\x00"} {
		ours, theirs := net.Pipe()
		go func() {
			_, _ = theirs.Write([]byte(input)) // fails when the peer closes
			theirs.Close()
		}()
		go func() { _, _ = bytes.NewBuffer(nil).ReadFrom(theirs) }()
		_, err := Handshake(ours, Hello{Role: RoleEntry, ID: roster.NewID("a", 1)}, &Stats{})
		assert.Assert(t, err != nil, "%q", input)
	}
}

func TestHandshakeRejectsOtherVersionOrRegion(t *testing.T) {
	for _, c := range []struct {
		hello Hello
		want  string
	}{
		{Hello{Version: Version + 1, ID: roster.NewID("a", 1), Region: "bay"}, "version"},
		{Hello{Version: Version, ID: roster.NewID("a", 1), Region: "elsewhere"}, "region"},
		{Hello{Version: Version, Region: "bay"}, "invalid hello"},
	} {
		ours, theirs := net.Pipe()
		go func() {
			var buf bytes.Buffer
			_ = AppendFrame(&buf, Frame{Body: c.hello}) // samples encode
			_, _ = ReadFrame(theirs)
			_, _ = theirs.Write(buf.Bytes())
		}()
		_, err := Handshake(ours, Hello{Role: RoleEntry, ID: roster.NewID("b", 1), Region: "bay"}, &Stats{})
		assert.ErrorContains(t, err, c.want)
		theirs.Close()
	}
}

func FuzzDecodeFrame(f *testing.F) {
	for _, m := range samples() {
		var buf bytes.Buffer
		assert.NilError(f, AppendFrame(&buf, Frame{Body: m}))
		f.Add(buf.Bytes()[framing.PrefixSize:])
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := DecodeFrame(raw)
		if err != nil {
			return
		}
		var buf bytes.Buffer
		assert.NilError(t, AppendFrame(&buf, frame))
	})
}

func BenchmarkStartFrame(b *testing.B) {
	start := Start{Key: TaskKey{Job: "trackd/job-123456", Index: 17}, TaskID: "t17", Digest: 1 << 60, Service: "trackd",
		Payload: []byte(`{"container":"MSCU1234567","query":"position"}`), Expiry: 1_700_000_000_000}
	var buf bytes.Buffer
	b.ReportAllocs()
	for b.Loop() {
		buf.Reset()
		if err := AppendFrame(&buf, Frame{Header: Header{Seq: 1, Revision: 2, Stamp: 1 << 40, Echo: 1 << 40}, Body: start}); err != nil {
			b.Fatal(err)
		}
		if _, err := ReadFrame(&buf); err != nil {
			b.Fatal(err)
		}
	}
}
