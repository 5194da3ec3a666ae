package home

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/roster"
)

// organisation is an organisation's usage at this entry.
type organisation struct {
	inFlight int // tasks that wait or run
	limiter  *rate.Limiter
}

func (h *Home) organisation(name string) *organisation {
	usage := h.organisations[name]
	if usage == nil {
		usage = &organisation{}
		h.organisations[name] = usage
	}
	return usage
}

// admitQuota checks n further tasks against the organisation's quotas.
func (h *Home) admitQuota(organisation *config.Organisation, n int, drain *drainRate) (refusal, bool) {
	usage := h.organisation(organisation.Name)
	if limit := h.quotaShare(organisation.InFlight); limit > 0 && usage.inFlight+n > limit {
		return refusal{code.QuotaInFlight, "the member's quota of tasks in flight is used up", drain.retryAfter(usage.inFlight + n - limit)}, false
	}
	if wait := usage.reserve(h.now.Wall, h.quotaShare(organisation.Rate), n); wait > 0 {
		return refusal{code.RateLimited, "the member submits more tasks a second than its quota allows", max(wait, minRetryAfter)}, false
	}
	return refusal{}, true
}

// reserve takes n tokens from the organisation's rate limiter, or returns the
// time until they are available. A job of more than perSecond tasks needs
// perSecond tokens.
func (o *organisation) reserve(now time.Time, perSecond, n int) time.Duration {
	if perSecond == 0 {
		o.limiter = nil
		return 0
	}
	if o.limiter == nil || o.limiter.Burst() != perSecond {
		o.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
	r := o.limiter.ReserveN(now, min(n, perSecond))
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}

// quotaShare returns this entry's share of a region's quota. The quota is split
// evenly between the entries that own at least one shard of a service; each gets
// at least one. Zero means no limit.
func (h *Home) quotaShare(quota int) int {
	if quota == 0 {
		return 0
	}
	return max(quota/max(h.owners, 1), 1)
}

// countOwners updates the number of entries that own at least one shard.
func (h *Home) countOwners() {
	seen := make(map[roster.ID]bool)
	for _, s := range h.config.Services {
		for _, id := range h.view.HomesOf(s.Name) {
			seen[id] = true
		}
	}
	h.owners = len(seen)
}
