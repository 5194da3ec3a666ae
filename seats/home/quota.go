package home

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/roster"
)

// organisation is this home's part of an organisation's use.
type organisation struct {
	inFlight int // tasks that wait or run
	limit    *rate.Limiter
}

func (h *Home) organisation(name string) *organisation {
	m := h.organisations[name]
	if m == nil {
		m = &organisation{}
		h.organisations[name] = m
	}
	return m
}

// admitQuota checks n more tasks against the organisation's quotas.
func (h *Home) admitQuota(m *config.Organisation, n int, drain *drainRate) (refusal, bool) {
	own := h.organisation(m.Name)
	if part := h.part(m.InFlight); part > 0 && own.inFlight+n > part {
		return refusal{code.QuotaInFlight, "the member's quota of tasks in flight is used up", drain.timeFor(own.inFlight + n - part)}, false
	}
	if wait := own.reserve(h.now.Wall, h.part(m.Rate), n); wait > 0 {
		return refusal{code.RateLimited, "the member submits more tasks a second than its quota allows", max(wait, shortestRetry)}, false
	}
	return refusal{}, true
}

// reserve takes n tasks from the organisation's rate, or returns how long it takes
// until they can be had. A job larger than a second's worth is let through when
// a whole second's worth is there.
func (m *organisation) reserve(now time.Time, perSecond, n int) time.Duration {
	if perSecond == 0 {
		m.limit = nil
		return 0
	}
	if m.limit == nil || m.limit.Burst() != perSecond {
		m.limit = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
	r := m.limit.ReserveN(now, min(n, perSecond))
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}

// part returns this home's part of a region's quota. It is dealt out evenly to
// the entries that are home to any share of any service, so that the parts
// together never exceed it, unless it is smaller than their number.
func (h *Home) part(quota int) int {
	if quota == 0 {
		return 0
	}
	return max(quota/max(h.homes, 1), 1)
}

// countHomes counts the entries that are home to any share, when the roster or
// the configuration has changed.
func (h *Home) countHomes() {
	seen := make(map[roster.ID]bool)
	for _, s := range h.config.Services {
		for _, id := range h.view.HomesOf(s.Name) {
			seen[id] = true
		}
	}
	h.homes = len(seen)
}
