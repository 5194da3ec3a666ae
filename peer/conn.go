package peer

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of a connection.
const (
	// tcpUserTimeout is how long sent data may remain unacknowledged before the connection is
	// closed.
	tcpUserTimeout = 3 * time.Second
	// maxBacklogBytes limits the data that waits to be written, including length prefixes. The
	// connection is closed if it is exceeded.
	maxBacklogBytes = 4 << 20
	readBufferBytes = 8 << 10
)

// Conn is a connection between two processes. Frames are sent in order. Send never blocks: frames
// are queued, and a peer that reads too slowly is disconnected. Send, Close, CloseWithCause and
// Cause are safe for concurrent use; Receive and Run must each be called from a single goroutine.
type Conn struct {
	raw       net.Conn
	reader    *bufio.Reader
	closeOnce sync.Once     // guards the close of raw
	wake      chan struct{} // capacity 1; signals that the backlog has data or the connection is closed

	mu      sync.Mutex
	backlog []byte // encoded frames that wait to be written
	seq     uint64 // number of the last frame sent
	closed  bool
	cause   error // first local reason for closing, nil if there is none
}

// errBacklogFull is the cause of closing a connection whose backlog exceeds maxBacklogBytes. A
// single frame of nearly maxFrameBytes exceeds the limit, too.
var errBacklogFull = errors.New("peer: write backlog is full: peer reads too slowly or frame is too large")

// NewConn returns a connection that uses raw. Run writes the queued frames.
func NewConn(raw net.Conn) *Conn {
	SetUserTimeout(raw, tcpUserTimeout)
	return &Conn{raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), wake: make(chan struct{}, 1)}
}

// SetUserTimeout sets TCP_USER_TIMEOUT, which limits how long a broken TCP connection with
// unacknowledged data goes undetected. It has no effect on connections of other types, which tests
// use.
func SetUserTimeout(raw net.Conn, d time.Duration) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// Send assigns the next sequence number to f and queues it. It returns the number, zero if the
// connection is closed. The connection is closed if f can't be encoded or the backlog is full.
func (c *Conn) Send(f *Frame) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0
	}
	f.Seq = c.seq + 1
	buf, err := AppendFrame(c.backlog, f)
	if err == nil && len(buf) > maxBacklogBytes {
		err = errBacklogFull
	}
	if err != nil {
		c.closed = true
		c.cause = err
		go c.Close()
		return 0
	}
	c.seq++
	c.backlog = buf
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return c.seq
}

// Receive reads the next frame.
func (c *Conn) Receive() (*Frame, error) {
	return ReadFrame(c.reader)
}

// Run writes queued frames until the connection is closed.
func (c *Conn) Run() {
	defer c.Close()
	var spare []byte
	for range c.wake {
		c.mu.Lock()
		buf := c.backlog
		c.backlog = spare[:0]
		closed := c.closed
		c.mu.Unlock()
		if closed {
			return
		}
		if len(buf) > 0 {
			if _, err := c.raw.Write(buf); err != nil {
				c.CloseWithCause(err)
				return
			}
		}
		spare = buf
	}
}

// Write writes encoded frames with a timeout, without queuing them. It must not be used after Run
// has been called.
func (c *Conn) Write(data []byte, timeout time.Duration) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := c.raw.Write(data)
	return err
}

// Close closes the connection.
func (c *Conn) Close() {
	c.CloseWithCause(nil)
}

// Cause returns why the connection ended: the local cause of its closing if there is one,
// otherwise the given error of the last Receive.
func (c *Conn) Cause(receiveErr error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return c.cause
	}
	return receiveErr
}

// CloseWithCause closes the connection with a cause. Only the first cause is kept.
func (c *Conn) CloseWithCause(cause error) {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		c.closed = true
		if c.cause == nil {
			c.cause = cause
		}
		c.mu.Unlock()
		select {
		case c.wake <- struct{}{}:
		default:
		}
		c.raw.Close()
	})
}
