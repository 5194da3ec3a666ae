package event

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestLogEventsPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../docs/log-events.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Markdown())
}

func TestCatalogueHasUniqueKinds(t *testing.T) {
	seen := make(map[Kind]bool)
	for _, e := range Catalogue {
		assert.Assert(t, !seen[e.Kind], e.Kind)
		seen[e.Kind] = true
	}
}

// TestStalledReaderDoesNotBlockLogging guards against a process that blocks because nobody
// reads its log.
func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		l := NewLog(writer)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		log := l.Logger(slog.LevelInfo)
		for range 60 {
			for range maxLinesPerSecond {
				log.Info(RunEnded, "text", strings.Repeat("x", 100))
			}
			log.Info(JobAnswered, "kind", 1)
			time.Sleep(time.Second)
		}
		assert.Assert(t, l.Dropped() > 0)
		assert.Assert(t, len(l.backlog) < maxBacklogBytes)
		cancel()
		text, closed := make(chan string), make(chan struct{})
		go func() {
			raw, _ := io.ReadAll(reader)
			text <- string(raw)
		}()
		go func() {
			synctest.Wait()
			writer.Close()
			close(closed)
		}()
		all := <-text
		<-closed
		// Routine lines must be dropped before others.
		assert.Equal(t, strings.Count(all, `"msg":"job-answered"`), 60)
		assert.Assert(t, strings.Contains(all, `"msg":"lines-dropped"`))
	})
}

func TestLinesOfOneKindAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewLog(&out)
		log := l.Logger(slog.LevelInfo)
		for range maxLinesPerSecond + 7 {
			log.Info(TaskMoved)
		}
		log.Info(JobAnswered)
		assert.Equal(t, l.Dropped(), uint64(7))
		time.Sleep(time.Second)
		log.Info(JobAnswered)
		l.flush()
		// The lines-dropped line contains the kind, too.
		assert.Equal(t, strings.Count(out.String(), TaskMoved), maxLinesPerSecond+1)
		assert.Equal(t, strings.Count(out.String(), JobAnswered), 2)
		assert.Assert(t, strings.Contains(out.String(), `"kind":"task-moved","count":7`))
	})
}

// BenchmarkLine measures logging a line that is written and a line below the log level.
func BenchmarkLine(b *testing.B) {
	lines := func(l *Log, log *slog.Logger) func(*testing.B) {
		return func(b *testing.B) {
			for b.Loop() {
				log.Info(RunEnded, "task", "5c0e7a21d94b36f8.0.1.17", "run", 1, "entry", "edge-mtm-1", "end", "done",
					"took_ms", 61, "estimate_ms", 66)
				if len(l.backlog) > maxRoutineBacklogBytes/2 {
					l.flush()
				}
				clear(l.counts)
			}
		}
	}
	l := NewLog(io.Discard)
	b.Run("written", lines(l, l.Logger(slog.LevelInfo)))
	b.Run("below-level", lines(l, l.Logger(slog.LevelError)))
}

// brokenWriter fails on the first write.
type brokenWriter struct {
	bytes.Buffer
	failed bool
}

// Write implements io.Writer.
func (w *brokenWriter) Write(p []byte) (int, error) {
	if !w.failed {
		w.failed = true
		return 0, io.ErrClosedPipe
	}
	return w.Buffer.Write(p)
}

// TestLinesLostInFailedWriteAreCounted guards against lines that a failed write loses
// without a report.
func TestLinesLostInFailedWriteAreCounted(t *testing.T) {
	out := &brokenWriter{}
	l := NewLog(out)
	at := time.Unix(1_700_000_000, 0)
	l.now = func() time.Time { return at }
	log := l.Logger(slog.LevelInfo)
	log.Info(JobAnswered)
	log.Info(JobAnswered)
	l.flush()
	assert.Equal(t, l.Dropped(), uint64(2))
	at = at.Add(time.Second)
	log.Info(JobAnswered)
	l.flush()
	assert.Assert(t, strings.Contains(out.String(), `"kind":"failed-writes","count":2`), out.String())
}
