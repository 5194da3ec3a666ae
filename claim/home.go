package claim

import "hash/fnv"

// Rank orders the agents for the selection of a job's homes; the lowest ranks are selected.
// It depends only on the names of the agent and the job, so that all entries make the same
// selection.
type Rank uint64

// Hash returns the hash of the name of an agent or a job, for RankOf.
func Hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}

// RankOf returns the rank of an agent for a job from the hashes of their names (rendezvous
// hashing): when an agent joins or leaves, only the jobs that have it as a home change
// homes.
func RankOf(job, agent uint64) Rank {
	// The finalizer of splitmix64, to decorrelate the ranks of similar hashes.
	x := job ^ agent
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return Rank(x)
}
