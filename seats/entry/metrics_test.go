package entry

import (
	"bytes"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats/settings"
	"github.com/beaconpoint/beaconpoint/seats/wire"
	"github.com/beaconpoint/beaconpoint/testutil/page"
)

const testToken = "a-token-for-the-tests-of-entry"

func newTestEntry(t *testing.T, log io.Writer) *Entry {
	t.Helper()
	tokens := filepath.Join(t.TempDir(), "tokens.yaml")
	text := "- {name: reader, token: " + testToken + "}\n- {name: chief, token: " + testToken + "-chief, change: true}\n"
	assert.NilError(t, os.WriteFile(tokens, []byte(text), 0o600))
	cfg := settings.Default()
	cfg.Role, cfg.Name, cfg.Region, cfg.Hall, cfg.Peers = wire.RoleEntry, "entry1", "test", "hall", "127.0.0.1:0"
	cfg.Entry.Callers, cfg.Entry.Operators, cfg.Entry.Platform, cfg.Entry.Tokens = "127.0.0.1:0", "127.0.0.1:0", "http://127.0.0.1:1", tokens
	e, err := NewEntry(cfg, slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	assert.NilError(t, err)
	t.Cleanup(func() {
		for _, l := range []io.Closer{e.peers, e.callers, e.ops} {
			l.Close()
		}
	})
	return e
}

func TestMetricsMatchPage(t *testing.T) {
	var out bytes.Buffer
	newTestEntry(t, io.Discard).writeMetrics(&out)
	var inCode []string
	for line := range strings.Lines(out.String()) {
		inCode = append(inCode, line[:strings.LastIndexByte(line, ' ')])
	}
	page.CheckMetrics(t, "../docs/metrics.md", inCode)
}
