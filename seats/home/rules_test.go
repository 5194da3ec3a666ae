package home_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/beaconpoint/beaconpoint/seats/guard"
	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/testutil/world"
)

// mostHistories is how many histories are told at most until a fault is found.
const mostHistories = 20000

// rule is one rule taken out.
type rule struct {
	name  string
	home  home.Rules
	guard guard.Rules
	// from is the history to begin with: the first that noticed. Others
	// follow, all around, if it does not any more.
	from int
}

// rules are those that the histories must notice. That an agent needs the
// confirmation of every seat, and stops at a revision it only heard of, they do
// not: those stand behind the doubts, and are tested in package guard.
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

// without returns the configuration with the rule taken out.
func (r rule) without(cfg world.Config) world.Config {
	cfg.HomeRules, cfg.GuardRules = r.home, r.guard
	return cfg
}

// history is one drawn configuration and story.
type history struct {
	cfg   world.Config
	story []step
}

var histories = rapid.Custom(func(t *rapid.T) history {
	return history{cfg: drawConfig(t, 0), story: drawHistory(t)}
})

// TestEachRuleIsNeeded takes each rule out in turn; the histories must then find
// a promise broken. A rule whose absence no history notices proves nothing.
func TestEachRuleIsNeeded(t *testing.T) {
	for _, c := range rules {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			found := 0
			for n := range mostHistories {
				k := (c.from + n) % mostHistories
				h := histories.Example(k)
				h.cfg = c.without(h.cfg)
				if _, err := tell(h.cfg, h.story); err != nil {
					t.Logf("history %d: %v", k, err)
					found++
					break
				}
			}
			assert.Assert(t, found > 0, "no history notices that the rule is gone")
		})
	}
}
