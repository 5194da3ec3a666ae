package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats/agent"
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/store"
)

// Confirmed is the response to a confirmed plan.
type Confirmed struct {
	Change   string `json:"change"`
	Revision uint64 `json:"revision"`
}

// Status is the state of one entry.
type Status struct {
	Seat     string `json:"seat"`
	Seated   bool   `json:"seated"`
	Standing bool   `json:"standing"`
	Settled  bool   `json:"settled"`
	Roster   uint64 `json:"roster_revision"`
	Config   uint64 `json:"config_revision"`
	// AgentConfig is the lowest configuration revision reported by a connected
	// agent.
	AgentConfig uint64   `json:"agent_config_revision"`
	Seats       []string `json:"seats"`
	Agents      []string `json:"agents"`
	Waiting     int      `json:"tasks_waiting"`
	Running     int      `json:"tasks_running"`
	// Open is the number of agents that accept starts from this entry.
	Open  int    `json:"agents_open"`
	Calls uint64 `json:"store_calls"`
	// Frames and Bytes count the traffic with other processes, both sent and
	// received.
	Frames uint64     `json:"frames"`
	Bytes  uint64     `json:"bytes"`
	Counts home.Stats `json:"counts"`
}

// Problem is the response to a failed operator call.
type Problem struct {
	Code    uint16 `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
}

// operatorsHandler returns the handler of the operators' API. Each call requires a
// bearer token.
func (e *Entry) operatorsHandler() http.Handler {
	s := newEcho()
	s.Use(e.authorize)
	s.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	s.GET("/readyz", e.readyz)
	s.GET("/metrics", e.metrics)
	s.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Status()) })
	s.GET("/v1/config", func(c echo.Context) error { return c.JSON(http.StatusOK, e.config.Load().Document) })
	s.POST("/v1/plan", e.plan)
	s.POST("/v1/confirm", e.confirm)
	return s
}

func (e *Entry) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		given, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok {
			return writeProblem(c, code.Error(code.Unauthorized, "a bearer token is wanted"))
		}
		holder, ok := e.tokens.find(given)
		if !ok {
			return writeProblem(c, code.Error(code.Unauthorized, "the bearer token is unknown"))
		}
		if c.Request().Method != http.MethodGet && !holder.Change {
			return writeProblem(c, code.Errorf(code.Forbidden, "%s may only read", holder.Name))
		}
		c.Set("holder", holder.Name)
		return next(c)
	}
}

func writeProblem(c echo.Context, err error) error {
	k := code.Of(err, code.ChangeUnknown)
	return c.JSON(k.Status(), Problem{Code: uint16(k), Name: k.Name(), Message: err.Error()})
}

func (e *Entry) readyz(c echo.Context) error {
	if !e.ready.Load() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// Status returns the present state of the entry.
func (e *Entry) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.home.Roster()
	s := Status{
		Seat:     e.self.String(),
		Seated:   e.home.Seated(),
		Standing: e.home.Standing(e.clock.Now()),
		Settled:  e.home.Settled(),
		Roster:   r.Revision,
		Config:   e.home.Configuration().Revision,
		Calls:    e.store.Calls(),
		Frames:   e.Messages(),
		Bytes:    e.stats.BytesIn.Load() + e.stats.BytesOut.Load(),
		Counts:   e.previousStats.Plus(e.home.Stats()),
	}
	s.Waiting, s.Running = e.home.Waiting()
	s.AgentConfig = e.home.AgentConfig()
	s.Open = e.home.OpenAgents(e.clock.Now())
	for _, seat := range r.Seats {
		s.Seats = append(s.Seats, seat.ID.String())
	}
	for _, a := range r.Agents {
		s.Agents = append(s.Agents, a.String())
	}
	return s
}

func (e *Entry) plan(c echo.Context) error {
	var in config.Intent
	if err := decodeStrict(c, &in); err != nil {
		return writeProblem(c, err)
	}
	base, _, err := e.getConfig(c.Request().Context())
	if err != nil {
		return writeProblem(c, code.Errorf(code.StoreDown, "the configuration can't be read: %v", err))
	}
	p, err := config.NewPlan(base, in, fmt.Sprintf("change-%x", agent.NewIncarnation()))
	if err != nil {
		return writeProblem(c, err)
	}
	return c.JSON(http.StatusOK, p)
}

// confirm applies a plan with one swap in the store. Confirming an applied plan
// again succeeds without a further change.
func (e *Entry) confirm(c echo.Context) error {
	var p config.Plan
	if err := decodeStrict(c, &p); err != nil {
		return writeProblem(c, err)
	}
	d, err := e.applyPlan(c.Request().Context(), p, c.Get("holder").(string))
	if err != nil {
		e.log.Warn("plan not confirmed", "change", p.Change, "error", err)
		return writeProblem(c, err)
	}
	e.log.Info("plan confirmed", "change", p.Change, "revision", d.Revision)
	e.handleEvent(func(now clock.Moment) home.Effects { return e.home.Configure(now, d) })
	for _, l := range d.History {
		if l.Change == p.Change {
			return c.JSON(http.StatusOK, Confirmed{Change: p.Change, Revision: l.Revision})
		}
	}
	return c.JSON(http.StatusOK, Confirmed{Change: p.Change, Revision: d.Revision})
}

func (e *Entry) applyPlan(ctx context.Context, p config.Plan, by string) (config.Document, error) {
	base, key, err := e.getConfig(ctx)
	if err != nil {
		return config.Document{}, code.Errorf(code.StoreDown, "the configuration can't be read, nothing was changed: %v", err)
	}
	if base.HasChange(p.Change) {
		return base, nil
	}
	next, err := p.Apply(base, by, time.Now())
	if err != nil {
		return config.Document{}, err
	}
	_, err = e.store.Swap(ctx, configKey, key, next.Encode())
	if err == nil {
		return next, nil
	}
	return e.readBack(ctx, p, err)
}

// readBack checks whether a swap that returned the error cause took effect.
func (e *Entry) readBack(ctx context.Context, p config.Plan, cause error) (config.Document, error) {
	now, _, err := e.getConfig(ctx)
	switch {
	case err != nil:
		return config.Document{}, code.Errorf(code.ChangeUnknown, "the store's answer was lost (%v) and it can't be read back (%v)", cause, err)
	case now.HasChange(p.Change):
		return now, nil
	case errors.Is(cause, store.ErrConflict):
		_, err := p.Apply(now, "", time.Now())
		if err == nil {
			err = code.Error(code.PlanStale, "another change came first")
		}
		return config.Document{}, err
	}
	return config.Document{}, code.Errorf(code.ChangeUnknown, "the store's answer was lost (%v); the change is not there now but may still take effect", cause)
}

func (e *Entry) getConfig(ctx context.Context) (config.Document, uint64, error) {
	v, err := e.store.Get(ctx, configKey)
	if err != nil || v.Revision == 0 {
		return config.Document{}, 0, err
	}
	d, err := config.Decode(v.Data)
	return d, v.Revision, err
}

func decodeStrict(c echo.Context, v any) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return code.Errorf(code.BadIntent, "the body can't be read: %v", err)
	}
	return nil
}

func (e *Entry) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; charset=utf-8")
	e.writeMetrics(c.Response())
	metrics.WriteProcessMetrics(c.Response())
	return nil
}
