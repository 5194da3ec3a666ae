package home

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// doubt is a share of jobs of which it can't be known whether they ran.
type doubt struct {
	wire.Doubt
	at     *roster.View
	before []*roster.View
}

// viewOf returns the view that tells the homes of a share.
func viewOf(s wire.Share) *roster.View {
	return roster.NewView(roster.Roster{Seats: s.Seats, Shards: s.Shards})
}

// shareOf returns what the homes of a view depend on.
func shareOf(v *roster.View) wire.Share {
	return wire.Share{Seats: v.Seats, Shards: v.Shards}
}

// covers reports whether the job is in the share: its holder was home to it,
// and was not all along.
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

// inDoubt reports whether the job may have been started where nobody can tell.
// A job whose own expiry is later than any such job could have is not.
func (t *takeover) inDoubt(job string, expiry int64) bool {
	if _, ok := t.doubted[job]; ok {
		return true
	}
	return slices.ContainsFunc(t.doubts, func(d doubt) bool {
		return expiry <= d.Expiry && d.covers(job)
	})
}

// doubtLeft returns how long the longest doubt lasts.
func (t *takeover) doubtLeft(now clock.Moment) time.Duration {
	left := shortestRetry
	for _, d := range t.doubts {
		left = max(left, time.UnixMilli(d.Expiry).Sub(now.Wall))
	}
	return min(left, longestRetry)
}

// raiseDoubts marks the share of jobs that gone seats may have started at an
// agent whose records are gone too.
func (h *Home) raiseDoubts() {
	t := &h.take
	for job, expiry := range t.orphans {
		t.doubted[job] = expiry
	}
	expiry := h.now.Wall.Add(h.longestExpiry() + h.cfg.Skew).UnixMilli()
	if len(h.goneSeats()) == 0 && len(h.view.LostSeats) == 0 {
		return
	}
	d := wire.Doubt{Holder: h.cfg.Self, At: shareOf(h.view), Expiry: expiry}
	if t.ever {
		for _, v := range t.views {
			d.Before = append(d.Before, shareOf(v))
		}
	}
	t.addDoubt(d)
}
