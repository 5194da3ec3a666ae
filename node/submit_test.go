package node

import (
	"context"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/settings"
	"github.com/beaconpoint/beaconpoint/task"
)

// TestSubmitRefusesJobOfDisconnectedCaller guards against running a job twice: its caller may
// already have submitted it to another entry.
func TestSubmitRefusesJobOfDisconnectedCaller(t *testing.T) {
	e := NewEntry(settings.DefaultNode(), Directory{}, ConfigSource{}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	j := task.Job{ID: "5c0e7a21d94b36f8", Service: "trackd", Attempts: 1, ObjectiveFactor: 1,
		Steps: []task.Step{{Count: 1, Needs: task.Resources{CPU: 1000}}}}
	_, err := e.Submit(ctx, j)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, e.Stats().Accepted, uint64(0))
}
