package home_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beaconpoint/beaconpoint/seats/testutil/world"
)

const (
	groups        = 8      // parallel subtests
	defaultChecks = "1250" // histories per group
	minSteps      = 12
	maxSteps      = 60
	// settleTime is how long a history continues after its last failure.
	settleTime = 45 * time.Second
)

// TestMain sets a fixed seed and number of histories, unless the command line
// sets them (-rapid.checks, -rapid.seed).
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": defaultChecks, "rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

var disabledRule = flag.String("rule", "", "run the histories without this rule, to find the smallest that violates a guarantee")

// withDisabledRule disables the rule named on the command line.
func withDisabledRule(cfg world.Config) world.Config {
	for _, r := range rules {
		if r.name == *disabledRule {
			return r.disabledIn(cfg)
		}
	}
	return cfg
}

// step is one act of a history, with the index of the process it affects and the
// simulated time in milliseconds that follows.
type step struct {
	Act  world.Act
	Who  int
	Wait int
}

// weightedActs lists acts in proportion to their frequency.
var weightedActs = []world.Act{
	world.Submit, world.Submit, world.Submit, world.Submit, world.Resubmit, world.Resubmit, world.Resubmit,
	world.Resubmit, world.Wait, world.Wait, world.Kill, world.Kill, world.KillTwo, world.Restart, world.Restart,
	world.Pause, world.Pause, world.Resume, world.Resume, world.Cut, world.Mend, world.Mend, world.Isolate,
	world.Split, world.Split, world.CutEntries, world.Outage,
	world.StoreBack, world.StoreBack, world.StoreSlow, world.LoseAnswers, world.Leave, world.Reshard, world.Shorten, world.Shorten,
}

func drawRandomSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Act:  rapid.SampledFrom(weightedActs).Draw(t, "act"),
			Who:  rapid.IntRange(0, 999).Draw(t, "who"),
			Wait: rapid.IntRange(0, 1200).Draw(t, "wait"),
		}
	}), minSteps, maxSteps).Draw(t, "story")
}

// drawDisruptions draws histories in which processes are isolated or paused, and
// jobs arrive at all entries shortly before a takeover.
func drawDisruptions(t *rapid.T) []step {
	var steps []step
	who := rapid.IntRange(0, 999)
	for range rapid.IntRange(1, 4).Draw(t, "windows") {
		for range rapid.IntRange(1, 2).Draw(t, "disturbances") {
			steps = append(steps, step{
				Act:  rapid.SampledFrom(disruptions).Draw(t, "act"),
				Who:  who.Draw(t, "who"),
				Wait: rapid.SampledFrom(delays).Draw(t, "wait"),
			})
		}
		for range rapid.IntRange(2, 12).Draw(t, "calls") {
			steps = append(steps, step{
				Act:  rapid.SampledFrom([]world.Act{world.Submit, world.Resubmit, world.ResubmitLast}).Draw(t, "call"),
				Who:  who.Draw(t, "who"),
				Wait: rapid.IntRange(0, 120).Draw(t, "wait"),
			})
		}
		steps = append(steps, step{Act: rapid.SampledFrom(recoveries).Draw(t, "recovery"), Who: who.Draw(t, "who")})
	}
	return steps
}

var (
	disruptions = []world.Act{world.IsolateEntry, world.PauseEntry, world.CutEntries, world.Split, world.Kill, world.IsolateEntry}
	// delays cover the suspect timeout and the end of a lease, in milliseconds.
	delays     = []int{0, 100, 900, 1300, 1500, 1700, 1900, 2100, 2400, 2700, 3200}
	recoveries = []world.Act{world.Mend, world.Resume, world.Restart, world.Wait}
)

// drawHistory draws a history of either kind.
func drawHistory(t *rapid.T) []step {
	if rapid.Bool().Draw(t, "window") {
		return drawDisruptions(t)
	}
	return drawRandomSteps(t)
}

func drawConfig(t *rapid.T, group int) world.Config {
	return world.Config{
		// All groups draw the same steps; the simulation's seed differs.
		Entries: rapid.IntRange(1, 4).Draw(t, "entries"),
		Agents:  rapid.IntRange(1, 4).Draw(t, "agents"),
		Shards:  rapid.SampledFrom([]int{1, 4}).Draw(t, "shards"),
		Seed:    rapid.Uint64().Draw(t, "seed")*groups + uint64(group),
		Loss:    rapid.SampledFrom([]float64{0, 0.01, 0.05}).Draw(t, "loss"),
		Double:  rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "double"),
		Late:    rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "late"),
		LateBy:  8 * time.Second,

		RosterLoss: rapid.SampledFrom([]float64{0, 0, 0.8}).Draw(t, "roster loss"),
	}
}

// runHistory simulates a history and returns the first violated guarantee.
func runHistory(cfg world.Config, steps []step) (*world.World, error) {
	w := world.New(cfg)
	w.Run(time.Second)
	for _, s := range steps {
		w.Do(s.Act, s.Who)
		w.Run(time.Duration(s.Wait) * time.Millisecond)
		if w.Broken() != nil {
			return w, w.Broken()
		}
	}
	w.Calm()
	w.Run(settleTime)
	w.CheckEnded()
	return w, w.Broken()
}

func TestNoTaskStartsTwiceAndNotRunIsCorrect(t *testing.T) {
	for g := range groups {
		t.Run(fmt.Sprintf("group%d", g), func(t *testing.T) {
			t.Parallel()
			var sum world.Counts
			rapid.Check(t, func(t *rapid.T) {
				w, err := runHistory(withDisabledRule(drawConfig(t, g)), drawHistory(t))
				if err != nil {
					t.Fatal(err)
				}
				c := w.Counts()
				sum.Starts += c.Starts
				sum.Complete += c.Complete
				sum.Failed += c.Failed
				sum.Refused += c.Refused
				sum.NotRun += c.NotRun
				sum.Takeovers += c.Takeovers
			})
			t.Logf("%+v", sum)
		})
	}
}
