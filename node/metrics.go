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

// MetricsPath is where a node's counters are served.
const MetricsPath = "/metrics"

// serveMetrics serves the set at addr until the context ends; an empty address
// serves nothing.
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

// newEntryMetrics returns the metrics of an entry. Counts and gauges are read when they
// are asked for. docs/metrics-node.md says what each means, and which
// are earlier names that are served for one more version.
func newEntryMetrics(e *Entry) *metrics.Set {
	set := metrics.NewSet()
	count := func(name string, read func() uint64) {
		set.NewGauge(name, func() float64 { return float64(read()) })
	}
	count(`beaconpoint_jobs_total{outcome="accepted"}`, func() uint64 { return e.Stats().Submitted })
	count(`beaconpoint_jobs_total{outcome="completed"}`, func() uint64 { return e.Stats().Completed })
	count(`beaconpoint_jobs_total{outcome="failed"}`, func() uint64 { return e.Stats().Failed })
	count(`beaconpoint_jobs_total{outcome="given-up"}`, func() uint64 { return e.Stats().GivenUp })
	count(`beaconpoint_jobs_total{outcome="refused"}`, func() uint64 { return e.Stats().Refused })
	count(`beaconpoint_jobs_total{outcome="cancelled"}`, func() uint64 { return e.Stats().Cancelled })
	count("beaconpoint_starts_total", func() uint64 { return e.Stats().Starts })
	for _, name := range []string{"beaconpoint_starts_rejected_total", "beaconpoint_bounced_total"} {
		count(name, func() uint64 { return e.Stats().Rejected })
	}
	count("beaconpoint_moved_total", func() uint64 { return e.Stats().Moved })
	count("beaconpoint_jobs", func() uint64 { return uint64(e.jobs()) })
	count("beaconpoint_agents", func() uint64 { return uint64(e.linked.Load()) })
	count("beaconpoint_agents_known", func() uint64 { return uint64(e.reachCounts().known) })
	count("beaconpoint_agents_wanted", func() uint64 { return uint64(e.reachCounts().wanted) })
	count("beaconpoint_agents_watched", func() uint64 { return uint64(e.watched()) })
	count("beaconpoint_specs_relayed_total", func() uint64 { return e.Stats().Relayed })
	set.NewGauge("beaconpoint_link_queue_seconds", func() float64 { return e.linkQueue().Seconds() })
	count("beaconpoint_jobs_joined_total", func() uint64 { return e.Stats().Joined })
	count("beaconpoint_jobs_yielded_total", func() uint64 { return e.Stats().Yielded })
	count("beaconpoint_homes_silent_total", func() uint64 { return e.Stats().SilentHomes })
	count("beaconpoint_isolated", e.isolated)
	count("beaconpoint_halls_suspected", e.hallsSuspected)
	count("beaconpoint_halls_suspected_total", func() uint64 { return e.Stats().HallsSuspected })
	count("beaconpoint_config_version", e.version)
	count("beaconpoint_halls_evacuated", func() uint64 { halls, _ := e.evacuations(); return uint64(halls) })
	count("beaconpoint_targets_evacuated", func() uint64 { _, targets := e.evacuations(); return uint64(targets) })
	e.submitted = set.NewHistogram("beaconpoint_answer_seconds")
	e.stages = newStageHistograms(set, stage.EntryStages)
	e.answers = make(map[code.Code]*metrics.Counter)
	for _, c := range answerCauses {
		row, _ := code.Lookup(c) // answerCauses are known
		e.answers[c] = set.NewCounter(fmt.Sprintf("beaconpoint_answers_total{why=%q}", row.Name))
	}
	count(`beaconpoint_answers_total{why="job-hopeless"}`, e.answers[code.JobOutOfTime].Get)
	return set
}

// answerCauses are the codes that an entry answers jobs with.
var answerCauses = []code.Code{
	code.JobAllDone, code.JobAttempts, code.JobOutOfTime, code.JobTooLate, code.JobCallerLeaves, code.JobCancelled,
	code.JobUnsupported, code.JobNoConfig, code.JobBehind, code.JobLinkFull, code.JobEvacuated, code.JobHallLost, code.JobCrashes,
	code.QueueFull,
}

// CountAnswer counts an answer by its cause, also that to a request which is refused
// before it becomes a job.
func (e *Entry) CountAnswer(why code.Code) {
	if c := e.answers[why]; c != nil {
		c.Inc()
	}
}

// newAgentMetrics returns the metrics of an agent.
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
		set.NewGauge(fmt.Sprintf("beaconpoint_claims_total{outcome=%q}", outcome), func() float64 { return float64(read(a.claims())) })
	}
	set.NewGauge("beaconpoint_claim_records", func() float64 { return float64(a.claims().Records) })
	a.startSeconds = set.NewHistogram("beaconpoint_start_call_seconds")
	a.renewSeconds = set.NewHistogram("beaconpoint_renewal_call_seconds")
	a.renewSecondsBefore = set.NewHistogram("beaconpoint_hold_call_seconds")
	a.stages = newStageHistograms(set, stage.AgentStages)
	return set
}

// newStageHistograms returns a histogram for each of the stages.
func newStageHistograms(set *metrics.Set, stages []stage.Stage) map[stage.Stage]*metrics.Histogram {
	all := make(map[stage.Stage]*metrics.Histogram)
	for _, s := range stages {
		all[s] = set.NewHistogram(fmt.Sprintf("beaconpoint_stage_seconds{stage=%q}", s))
	}
	return all
}
