package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a connection.
const (
	// entryQueue and agentQueue are how many frames may wait to be written to
	// an entry and to an agent. An entry has some hundreds of agents, each
	// with few starts under way, so that the size of the queue counts.
	entryQueue = 4096
	agentQueue = 256
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 8 << 10
	// flushSize is how many bytes are gathered into one write.
	flushSize = 64 << 10
	// helloTimeout bounds the exchange of hellos.
	helloTimeout = 3 * time.Second
	// writeTimeout bounds one write; a peer that takes nothing for so long
	// is cut off.
	writeTimeout = 5 * time.Second
)

// ErrHello is the fault of a peer that does not introduce itself as expected.
var ErrHello = errors.New("wire: bad hello")

// Stats counts what passes over the connections of a process.
type Stats struct {
	FramesIn, FramesOut, BytesIn, BytesOut atomic.Uint64
}

// Conn is one connection between two processes. Frames are sent in order, from
// any goroutine; they are received by the one that calls Run.
type Conn struct {
	raw    net.Conn
	in     *bufio.Reader
	out    chan Frame
	done   chan struct{}
	once   sync.Once
	stats  *Stats
	remote Hello
}

// Handshake exchanges hellos over raw and returns the connection. On a fault
// raw is closed.
func Handshake(raw net.Conn, own Hello, stats *Stats) (*Conn, error) {
	c := &Conn{
		raw:   raw,
		in:    bufio.NewReaderSize(raw, readBuffer),
		done:  make(chan struct{}),
		stats: stats,
	}
	if err := c.hello(own); err != nil {
		raw.Close()
		return nil, err
	}
	return c, nil
}

func (c *Conn) hello(own Hello) error {
	if err := c.raw.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	own.Version = Version
	var buf bytes.Buffer
	if err := AppendFrame(&buf, Frame{Body: own}); err != nil {
		return err
	}
	if _, err := c.raw.Write(buf.Bytes()); err != nil {
		return err
	}
	f, err := ReadFrame(c.in)
	if err != nil {
		return err
	}
	h, ok := f.Body.(Hello)
	if !ok || h.ID.IsZero() {
		return ErrHello
	}
	if h.Version != Version {
		return fmt.Errorf("%w: version %d, want %d", ErrHello, h.Version, Version)
	}
	if h.Region != own.Region {
		return fmt.Errorf("%w: region %q, want %q", ErrHello, h.Region, own.Region)
	}
	c.remote = h
	c.out = make(chan Frame, entryQueue)
	if h.Role == RoleAgent {
		c.out = make(chan Frame, agentQueue)
	}
	return c.raw.SetDeadline(time.Time{})
}

// Remote returns the peer's hello.
func (c *Conn) Remote() Hello {
	return c.remote
}

// Send queues f. It returns false when the connection is closed, and closes it
// when its queue is full: a peer that reads too slowly is cut off.
func (c *Conn) Send(f Frame) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case c.out <- f:
		return true
	default:
		c.Close()
		return false
	}
}

// Run reads frames and hands them to handle until the connection ends. It
// writes the queued frames meanwhile.
func (c *Conn) Run(handle func(Frame) error) error {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	err := c.read(handle)
	c.Close()
	<-written
	return err
}

// Close ends the connection.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		c.raw.Close()
	})
}

func (c *Conn) read(handle func(Frame) error) error {
	for {
		f, err := ReadFrame(c.in)
		if err != nil {
			return err
		}
		c.stats.FramesIn.Add(1)
		c.stats.BytesIn.Add(uint64(f.size))
		if err := handle(f); err != nil {
			return err
		}
	}
}

func (c *Conn) write() {
	defer c.Close()
	var buf bytes.Buffer
	for {
		select {
		case <-c.done:
			return
		case f := <-c.out:
			buf.Reset()
			if !c.gather(&buf, f) || !c.flush(&buf) {
				return
			}
		}
	}
}

// gather encodes f and what else is queued, up to flushSize.
func (c *Conn) gather(buf *bytes.Buffer, f Frame) bool {
	for {
		if err := AppendFrame(buf, f); err != nil {
			return false
		}
		c.stats.FramesOut.Add(1)
		if buf.Len() >= flushSize {
			return true
		}
		select {
		case f = <-c.out:
		default:
			return true
		}
	}
}

func (c *Conn) flush(buf *bytes.Buffer) bool {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	n, err := c.raw.Write(buf.Bytes())
	c.stats.BytesOut.Add(uint64(n))
	return err == nil
}
