package event

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Bounds of a log.
const (
	// maxBacklog is how many bytes may wait to be written.
	maxBacklog = 512 << 10
	// routineBacklog is how many may wait for a routine line to be taken.
	routineBacklog = 256 << 10
	// linesPerSecond is how many lines of one kind are taken in a second.
	linesPerSecond = 600
	// flushInterval is how long lines are gathered into one write.
	flushInterval = 50 * time.Millisecond
)

// failedWrites is the kind under which lines are counted that were lost because the
// output failed: the log can't say so at once.
const failedWrites Kind = "failed-writes"

// Log writes lines in the background. A reader that stalls stops nobody: lines are
// dropped then and counted, routine ones first, and a lines-dropped line says how many
// as soon as one can be written. Safe for concurrent use.
type Log struct {
	out  io.Writer
	wake chan struct{} // there is something to write
	now  func() time.Time

	mu      sync.Mutex
	backlog []byte       // lines that wait to be written
	second  int64        // that counts is for, in Unix time
	counts  map[Kind]int // lines taken in this second
	dropped map[Kind]int // lines not taken, or lost, since that was last said
	total   uint64       // lines not taken since the start
}

// NewLog returns a log that writes to out. Run must be called for lines to
// appear.
func NewLog(out io.Writer) *Log {
	return &Log{
		out:     out,
		counts:  make(map[Kind]int),
		dropped: make(map[Kind]int),
		wake:    make(chan struct{}, 1),
		now:     time.Now,
	}
}

// Logger returns a logger of JSON lines from the given level on.
func (l *Log) Logger(level slog.Leveler) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	return slog.New(&handler{log: l, inner: slog.NewJSONHandler((*backlogWriter)(l), options)})
}

// Dropped returns how many lines were not taken, or lost, since the start.
func (l *Log) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Run writes until the context ends, and then what is left.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.flush()
			return
		case <-l.wake:
		}
		l.flush()
		timer := time.NewTimer(flushInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// flush writes what waits. Where the output fails, the lines are lost and counted.
func (l *Log) flush() {
	l.mu.Lock()
	buf := l.backlog
	l.backlog = nil
	l.mu.Unlock()
	if len(buf) == 0 {
		return
	}
	n, err := l.out.Write(buf)
	if err == nil {
		return
	}
	lost := bytes.Count(buf[min(n, len(buf)):], []byte("\n"))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[failedWrites] += lost
	l.total += uint64(lost)
}

// admit reports whether a line of the kind is taken now, and counts it. It is called
// with the lock held.
func (l *Log) admit(kind Kind) bool {
	bound := maxBacklog
	if routine[kind] {
		bound = routineBacklog
	}
	if l.counts[kind] >= linesPerSecond || len(l.backlog) >= bound {
		l.dropped[kind]++
		l.total++
		return false
	}
	l.counts[kind]++
	return true
}

// turn begins a new second, if one has begun, and returns what was dropped in the
// last. It is called with the lock held.
func (l *Log) turn() map[Kind]int {
	second := l.now().Unix()
	if second == l.second {
		return nil
	}
	l.second = second
	clear(l.counts)
	if len(l.dropped) == 0 {
		return nil
	}
	dropped := l.dropped
	l.dropped = make(map[Kind]int)
	return dropped
}

// handler is the slog.Handler of a Log: it admits records and passes them on.
type handler struct {
	log   *Log
	inner slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	for kind, count := range h.log.turn() {
		line := slog.NewRecord(r.Time, slog.LevelWarn, LinesDropped, 0)
		line.AddAttrs(slog.String("kind", kind), slog.Int("count", count))
		if err := h.inner.Handle(ctx, line); err != nil {
			return err
		}
	}
	if !h.log.admit(r.Message) {
		return nil
	}
	return h.inner.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{log: h.log, inner: h.inner.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{log: h.log, inner: h.inner.WithGroup(name)}
}

// backlogWriter appends to the backlog. It is called with the lock held.
type backlogWriter Log

// Write implements io.Writer.
func (w *backlogWriter) Write(p []byte) (int, error) {
	w.backlog = append(w.backlog, p...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}
