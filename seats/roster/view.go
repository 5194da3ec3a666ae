package roster

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// View is a roster with precomputed lookup tables, for use in request handling.
type View struct {
	Roster
	hash    *rendezvous.Rendezvous
	seatIDs map[string]ID
	shards  uint64
	shardOf map[string]uint64 // shard of each agent, by name
}

// NewView returns the view of r.
func NewView(r Roster) *View {
	v := &View{Roster: r, seatIDs: make(map[string]ID, len(r.Seats)), shards: uint64(max(r.Shards, 1))}
	names := make([]string, 0, len(r.Seats))
	for _, s := range r.Seats {
		if s.Leaving {
			continue
		}
		names = append(names, s.ID.String())
		v.seatIDs[s.ID.String()] = s.ID
	}
	slices.Sort(names)
	if len(names) > 0 {
		v.hash = rendezvous.New(names, xxhash.Sum64String)
	}
	v.assignShards()
	return v
}

// assignShards assigns the agents, sorted by name, to the shards in turn.
func (v *View) assignShards() {
	names := make([]string, 0, len(v.Agents))
	for _, a := range v.Agents {
		names = append(names, a.Name)
	}
	slices.Sort(names)
	v.shardOf = make(map[string]uint64, len(names))
	for k, name := range names {
		v.shardOf[name] = uint64(k) % v.shards
	}
}

// Home returns the seat that owns the job with the given key, "service/id", or
// the zero ID if no seat can own jobs. A shard of a service is owned by one seat,
// which keeps the order of its jobs. Rendezvous hashing selects it, so that
// adding or removing a seat moves only the shards of that seat.
func (v *View) Home(key string) ID {
	service := key[:max(strings.LastIndexByte(key, '/'), 0)]
	return v.ownerOfShard(service, xxhash.Sum64String(key)%v.shards)
}

// Owner returns the seat that owns the shard to which the agent is assigned.
func (v *View) Owner(service, agent string) ID {
	return v.ownerOfShard(service, v.shardOf[agent])
}

// HomesOf returns the owner of each shard of the service.
func (v *View) HomesOf(service string) []ID {
	if v.hash == nil {
		return nil
	}
	homes := make([]ID, v.shards)
	for shard := range homes {
		homes[shard] = v.ownerOfShard(service, uint64(shard))
	}
	return homes
}

func (v *View) ownerOfShard(service string, shard uint64) ID {
	if v.hash == nil {
		return ID{}
	}
	return v.seatIDs[v.hash.Lookup(service+"/"+strconv.FormatUint(shard, 10))]
}
