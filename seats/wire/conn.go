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

const (
	// entryQueueFrames and agentQueueFrames limit the frames that wait to be written to an
	// entry and to an agent. An entry has hundreds of agents, so their queues
	// are short to save memory.
	entryQueueFrames = 4096
	agentQueueFrames = 256
	readBufferBytes  = 8 << 10
	// writeBatchBytes is the size from which a write takes no further frames.
	writeBatchBytes = 64 << 10
	// helloTimeout limits the exchange of hellos.
	helloTimeout = 3 * time.Second
	// writeTimeout limits one write. The connection is closed after it.
	writeTimeout = 5 * time.Second
)

// ErrHello is returned for a peer whose hello is missing or does not match.
var ErrHello = errors.New("wire: invalid hello")

// Stats counts the traffic of all connections of a process.
type Stats struct {
	FramesIn, FramesOut, BytesIn, BytesOut atomic.Uint64
}

// Conn is a connection between two processes. Send may be called from any
// goroutine; frames are written in order. Run handles received frames in the
// calling goroutine.
type Conn struct {
	raw       net.Conn
	in        *bufio.Reader
	out       chan Frame
	done      chan struct{}
	closeOnce sync.Once
	stats     *Stats
	remote    Hello
}

// Handshake exchanges hellos over raw and returns the connection. It closes raw
// if it fails.
func Handshake(raw net.Conn, own Hello, stats *Stats) (*Conn, error) {
	c := &Conn{
		raw:   raw,
		in:    bufio.NewReaderSize(raw, readBufferBytes),
		done:  make(chan struct{}),
		stats: stats,
	}
	if err := c.exchangeHellos(own); err != nil {
		raw.Close()
		return nil, err
	}
	return c, nil
}

func (c *Conn) exchangeHellos(own Hello) error {
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
	c.out = make(chan Frame, entryQueueFrames)
	if h.Role == RoleAgent {
		c.out = make(chan Frame, agentQueueFrames)
	}
	return c.raw.SetDeadline(time.Time{})
}

// Remote returns the peer's hello.
func (c *Conn) Remote() Hello {
	return c.remote
}

// Send queues f for writing. It closes the connection if the queue is full, and
// reports false if the connection is closed.
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

// Run writes the queued frames, and reads frames and passes them to handle until
// the connection is closed or handle fails.
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

// Close closes the connection. It may be called several times.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
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
			if !c.encodeQueued(&buf, f) || !c.flush(&buf) {
				return
			}
		}
	}
}

// encodeQueued encodes f and further queued frames until buf has writeBatchBytes.
func (c *Conn) encodeQueued(buf *bytes.Buffer, f Frame) bool {
	for {
		if err := AppendFrame(buf, f); err != nil {
			return false
		}
		c.stats.FramesOut.Add(1)
		if buf.Len() >= writeBatchBytes {
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
