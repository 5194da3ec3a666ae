package event

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Limits of a log.
const (
	// maxBacklogBytes is the backlog of unwritten lines from which lines are dropped. Lines
	// that report dropped lines are exempt.
	maxBacklogBytes = 512 << 10
	// maxRoutineBacklogBytes is the backlog from which routine lines are dropped.
	maxRoutineBacklogBytes = 256 << 10
	// maxLinesPerSecond limits the lines of one kind.
	maxLinesPerSecond = 600
	// flushInterval is the minimum time between two writes.
	flushInterval = 50 * time.Millisecond
)

// failedWrites is the kind under which lines lost in failed writes are counted.
const failedWrites Kind = "failed-writes"

// Log writes lines in the background, so that a stalled reader does not block the process.
// Lines are dropped if the backlog is full, routine ones first, or if too many lines of
// their kind are logged in one second. The numbers of dropped lines are logged with the
// first line of a later second. Log is safe for concurrent use.
type Log struct {
	out  io.Writer
	wake chan struct{} // signals that the backlog is not empty
	now  func() time.Time

	mu            sync.Mutex
	backlog       []byte       // lines to be written
	countedSecond int64        // Unix time of counts
	counts        map[Kind]int // lines accepted in countedSecond
	dropped       map[Kind]int // lines dropped or lost since the last lines-dropped line
	droppedTotal  uint64       // lines dropped or lost since the start
}

// NewLog returns a log that writes to out while Run is running.
func NewLog(out io.Writer) *Log {
	return &Log{
		out:     out,
		counts:  make(map[Kind]int),
		dropped: make(map[Kind]int),
		wake:    make(chan struct{}, 1),
		now:     time.Now,
	}
}

// Logger returns a JSON logger with the given minimum level.
func (l *Log) Logger(level slog.Leveler) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	return slog.New(&handler{log: l, inner: slog.NewJSONHandler((*backlogWriter)(l), options)})
}

// Dropped returns the number of lines dropped or lost since the start.
func (l *Log) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.droppedTotal
}

// Run writes lines until the context is cancelled, then writes the remaining ones.
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

// flush writes the backlog. Lines of a failed write are lost and counted.
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
	l.droppedTotal += uint64(lost)
}

// admit reports whether a line of the kind is accepted, and counts it. The caller holds
// l.mu.
func (l *Log) admit(kind Kind) bool {
	bound := maxBacklogBytes
	if routineKinds[kind] {
		bound = maxRoutineBacklogBytes
	}
	if l.counts[kind] >= maxLinesPerSecond || len(l.backlog) >= bound {
		l.dropped[kind]++
		l.droppedTotal++
		return false
	}
	l.counts[kind]++
	return true
}

// rotateCounts resets the counts if a new second has begun, and returns the lines dropped
// before. The caller holds l.mu.
func (l *Log) rotateCounts() map[Kind]int {
	second := l.now().Unix()
	if second == l.countedSecond {
		return nil
	}
	l.countedSecond = second
	clear(l.counts)
	if len(l.dropped) == 0 {
		return nil
	}
	dropped := l.dropped
	l.dropped = make(map[Kind]int)
	return dropped
}

// handler is the slog.Handler of a Log. It passes accepted records to inner.
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
	for kind, count := range h.log.rotateCounts() {
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

// backlogWriter appends to the backlog. The caller holds the mutex of the log.
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
