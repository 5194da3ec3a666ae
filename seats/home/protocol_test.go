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

// Bounds of the histories.
const (
	groups = 8 // run beside each other
	// defaultChecks is how many histories a group runs: 10,000 in all.
	defaultChecks = "1250"
	shortestStory = 12
	longestStory  = 60
	// rest is how long a history goes on after its last failure.
	rest = 45 * time.Second
)

// TestMain fixes the seed and the number of histories, unless the command line
// gives others (-rapid.checks, -rapid.seed).
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

var takenOut = flag.String("rule", "", "tell the histories without this rule, to see the smallest that breaks a promise")

// takeOut takes out the rule that the command line names.
func takeOut(cfg world.Config) world.Config {
	for _, r := range rules {
		if r.name == *takenOut {
			return r.without(cfg)
		}
	}
	return cfg
}

// step is one act of a history and how long the world goes on after it.
type step struct {
	Act  world.Act
	Who  int
	Wait int
}

// weights makes submissions and resubmissions the most common acts.
var weights = []world.Act{
	world.Submit, world.Submit, world.Submit, world.Submit, world.Resubmit, world.Resubmit, world.Resubmit,
	world.Resubmit, world.Wait, world.Wait, world.Kill, world.Kill, world.KillTwo, world.Restart, world.Restart,
	world.Pause, world.Pause, world.Resume, world.Resume, world.Cut, world.Mend, world.Mend, world.Isolate,
	world.Split, world.Split, world.CutEntries, world.Outage,
	world.StoreBack, world.StoreBack, world.StoreSlow, world.LoseAnswers, world.Leave, world.Reshard, world.Shorten, world.Shorten,
}

func drawStory(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Act:  rapid.SampledFrom(weights).Draw(t, "act"),
			Who:  rapid.IntRange(0, 999).Draw(t, "who"),
			Wait: rapid.IntRange(0, 1200).Draw(t, "wait"),
		}
	}), shortestStory, longestStory).Draw(t, "story")
}

// drawWindow makes a history of windows: something is cut off or paused, and
// jobs come to all entries while the others are about to take over.
func drawWindow(t *rapid.T) []step {
	var story []step
	who := rapid.IntRange(0, 999)
	for range rapid.IntRange(1, 4).Draw(t, "windows") {
		for range rapid.IntRange(1, 2).Draw(t, "disturbances") {
			story = append(story, step{
				Act:  rapid.SampledFrom(disturbances).Draw(t, "act"),
				Who:  who.Draw(t, "who"),
				Wait: rapid.SampledFrom(delays).Draw(t, "wait"),
			})
		}
		for range rapid.IntRange(2, 12).Draw(t, "calls") {
			story = append(story, step{
				Act:  rapid.SampledFrom([]world.Act{world.Submit, world.Resubmit, world.ResubmitLast}).Draw(t, "call"),
				Who:  who.Draw(t, "who"),
				Wait: rapid.IntRange(0, 120).Draw(t, "wait"),
			})
		}
		story = append(story, step{Act: rapid.SampledFrom(recoveries).Draw(t, "recovery"), Who: who.Draw(t, "who")})
	}
	return story
}

var (
	disturbances = []world.Act{world.IsolateEntry, world.PauseEntry, world.CutEntries, world.Split, world.Kill, world.IsolateEntry}
	// delays lie around the suspicion of a silent seat and the end of a lease.
	delays     = []int{0, 100, 900, 1300, 1500, 1700, 1900, 2100, 2400, 2700, 3200}
	recoveries = []world.Act{world.Mend, world.Resume, world.Restart, world.Wait}
)

// drawHistory draws one of both kinds.
func drawHistory(t *rapid.T) []step {
	if rapid.Bool().Draw(t, "window") {
		return drawWindow(t)
	}
	return drawStory(t)
}

func drawConfig(t *rapid.T, group int) world.Config {
	return world.Config{
		// Groups share the story's seed; the world's differs.
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

// tell runs a history and returns the first broken promise.
func tell(cfg world.Config, story []step) (*world.World, error) {
	w := world.New(cfg)
	w.Run(time.Second)
	for _, s := range story {
		w.Do(s.Act, s.Who)
		w.Run(time.Duration(s.Wait) * time.Millisecond)
		if w.Broken() != nil {
			return w, w.Broken()
		}
	}
	w.Calm()
	w.Run(rest)
	w.CheckEnded()
	return w, w.Broken()
}

func TestNoTaskStartsTwiceAndNotRunIsTrue(t *testing.T) {
	for g := range groups {
		t.Run(fmt.Sprintf("group%d", g), func(t *testing.T) {
			t.Parallel()
			var sum world.Counts
			rapid.Check(t, func(t *rapid.T) {
				w, err := tell(takeOut(drawConfig(t, g)), drawHistory(t))
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
