package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/peer"
)

// Homes are the agents at which a job is claimed. Silent ones are replaced.

const (
	// DefaultHomes is the number of homes of a job, so that the claims survive the restart of
	// one home, which forgets them.
	DefaultHomes = 2
	// DefaultClaimTimeout is how long an agent may leave a claim unanswered before it counts as
	// silent and is replaced as home. It exceeds the pauses of a host with a CPU quota, because
	// entries that replace different agents may choose different homes for the same job.
	DefaultClaimTimeout = 120 * time.Millisecond
)

// homeState is the state of a claim at a home.
type homeState uint8

const (
	asked     homeState = iota // no reply yet
	granted                    // this entry holds the job
	held                       // another entry holds it; the home reports when that changes
	outranked                  // another entry holds it, but will release it to this one
)

// home is an agent at which a job is claimed.
type home struct {
	agent        *agent
	rank         claim.Rank
	state        homeState
	askedAt      time.Duration // estimated time at which the claim left this host's link
	remoteWaiter bool          // another entry waits there for the answer
}

// answers reports whether a is expected to answer claims.
func (a *agent) answers() bool {
	return a.connected && a.level >= peer.LevelClaim && a.silentSince == 0
}

// mayBeHome reports whether jobs may be claimed at a.
func (a *agent) mayBeHome() bool {
	return a.eligibleHome && a.answers()
}

// mayClaimAt reports whether j may be claimed at a.
func (j *job) mayClaimAt(a *agent) bool {
	return a.mayBeHome() && !j.hasHome(a) && !a.voidClaims[j.desc.ID]
}

// voidIfAsked records that the claim of j at h is about to be released or repeated, if h has not
// replied to it.
func (j *job) voidIfAsked(h home) {
	if h.state == asked {
		h.agent.voidClaims[j.desc.ID] = true
	}
}

// homesExist reports whether an agent that supports claims is connected, silent or not.
func (o *Owner) homesExist() bool {
	return slices.ContainsFunc(o.byName, func(a *agent) bool { return a.connected && a.level >= peer.LevelClaim })
}

// newJobHomeCount returns the number of homes of a new job. It is at most one while this host's
// link is busy: with two, a scene with links of half the need earned 0.649 instead of 0.679.
func (o *Owner) newJobHomeCount(now time.Duration) int {
	if o.linkBusy(now) {
		return min(1, o.Homes)
	}
	return o.Homes
}

// completeHomes claims j at further agents until it has homeCount homes or no agent is left. Each
// further home is the lowest-ranked agent in a data hall without a home of j, or in any hall if
// there is none.
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

// nextHome returns the agent of the lowest rank that is not yet a home of j, or nil. If
// otherHall is set, it considers only data halls without a home of j.
func (o *Owner) nextHome(j *job, otherHall bool) *agent {
	var best *agent
	var least claim.Rank
	for _, a := range o.byName {
		if !j.mayClaimAt(a) || otherHall && j.hasHomeInHall(a.profile.Hall) {
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

// hasHomeInHall reports whether j has a home in a data hall.
func (j *job) hasHomeInHall(hall string) bool {
	return slices.ContainsFunc(j.homes, func(h home) bool { return h.agent.profile.Hall == hall })
}

// lostFirstHomes reports whether j has lost a home and none of its first homes has granted the
// claim. Another entry may then hold j at homes that this entry does not reach. A job that should
// have a single home is excepted: no choice of the next home would exclude another holder.
func (j *job) lostFirstHomes() bool {
	return j.homeLost && j.homeCount > 1 && !slices.ContainsFunc(j.homes, func(h home) bool {
		return (h.state == granted || h.state == outranked) && slices.Contains(j.firstHomes, h.agent)
	})
}

// addHome claims j at a.
func (o *Owner) addHome(now time.Duration, j *job, a *agent) {
	o.link.add(now, frameBytes)
	if !j.homeLost {
		j.firstHomes = append(j.firstHomes, a)
	}
	j.homes = append(j.homes, home{agent: a, rank: claim.RankOf(j.hash, a.hash), askedAt: now + o.link.delay(now, 0)})
	slices.SortFunc(j.homes, func(x, y home) int { return cmp.Compare(x.rank, y.rank) })
	lifetime := time.Duration(0)
	if j.callerDeadline > 0 {
		lifetime = max(time.Millisecond, j.callerDeadline-now)
	}
	a.out.Claims = append(a.out.Claims, claim.Claim{Job: j.desc.ID, MaxDuration: lifetime, Begun: j.started()})
	o.markDirty(a)
}

// claimJobsAt claims jobs at an agent that has connected or is no longer silent: those with too
// few homes, and those for which it ranks before one of their homes.
func (o *Owner) claimJobsAt(now time.Duration, a *agent) {
	if !a.mayBeHome() {
		return
	}
	for _, j := range o.sortedJobs() {
		o.claimAt(now, j, a)
	}
}

// claimAt claims j at a if j has too few homes, or one that ranks after a.
func (o *Owner) claimAt(now time.Duration, j *job, a *agent) {
	rank := claim.RankOf(j.hash, a.hash)
	if j.homeCount > 0 && j.mayClaimAt(a) && (len(j.homes) < j.homeCount || rank < j.homes[len(j.homes)-1].rank) {
		o.addHome(now, j, a)
	}
}

// loseHome removes a from the homes of jobs and claims the jobs at other agents. If the connection
// to a was lost, it does so for all jobs. If a is silent but connected, it does so only for the
// jobs whose claim a has not answered, and informs a that these claims are void.
func (o *Owner) loseHome(now time.Duration, a *agent) {
	for _, j := range o.sortedJobs() {
		k := slices.IndexFunc(j.homes, func(h home) bool { return h.agent == a })
		if k < 0 || a.connected && j.homes[k].state != asked {
			continue
		}
		j.voidIfAsked(j.homes[k])
		j.homes = slices.Delete(j.homes, k, k+1)
		j.homeLost = true
		o.sendSettlement(a, j.releaseOf(true), false)
		if o.cancelIfAbandoned(now, j) {
			continue
		}
		o.completeHomes(now, j)
		o.claimsChanged(now, j)
	}
}

// checkSilentHomes marks agents as silent if they have left a claim unanswered for ClaimTimeout,
// and claims the jobs elsewhere. After a late tick it marks none for that long, because received
// frames may still be unread. It also records the time of the tick and updates isolation.
func (o *Owner) checkSilentHomes(now time.Duration) {
	onTime := now-o.lastTickAt <= 2*TickInterval
	o.lastTickAt = now
	if !onTime {
		o.lastLateTickAt = now
	}
	if now-o.lastLateTickAt < o.ClaimTimeout {
		o.checkIsolation(now)
		return
	}
	var silent []*agent
	for _, j := range o.sortedJobs() {
		for _, h := range j.homes {
			if h.state != asked || now-h.askedAt < o.ClaimTimeout || h.agent.silentSince > 0 ||
				h.agent.lastFrameAt > h.askedAt {
				continue
			}
			h.agent.silentSince = now
			o.stats.SilentHomes++
			o.logHomeSilent(now, h.agent)
			silent = append(silent, h.agent)
		}
	}
	o.checkIsolation(now) // before loseHome chooses other homes
	for _, a := range silent {
		o.loseHome(now, a)
	}
}
