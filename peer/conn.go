package peer

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a connection.
const (
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken. Not measured; peers' silence is noticed sooner.
	userTimeout = 3 * time.Second
	// maxBacklog is how many bytes may wait to be written; a peer that reads
	// too slowly is cut off.
	maxBacklog = 4 << 20
	// readBuffer is the size of the read buffer, in bytes.
	readBuffer = 8 << 10
)

// Conn is one connection between an entry and an agent. Frames are sent in order and
// never block the sender: they are queued, and a peer that reads too slowly is cut
// off. Send and Close are safe for concurrent use; Receive and Run are for one
// goroutine each.
type Conn struct {
	raw  net.Conn
	in   *bufio.Reader
	once sync.Once     // closes raw
	wake chan struct{} // there is something to write, or the connection is closed

	mu      sync.Mutex
	backlog []byte // encoded frames that wait to be written
	seq     uint64 // of the last frame sent
	closed  bool
	cause   error // why it was closed here, if for a reason
}

// errBacklog means that the peer read too slowly.
var errBacklog = errors.New("peer: too many bytes wait to be written")

// NewConn wraps raw. Run must be called for frames to be sent.
func NewConn(raw net.Conn) *Conn {
	SetUserTimeout(raw, userTimeout)
	return &Conn{raw: raw, in: bufio.NewReaderSize(raw, readBuffer), wake: make(chan struct{}, 1)}
}

// SetUserTimeout bounds how long a cut goes unnoticed on a TCP connection that has
// bytes under way. Connections of other kinds, as in tests, are left as they are.
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

// Send numbers f and queues it. It returns the number, zero when the connection is
// closed. A frame that can't be encoded, or a full queue, closes it.
func (c *Conn) Send(f *Frame) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0
	}
	f.Seq = c.seq + 1
	buf, err := AppendFrame(c.backlog, f)
	if err == nil && len(buf) > maxBacklog {
		err = errBacklog
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
	return ReadFrame(c.in)
}

// Run writes the queued frames until the connection ends.
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
				c.CloseFor(err)
				return
			}
		}
		spare = buf
	}
}

// Write writes bytes at once, within a time. It is for connections without Run.
func (c *Conn) Write(bytes []byte, within time.Duration) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	_, err := c.raw.Write(bytes)
	return err
}

// Close ends the connection.
func (c *Conn) Close() {
	c.CloseFor(nil)
}

// Cause returns why the connection ended: what it was closed for here, or else the
// error of its last Receive.
func (c *Conn) Cause(received error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return c.cause
	}
	return received
}

// CloseFor ends the connection for a cause. The first cause stays.
func (c *Conn) CloseFor(cause error) {
	c.once.Do(func() {
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
