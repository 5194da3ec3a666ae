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

// wiretap collects the frames that are sent on a connection.
type wiretap struct {
	conn   *peer.Conn
	frames chan *peer.Frame
}

// newWiretap returns a connection whose frames can be counted.
func newWiretap(t *testing.T) *wiretap {
	t.Helper()
	near, far := net.Pipe()
	w := &wiretap{conn: peer.NewConn(near), frames: make(chan *peer.Frame, 1000)}
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

// count returns how many frames since the last call are as asked.
func (w *wiretap) count(is func(*peer.Frame) bool) int {
	synctest.Wait()
	n := 0
	for {
		select {
		case f := <-w.frames:
			if is(f) {
				n++
			}
		default:
			return n
		}
	}
}

func asks(f *peer.Frame) bool      { return f.AskDocument }
func documents(f *peer.Frame) bool { return len(f.Document) > 0 }

// TestAnAgentAsksOneEntryForANewConfiguration (its sleeps, as all in this package, are
// in virtual time): sent by all entries to all agents
// at once, a large one filled the narrow links, whose connections broke and began
// anew with the same document.
func TestAnAgentAsksOneEntryForANewConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAgent(settings.DefaultNode(), Directory{}, TargetCalls{}, slog.New(slog.DiscardHandler))
		a.clock = virtualClock()
		taps := []*wiretap{newWiretap(t), newWiretap(t), newWiretap(t)}
		for k, tap := range taps {
			assert.Equal(t, int(a.connect(tap.conn, &peer.Hello{Role: peer.RoleEntry, Name: string(rune('a' + k))})), k+1)
		}
		tell := func() (asked int) {
			for k, tap := range taps {
				a.receive(supervisor.ConnID(k+1), &peer.Frame{Config: 5, Stamp: a.clock.now()})
				asked += tap.count(asks)
			}
			return asked
		}
		assert.Equal(t, tell(), 1)
		assert.Equal(t, tell(), 0) // its answer is under way
		time.Sleep(documentTimeout)
		assert.Equal(t, tell(), 1) // it was lost
		a.receive(1, &peer.Frame{Config: 5, Document: []byte("{}")})
		time.Sleep(documentTimeout)
		assert.Equal(t, tell(), 0)
		a.receive(2, &peer.Frame{AskDocument: true}) // an entry that has begun anew
		assert.Equal(t, taps[1].count(documents), 1)
		assert.Equal(t, taps[0].count(documents), 0)
	})
}

// TestAnEntryPacesItsDocuments: its link may be narrow.
func TestAnEntryPacesItsDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(&store{})
		e.applyDocument(make([]byte, documentRate/4))
		const agents = 20
		taps := make([]*wiretap, agents)
		for k := range taps {
			taps[k] = newWiretap(t)
			name := string(rune('a' + k))
			e.links[name] = &link{registration: Registration{Name: name}, conn: taps[k].conn}
		}
		ask := func() (sent int) {
			for k, tap := range taps {
				e.receive(e.links[string(rune('a'+k))], tap.conn, &peer.Frame{AskDocument: true})
				sent += tap.count(documents)
			}
			return sent
		}
		assert.Equal(t, ask(), 1)
		assert.Equal(t, ask(), 0)
		time.Sleep(time.Second / 4)
		assert.Equal(t, ask(), 1)
	})
}

// TestAnEntryWaitsForItsWatchFirst: the store tells it of a new configuration
// soon, unless it turns this entry away; one that knows none asks at once.
func TestAnEntryWaitsForItsWatchFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(&store{})
		tap := newWiretap(t)
		l := &link{registration: Registration{Name: "a"}, conn: tap.conn}
		e.links["a"] = l
		hear := func() int {
			e.receive(l, tap.conn, &peer.Frame{Config: 7})
			return tap.count(asks)
		}
		assert.Equal(t, hear(), 1)
		e.applyDocument([]byte("12345")) // version 5
		assert.Equal(t, hear(), 0)
		time.Sleep(watchHeadStart)
		assert.Equal(t, hear(), 1)
		e.applyDocument([]byte("1234567"))
		time.Sleep(time.Second)
		assert.Equal(t, hear(), 0)
	})
}
