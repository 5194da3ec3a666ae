package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/peer"
)

// Homes: at which agents a job is claimed, and which of them do not answer.

const (
	// DefaultHomes is how many homes a job has, so that one may restart and forget.
	DefaultHomes = 2
	// DefaultClaimTimeout is after how long without a reply an agent counts as silent, and
	// another one becomes home: a host whose processor time is a quota may stand still for a
	// tenth of a second, and two entries that take different agents for silent may each
	// find homes of their own.
	DefaultClaimTimeout = 120 * time.Millisecond
)

// homeState is what a home said of a claim.
type homeState uint8

const (
	asked     homeState = iota // nothing yet
	granted                    // this entry has the job
	held                       // another entry has it: the home says so when that changes
	outranked                  // another entry has it there, but yields when it hears of this one
)

// home is an agent at which a job is claimed.
type home struct {
	agent        *agent
	rank         claim.Rank
	state        homeState
	askedAt      time.Duration // when the claim has left this host's link, as estimated
	remoteWaiter bool          // another entry waits there for the answer
}

// answers reports whether claims sent to a are answered, as far as is known.
func (a *agent) answers() bool {
	return a.connected && a.level >= peer.LevelClaim && a.silentSince == 0
}

// mayBeHome reports whether jobs may be claimed at a.
func (a *agent) mayBeHome() bool {
	return a.home && a.answers()
}

// homesExist reports whether an agent is connected at which jobs may be claimed, be it silent.
func (o *Owner) homesExist() bool {
	return slices.ContainsFunc(o.byName, func(a *agent) bool { return a.connected && a.level >= peer.LevelClaim })
}

// homesOfNewJob returns how many homes a job gets that comes now: one where this host's link
// is so busy that room is requested sparingly, too. With two, a scene of links of half the need
// earned 0.649 in place of 0.679.
func (o *Owner) newJobHomeCount(now time.Duration) int {
	if o.linkBusy(now) {
		return min(1, o.Homes)
	}
	return o.Homes
}

// completeHomes claims j at further homes until it has as many as it should: the agent of the
// least rank, and that of the least in another data hall.
func (o *Owner) completeHomes(now time.Duration, j *job) {
	for len(j.homes) < j.homeCount {
		a := o.nextHome(j, true)
		if a == nil {
			a = o.nextHome(j, false)
		}
		if a == nil {
			return
		}
		o.addHome(now, j, a)
	}
}

// nextHome returns the agent of the least rank that is not a home of j yet, or nil;
// otherHall asks for one in a data hall where j has none.
func (o *Owner) nextHome(j *job, otherHall bool) *agent {
	var best *agent
	var least claim.Rank
	for _, a := range o.byName {
		if !a.mayBeHome() || j.hasHome(a) || otherHall && j.hasHomeInHall(a.profile.Hall) {
			continue
		}
		if rank := claim.RankOf(j.hash, a.hash); best == nil || rank < least {
			best, least = a, rank
		}
	}
	return best
}

// hasHome reports whether a is a home of j.
func (j *job) hasHome(a *agent) bool {
	return slices.ContainsFunc(j.homes, func(h home) bool { return h.agent == a })
}

// hasHomeInHall reports whether a home of j stands in a data hall.
func (j *job) hasHomeInHall(hall string) bool {
	return slices.ContainsFunc(j.homes, func(h home) bool { return h.agent.profile.Hall == hall })
}

// addHome claims j at a.
func (o *Owner) addHome(now time.Duration, j *job, a *agent) {
	o.link.add(now, frameBytes)
	j.homes = append(j.homes, home{agent: a, rank: claim.RankOf(j.hash, a.hash), askedAt: now + o.link.delay(now, 0)})
	slices.SortFunc(j.homes, func(x, y home) int { return cmp.Compare(x.rank, y.rank) })
	lasts := time.Duration(0)
	if j.callerDeadline > 0 {
		lasts = max(time.Millisecond, j.callerDeadline-now)
	}
	a.out.Claims = append(a.out.Claims, claim.Claim{Job: j.spec.ID, Lasts: lasts, Begun: j.started()})
	o.markDirty(a)
}

// claimAt claims the jobs of this entry at an agent that has just connected, or is not silent
// any more, where it ranks before a home that they have, or they have too few.
func (o *Owner) claimJobsAt(now time.Duration, a *agent) {
	if !a.mayBeHome() {
		return
	}
	for _, j := range o.sortedJobs() {
		rank := claim.RankOf(j.hash, a.hash)
		if j.homeCount > 0 && !j.hasHome(a) && (len(j.homes) < j.homeCount || rank < j.homes[len(j.homes)-1].rank) {
			o.addHome(now, j, a)
		}
	}
}

// loseHome takes a for no home of any job any more, since its connection has ended or it is
// silent; others take its place. An agent that is only slow is told that the jobs which it
// has not granted are not claimed.
func (o *Owner) loseHome(now time.Duration, a *agent) {
	for _, j := range o.sortedJobs() {
		k := slices.IndexFunc(j.homes, func(h home) bool { return h.agent == a })
		if k < 0 || a.connected && j.homes[k].state != asked {
			continue
		}
		j.homes = slices.Delete(j.homes, k, k+1)
		o.sendSettlement(a, claim.Settlement{Job: j.spec.ID, Clear: true}, false)
		if o.cancelIfAbandoned(now, j) {
			continue
		}
		o.completeHomes(now, j)
		o.claimsChanged(now, j)
	}
}

// checkSilentHomes takes the agents for silent that have left a claim unanswered. It judges
// none while this process itself was late.
func (o *Owner) checkSilentHomes(now time.Duration) {
	onTime := now-o.lastTickAt <= 2*TickInterval
	o.lastTickAt = now
	if !onTime {
		o.lastLateTickAt = now
	}
	if now-o.lastLateTickAt < o.ClaimTimeout {
		o.checkIsolation(now)
		return // what has come meanwhile is not read yet
	}
	var silent []*agent
	for _, j := range o.sortedJobs() {
		for _, h := range j.homes {
			if h.state != asked || now-h.askedAt < o.ClaimTimeout || h.agent.silentSince > 0 || h.agent.lastFrameAt > h.askedAt {
				continue
			}
			h.agent.silentSince = now
			o.stats.SilentHomes++
			o.logHomeSilent(now, h.agent)
			silent = append(silent, h.agent)
		}
	}
	o.checkIsolation(now) // before any job gets other homes
	for _, a := range silent {
		o.loseHome(now, a)
	}
}
