package entry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// writeMetrics writes the metrics listed in docs/metrics.md.
func (e *Entry) writeMetrics(w io.Writer) {
	s := e.Status()
	set := metrics.NewSet()
	for _, m := range []struct {
		name  string
		value uint64
	}{
		{"beaconpoint_jobs_submitted_total", s.Counts.Submitted},
		{`beaconpoint_jobs_ended_total{state="complete"}`, s.Counts.Completed},
		{`beaconpoint_jobs_ended_total{state="failed"}`, s.Counts.Failed},
		{`beaconpoint_jobs_ended_total{state="refused"}`, s.Counts.Refused},
		{"beaconpoint_starts_total", s.Counts.Starts},
		{`beaconpoint_wasted_messages_total{cause="refusal"}`, s.Counts.Refusals},
		{`beaconpoint_wasted_messages_total{cause="resend"}`, s.Counts.Resends},
		{`beaconpoint_wasted_messages_total{cause="late"}`, s.Counts.LateResults},
		{"beaconpoint_awaits_total", s.Counts.Awaits},
		{"beaconpoint_forwards_total", s.Counts.Forwards},
		{"beaconpoint_takeovers_total", s.Counts.Takeovers},
		{"beaconpoint_retries_total", s.Counts.Retries},
		{"beaconpoint_store_calls_total", s.Calls},
		{"beaconpoint_frames_sent_total", e.stats.FramesOut.Load()},
		{"beaconpoint_frames_received_total", e.stats.FramesIn.Load()},
		{"beaconpoint_bytes_sent_total", e.stats.BytesOut.Load()},
		{"beaconpoint_bytes_received_total", e.stats.BytesIn.Load()},
	} {
		set.NewCounter(m.name).Set(m.value)
	}
	for _, m := range []struct {
		name  string
		value float64
	}{
		{"beaconpoint_standing", boolGauge(s.Standing)},
		{"beaconpoint_settled", boolGauge(s.Settled)},
		{"beaconpoint_roster_revision", float64(s.Roster)},
		{"beaconpoint_config_revision", float64(s.Config)},
		{"beaconpoint_tasks_waiting", float64(s.Waiting)},
		{"beaconpoint_tasks_running", float64(s.Running)},
	} {
		set.NewGauge(m.name, nil).Set(m.value)
	}
	set.WritePrometheus(w)
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Messages returns the number of frames sent and received.
func (e *Entry) Messages() uint64 {
	return e.stats.FramesOut.Load() + e.stats.FramesIn.Load()
}
