package trials

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats/config"
	standplatform "github.com/beaconpoint/beaconpoint/seats/standin/store"
	"github.com/beaconpoint/beaconpoint/seats/testutil/cluster"
)

// changesPerRun is the number of configuration changes per measurement.
const changesPerRun = 20

// waitRevision waits until all entries and agents run the revision and returns
// the time that took. It fails the test if the revision of an entry decreases.
func waitRevision(t *testing.T, c *cluster.Cluster, revision uint64) time.Duration {
	t.Helper()
	began := time.Now()
	for k := range c.Entries {
		var last uint64
		for {
			s, err := c.Operator(k).Status(context.Background())
			assert.NilError(t, err)
			assert.Assert(t, s.Config >= last, "entry %d: revision decreased from %d to %d", k, last, s.Config)
			last = s.Config
			if s.Config >= revision && s.AgentConfig >= revision {
				break
			}
			assert.Assert(t, time.Since(began) < waitTimeout, "entry %d runs revision %d, its agents %d", k, s.Config, s.AgentConfig)
			time.Sleep(2 * time.Millisecond)
		}
	}
	return time.Since(began)
}

func organisationIntent(inFlight int) config.Intent {
	return config.Intent{Organisations: []config.Organisation{{Name: cluster.Organisation, InFlight: inFlight}}}
}

// Fails when a confirmed configuration does not reach every process, also during
// a store outage, or is lost when all processes restart.
func TestConfirmedConfigurationReachesEveryProcess(t *testing.T) {
	c := cluster.Start(t, threeByThree())
	ctx := context.Background()
	for _, outage := range []bool{false, true} {
		var delays []time.Duration
		for k := range changesPerRun {
			plan, err := c.Operator(k%3).Plan(ctx, organisationIntent(10_000+k))
			assert.NilError(t, err)
			done, err := c.Operator((k+1)%3).Confirm(ctx, plan)
			assert.NilError(t, err)
			c.Store.SetFaults(standplatform.Faults{Outage: outage})
			delays = append(delays, waitRevision(t, c, done.Revision))
			c.Store.SetFaults(standplatform.Faults{})
		}
		slices.Sort(delays)
		t.Logf("%d changes, store outage after each: %v: active in all 6 processes after median %d ms, worst %d ms",
			changesPerRun, outage, delays[changesPerRun/2].Milliseconds(), delays[changesPerRun-1].Milliseconds())
	}
	before, err := c.Operator(0).Config(ctx)
	assert.NilError(t, err)
	for _, p := range append(slices.Clone(c.Entries), c.Agents...) {
		p.Kill()
	}
	for _, p := range append(slices.Clone(c.Agents), c.Entries...) {
		c.Begin(p)
	}
	c.UntilReady()
	waitRevision(t, c, before.Revision)
}

// Fails when two plans that are confirmed concurrently are both applied.
func TestConcurrentConfirmRejectsStalePlan(t *testing.T) {
	c := cluster.Start(t, threeByThree())
	ctx := context.Background()
	first, err := c.Operator(0).Plan(ctx, organisationIntent(100))
	assert.NilError(t, err)
	second, err := c.Operator(1).Plan(ctx, organisationIntent(200))
	assert.NilError(t, err)
	errs := make([]error, 2)
	var both sync.WaitGroup
	for k, p := range []config.Plan{first, second} {
		both.Go(func() { _, errs[k] = c.Operator(k).Confirm(ctx, p) })
	}
	both.Wait()
	loser := errs[0]
	if loser == nil {
		loser = errs[1]
	}
	assert.Assert(t, errs[0] == nil || errs[1] == nil, "%v, %v", errs[0], errs[1])
	assert.Equal(t, code.Of(loser, code.OK), code.PlanStale)
	assert.ErrorContains(t, loser, "by test: ~ member port-gate")
}

// Fails when a plan is applied twice after its first confirmation got no
// response, or when a modified plan is accepted.
func TestRepeatedConfirmAppliesPlanOnce(t *testing.T) {
	c := cluster.Start(t, threeByThree())
	ctx := context.Background()
	plan, err := c.Operator(0).Plan(ctx, organisationIntent(100))
	assert.NilError(t, err)
	c.Store.SetFaults(standplatform.Faults{LoseAnswers: 1})
	once, err := c.Operator(1).Confirm(ctx, plan)
	assert.NilError(t, err, "the swap was applied but got no response")
	twice, err := c.Operator(2).Confirm(ctx, plan)
	assert.NilError(t, err)
	assert.Equal(t, once, twice)

	plan.Base++
	_, err = c.Operator(0).Confirm(ctx, plan)
	assert.Equal(t, code.Of(err, code.OK), code.OK, "a change that was applied is confirmed again without a check of its plan")
	plan.Change = "another"
	_, err = c.Operator(0).Confirm(ctx, plan)
	assert.Equal(t, code.Of(err, code.OK), code.PlanTampered)

	c.Store.SetFaults(standplatform.Faults{Outage: true})
	_, err = c.Operator(0).Confirm(ctx, plan)
	assert.Equal(t, code.Of(err, code.OK), code.StoreDown)
}
