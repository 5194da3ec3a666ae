package claim

import "hash/fnv"

// Rank orders the agents for a selection under a key (rendezvous hashing), such as that of
// the homes of a job; the lowest ranks are selected. It depends only on the agent's name and
// the key, so that all entries make the same selection under the same key.
type Rank uint64

// Hash returns the hash of the name of an agent, a job or an entry, for RankOf.
func Hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}

// RankOf returns the rank, under a key, of the agent whose name has the given hash. When an
// agent joins or leaves, only the selections that contain it change.
func RankOf(key, agent uint64) Rank {
	// The finalizer of splitmix64, to decorrelate the ranks of similar hashes.
	x := key ^ agent
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return Rank(x)
}
