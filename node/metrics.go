package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/stage"
)

// MetricsPath is the HTTP path of a node's metrics.
const MetricsPath = "/metrics"

// serveMetrics serves the set at addr until ctx is done. If addr is empty, it only waits for
// ctx.
func serveMetrics(ctx context.Context, addr string, set *metrics.Set) error {
	if addr == "" {
		<-ctx.Done()
		return nil
	}
	e := echo.New()
	e.GET(MetricsPath, func(c echo.Context) error {
		c.Response().Header().Set("Content-Type", "text/plain")
		set.WritePrometheus(c.Response())
		return nil
	})
	s := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// newEntryMetrics returns the metrics of an entry. Values that are kept elsewhere, counters among
// them, are read when the set is scraped. docs/metrics-node.md describes each metric and lists the
// deprecated names, which are served for one more version.
func newEntryMetrics(e *Entry) *metrics.Set {
	set := metrics.NewSet()
	register := func(name string, read func() uint64) {
		set.NewGauge(name, func() float64 { return float64(read()) })
	}
	register(`beaconpoint_jobs_total{outcome="accepted"}`, func() uint64 { return e.Stats().Accepted })
	register(`beaconpoint_jobs_total{outcome="completed"}`, func() uint64 { return e.Stats().Completed })
	register(`beaconpoint_jobs_total{outcome="failed"}`, func() uint64 { return e.Stats().Failed })
	register(`beaconpoint_jobs_total{outcome="given-up"}`, func() uint64 { return e.Stats().GivenUp })
	register(`beaconpoint_jobs_total{outcome="refused"}`, func() uint64 { return e.Stats().Refused })
	register(`beaconpoint_jobs_total{outcome="cancelled"}`, func() uint64 { return e.Stats().Cancelled })
	register("beaconpoint_starts_total", func() uint64 { return e.Stats().Starts })
	for _, name := range []string{"beaconpoint_starts_rejected_total", "beaconpoint_bounced_total"} {
		register(name, func() uint64 { return e.Stats().Rejected })
	}
	register("beaconpoint_moved_total", func() uint64 { return e.Stats().Moved })
	register("beaconpoint_jobs", func() uint64 { return uint64(e.jobs()) })
	register("beaconpoint_agents", func() uint64 { return uint64(e.connectedAgents.Load()) })
	register("beaconpoint_agents_known", func() uint64 { return uint64(e.countAgents().known) })
	// Surplus links are included until they are closed.
	register("beaconpoint_agents_wanted", func() uint64 { return uint64(e.countAgents().links) })
	register("beaconpoint_agents_watched", func() uint64 { return uint64(e.watched()) })
	register("beaconpoint_specs_relayed_total", func() uint64 { return e.Stats().Relayed })
	set.NewGauge("beaconpoint_link_queue_seconds", func() float64 { return e.linkQueueTime().Seconds() })
	register("beaconpoint_jobs_joined_total", func() uint64 { return e.Stats().Joined })
	register("beaconpoint_jobs_yielded_total", func() uint64 { return e.Stats().Yielded })
	register("beaconpoint_homes_silent_total", func() uint64 { return e.Stats().SilentHomes })
	register("beaconpoint_isolated", e.isolated)
	register("beaconpoint_halls_suspected", e.hallsSuspected)
	register("beaconpoint_halls_suspected_total", func() uint64 { return e.Stats().HallsSuspected })
	register("beaconpoint_config_version", e.version)
	register("beaconpoint_halls_evacuated", func() uint64 { halls, _ := e.evacuations(); return uint64(halls) })
	register("beaconpoint_targets_evacuated", func() uint64 { _, targets := e.evacuations(); return uint64(targets) })
	e.submitted = set.NewHistogram("beaconpoint_answer_seconds")
	e.stages = newStageHistograms(set, stage.EntryStages)
	e.answers = make(map[code.Code]*metrics.Counter)
	for _, c := range answerCodes {
		row, _ := code.Lookup(c) // each of answerCodes is in the table
		e.answers[c] = set.NewCounter(fmt.Sprintf("beaconpoint_answers_total{why=%q}", row.Name))
	}
	register(`beaconpoint_answers_total{why="job-hopeless"}`, e.answers[code.JobOutOfTime].Get)
	return set
}

// answerCodes are the result codes with which an entry answers requests for jobs.
var answerCodes = []code.Code{
	code.JobAllDone, code.JobAttempts, code.JobOutOfTime, code.JobTooLate, code.JobCallerTimeout, code.JobCancelled,
	code.JobUnsupported, code.JobNoConfig, code.JobBacklogTooLong, code.JobLinkFull, code.JobEvacuated,
	code.JobHallLost, code.JobCrashes, code.QueueFull,
}

// CountAnswer counts an answer by its result code, including answers to requests that were refused
// before they became jobs. Codes that are not in answerCodes are not counted.
func (e *Entry) CountAnswer(result code.Code) {
	if c := e.answers[result]; c != nil {
		c.Inc()
	}
}

func newAgentMetrics(a *Agent) *metrics.Set {
	set := metrics.NewSet()
	set.NewGauge("beaconpoint_entries", func() float64 { return float64(a.connected()) })
	set.NewGauge("beaconpoint_runs", func() float64 { return float64(a.stats().Runs) })
	set.NewGauge("beaconpoint_room_cpu", func() float64 { return float64(a.stats().FreeCPU) })
	for _, name := range []string{"beaconpoint_target_ejected", "beaconpoint_worker_sick"} {
		set.NewGauge(name, func() float64 { return float64(a.stats().Ejected) })
	}
	set.NewGauge("beaconpoint_target_evacuated", func() float64 { return float64(a.stats().Evacuated) })
	for _, name := range []string{"beaconpoint_target_speed", "beaconpoint_worker_speed"} {
		set.NewGauge(name, func() float64 { return a.stats().Speed })
	}
	for outcome, read := range map[string]func(claim.Stats) uint64{
		"granted":    func(s claim.Stats) uint64 { return s.Claims },
		"joined":     func(s claim.Stats) uint64 { return s.Joined },
		"taken-over": func(s claim.Stats) uint64 { return s.TakenOver },
		"forgotten":  func(s claim.Stats) uint64 { return s.Forgotten },
	} {
		set.NewGauge(fmt.Sprintf("beaconpoint_claims_total{outcome=%q}", outcome),
			func() float64 { return float64(read(a.claims())) })
	}
	set.NewGauge("beaconpoint_claim_records", func() float64 { return float64(a.claims().Records) })
	a.startSeconds = set.NewHistogram("beaconpoint_start_call_seconds")
	a.renewSeconds = set.NewHistogram("beaconpoint_renewal_call_seconds")
	a.renewSecondsDeprecated = set.NewHistogram("beaconpoint_hold_call_seconds")
	a.stages = newStageHistograms(set, stage.AgentStages)
	return set
}

// newStageHistograms registers one histogram per stage.
func newStageHistograms(set *metrics.Set, stages []stage.Stage) map[stage.Stage]*metrics.Histogram {
	histograms := make(map[stage.Stage]*metrics.Histogram)
	for _, s := range stages {
		histograms[s] = set.NewHistogram(fmt.Sprintf("beaconpoint_stage_seconds{stage=%q}", s))
	}
	return histograms
}
