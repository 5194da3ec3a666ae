package home

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/roster"
)

// Guards against a doubt that ends before jobs accepted under a longer expiry
// limit have expired.
func TestShorterExpiryKeepsPreviousLongestExpiry(t *testing.T) {
	now := clock.Moment{Mono: time.Second, Wall: time.Unix(1_700_000_000, 0)}
	h := NewHome(DefaultConfig(roster.NewID("entry", 1), "here"))
	with := func(revision uint64, longest time.Duration) {
		h.Configure(now, config.Document{Revision: revision, Services: []config.Service{
			{Name: "s", Bounds: config.Bounds{LongestExpiryMS: longest.Milliseconds()}},
		}})
	}
	with(1, 5*time.Minute)
	with(2, 2*time.Minute)
	assert.Equal(t, h.longestExpiry(), 5*time.Minute)
	now = now.Plus(4 * time.Minute)
	with(3, 10*time.Second)
	assert.Equal(t, h.longestExpiry(), 5*time.Minute)
	now = now.Plus(6 * time.Minute)
	h.Tick(now)
	assert.Equal(t, h.longestExpiry(), config.DefaultLongestExpiry)
}
