package home_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/beaconpoint/beaconpoint/seats/guard"
	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/testutil/world"
)

// maxHistories limits the histories run until one detects the fault.
const maxHistories = 20000

// rule is one disabled safety rule.
type rule struct {
	name  string
	home  home.Rules
	guard guard.Rules
	// from is the index of the first history to run, one that is known to
	// detect the fault. The others follow if it does not.
	from int
}

// rules lists the rules whose absence the histories must detect. They do not
// detect guard.Rules.SkipStanding and SkipRevision, since doubts cover these
// cases; package guard tests both.
var rules = []rule{
	{name: "home-standing", home: home.Rules{SkipStanding: true}},
	{name: "home-hand-over", home: home.Rules{SkipHandOver: true}, from: 1367},
	{name: "home-collect", home: home.Rules{SkipCollect: true}},
	{name: "home-lapse", home: home.Rules{SkipLapse: true}},
	{name: "home-doubt", home: home.Rules{SkipDoubt: true}},
	{name: "home-lost-fails", home: home.Rules{SkipLostFail: true}},
	{name: "home-refusal-seq", home: home.Rules{SkipSeq: true}, from: 5933},
	{name: "home-last-word", home: home.Rules{SkipLastWord: true}, from: 1302},
	{name: "home-revision", home: home.Rules{SkipRevision: true}, from: 2258},
	{name: "guard-seat", guard: guard.Rules{SkipSeat: true}, from: 2667},
	{name: "guard-order", guard: guard.Rules{SkipOrder: true}},
	{name: "guard-records", guard: guard.Rules{SkipRecords: true}},
}

// disabledIn returns the configuration with the rule disabled.
func (r rule) disabledIn(cfg world.Config) world.Config {
	cfg.HomeRules, cfg.GuardRules = r.home, r.guard
	return cfg
}

// history is a configuration with the steps of one simulation.
type history struct {
	cfg   world.Config
	steps []step
}

var histories = rapid.Custom(func(t *rapid.T) history {
	return history{cfg: drawConfig(t, 0), steps: drawHistory(t)}
})

// TestHistoriesDetectEachDisabledRule guards against histories that would pass
// although a safety rule is missing.
func TestHistoriesDetectEachDisabledRule(t *testing.T) {
	for _, c := range rules {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			found := 0
			for n := range maxHistories {
				k := (c.from + n) % maxHistories
				h := histories.Example(k)
				h.cfg = c.disabledIn(h.cfg)
				if _, err := runHistory(h.cfg, h.steps); err != nil {
					t.Logf("history %d: %v", k, err)
					found++
					break
				}
			}
			assert.Assert(t, found > 0, "no history detects that the rule is disabled")
		})
	}
}
