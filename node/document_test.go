package node

import (
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/settings"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// frameRecorder collects the frames that are sent on a connection.
type frameRecorder struct {
	conn   *peer.Conn
	frames chan *peer.Frame
}

// newFrameRecorder returns a recorder with an open connection.
func newFrameRecorder(t *testing.T) *frameRecorder {
	t.Helper()
	near, far := net.Pipe()
	w := &frameRecorder{conn: peer.NewConn(near), frames: make(chan *peer.Frame, 1000)}
	other := peer.NewConn(far)
	go w.conn.Run()
	go func() {
		for {
			f, err := other.Receive()
			if err != nil {
				return
			}
			w.frames <- f
		}
	}()
	t.Cleanup(w.conn.Close)
	return w
}

// count returns how many of the frames sent since the last call match.
func (w *frameRecorder) count(match func(*peer.Frame) bool) int {
	synctest.Wait()
	n := 0
	for {
		select {
		case f := <-w.frames:
			if match(f) {
				n++
			}
		default:
			return n
		}
	}
}

func isDocumentRequest(f *peer.Frame) bool { return f.AskDocument }
func hasDocument(f *peer.Frame) bool       { return len(f.Document) > 0 }

// TestAgentRequestsDocumentFromOneEntry guards against requests that make all entries send a large
// document at once, which overloads narrow links.
func TestAgentRequestsDocumentFromOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAgent(settings.DefaultNode(), Directory{}, TargetCalls{}, slog.New(slog.DiscardHandler))
		a.clock = virtualClock()
		recorders := []*frameRecorder{newFrameRecorder(t), newFrameRecorder(t), newFrameRecorder(t)}
		for k, recorder := range recorders {
			assert.Equal(t, int(a.connect(recorder.conn,
				&peer.Hello{Role: peer.RoleEntry, Name: string(rune('a' + k))})), k+1)
		}
		announce := func() (asked int) {
			for k, recorder := range recorders {
				a.receive(supervisor.ConnID(k+1), &peer.Frame{Config: 5, Stamp: a.clock.now()})
				asked += recorder.count(isDocumentRequest)
			}
			return asked
		}
		assert.Equal(t, announce(), 1) // the first of the three entries
		assert.Equal(t, announce(), 0) // the first request is in flight
		time.Sleep(documentRequestTimeout)
		assert.Equal(t, announce(), 1) // the first request has timed out
		a.receive(1, &peer.Frame{Config: 5, Document: []byte("{}")})
		time.Sleep(documentRequestTimeout)
		assert.Equal(t, announce(), 0)               // the agent has the document
		a.receive(2, &peer.Frame{AskDocument: true}) // an entry that has restarted
		assert.Equal(t, recorders[1].count(hasDocument), 1)
		assert.Equal(t, recorders[0].count(hasDocument), 0) // not requested by this entry
	})
}

// TestEntryLimitsDocumentRate guards against documents saturating a narrow link of the entry.
func TestEntryLimitsDocumentRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(&fakeStore{})
		e.applyDocument(make([]byte, documentBytesPerSecond/4))
		const agents = 20
		recorders := make([]*frameRecorder, agents)
		for k := range recorders {
			recorders[k] = newFrameRecorder(t)
			name := string(rune('a' + k))
			e.links[name] = &link{registration: Registration{Name: name}, conn: recorders[k].conn}
		}
		request := func() (sent int) {
			for k, recorder := range recorders {
				e.receive(e.links[string(rune('a'+k))], recorder.conn, &peer.Frame{AskDocument: true})
				sent += recorder.count(hasDocument)
			}
			return sent
		}
		assert.Equal(t, request(), 1)
		assert.Equal(t, request(), 0) // until the time for the first document has elapsed
		time.Sleep(time.Second / 4)
		assert.Equal(t, request(), 1)
	})
}

// TestEntryDelaysDocumentRequest guards against requesting a document that the entry's own watch is
// about to report, and against a delay if the entry has no configuration.
func TestEntryDelaysDocumentRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(&fakeStore{})
		recorder := newFrameRecorder(t)
		l := &link{registration: Registration{Name: "a"}, conn: recorder.conn}
		e.links["a"] = l
		receive := func() int {
			e.receive(l, recorder.conn, &peer.Frame{Config: 7})
			return recorder.count(isDocumentRequest)
		}
		assert.Equal(t, receive(), 1)    // no configuration yet
		e.applyDocument([]byte("12345")) // version 5
		assert.Equal(t, receive(), 0)    // the entry's watch may report version 7
		time.Sleep(documentRequestDelay)
		assert.Equal(t, receive(), 1)
		e.applyDocument([]byte("1234567")) // version 7
		time.Sleep(time.Second)
		assert.Equal(t, receive(), 0)
	})
}
