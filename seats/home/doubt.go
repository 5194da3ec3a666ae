package home

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// doubt is a share of jobs for which no surviving process can tell whether they
// ran.
type doubt struct {
	wire.Doubt
	at     *roster.View
	before []*roster.View
}

// viewOf returns a view that computes the owners of the share's jobs.
func viewOf(s wire.Share) *roster.View {
	return roster.NewView(roster.Roster{Seats: s.Seats, Shards: s.Shards})
}

// shareOf returns the part of a view that determines the owners of jobs.
func shareOf(v *roster.View) wire.Share {
	return wire.Share{Seats: v.Seats, Shards: v.Shards}
}

// covers reports whether the job is in the share: the holder owned it at d.at,
// and did not own it at some view in d.before, if there are any.
func (d doubt) covers(job string) bool {
	if d.at.Home(job) != d.Holder {
		return false
	}
	elsewhere := func(v *roster.View) bool { return v.Home(job) != d.Holder }
	return len(d.before) == 0 || slices.ContainsFunc(d.before, elsewhere)
}

func (t *takeover) addDoubt(d wire.Doubt) {
	same := func(o doubt) bool {
		return o.Expiry == d.Expiry && o.Holder == d.Holder
	}
	if slices.ContainsFunc(t.doubts, same) {
		return
	}
	next := doubt{Doubt: d, at: viewOf(d.At)}
	for _, s := range d.Before {
		next.before = append(next.before, viewOf(s))
	}
	t.doubts = append(t.doubts, next)
}

// inDoubt reports whether the job may have been started with its records lost.
// A job that expires later than every job of a doubt is not covered by it.
func (t *takeover) inDoubt(job string, expiry int64) bool {
	if _, ok := t.doubted[job]; ok {
		return true
	}
	return slices.ContainsFunc(t.doubts, func(d doubt) bool {
		return expiry <= d.Expiry && d.covers(job)
	})
}

// doubtRemaining returns the time until the last doubt expires, within
// minRetryAfter and maxRetryAfter.
func (t *takeover) doubtRemaining(now clock.Moment) time.Duration {
	left := minRetryAfter
	for _, d := range t.doubts {
		left = max(left, time.UnixMilli(d.Expiry).Sub(now.Wall))
	}
	return min(left, maxRetryAfter)
}

// addDoubts records the share of jobs that removed seats may have started at
// agents whose records are lost.
func (h *Home) addDoubts() {
	t := &h.takeover
	for job, expiry := range t.orphans {
		t.doubted[job] = expiry
	}
	expiry := h.now.Wall.Add(h.longestExpiry() + h.cfg.Skew).UnixMilli()
	if len(h.goneSeats()) == 0 && len(h.view.LostSeats) == 0 {
		return
	}
	d := wire.Doubt{Holder: h.cfg.Self, At: shareOf(h.view), Expiry: expiry}
	if t.everSettled {
		for _, v := range t.views {
			d.Before = append(d.Before, shareOf(v))
		}
	}
	t.addDoubt(d)
}
