package roster

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// View is a roster with its hashing worked out, for lookups on the path of a
// request.
type View struct {
	Roster
	ring   *rendezvous.Rendezvous
	ids    map[string]ID
	shards uint64
	shard  map[string]uint64 // of each agent, by its name
}

// NewView returns the view of r.
func NewView(r Roster) *View {
	v := &View{Roster: r, ids: make(map[string]ID, len(r.Seats)), shards: uint64(max(r.Shards, 1))}
	names := make([]string, 0, len(r.Seats))
	for _, s := range r.Seats {
		if s.Leaving {
			continue
		}
		names = append(names, s.ID.String())
		v.ids[s.ID.String()] = s.ID
	}
	slices.Sort(names)
	if len(names) > 0 {
		v.ring = rendezvous.New(names, xxhash.Sum64String)
	}
	v.shareOut()
	return v
}

// shareOut deals the agents out to the shards in turn.
func (v *View) shareOut() {
	names := make([]string, 0, len(v.Agents))
	for _, a := range v.Agents {
		names = append(names, a.Name)
	}
	slices.Sort(names)
	v.shard = make(map[string]uint64, len(names))
	for k, name := range names {
		v.shard[name] = uint64(k) % v.shards
	}
}

// Home returns the seat that owns the job with the given key, "service/id", or
// the zero ID when nobody is seated. All jobs of one shard of a service have
// one home, which so keeps their order; it is found by rendezvous, so that a
// change of one seat moves only the shards of that seat.
func (v *View) Home(key string) ID {
	service := key[:max(strings.LastIndexByte(key, '/'), 0)]
	return v.homeOf(service, xxhash.Sum64String(key)%v.shards)
}

// Owner returns the seat that deals out the agent's slots: the home of the
// shard that the agent is shared out to.
func (v *View) Owner(service, agent string) ID {
	return v.homeOf(service, v.shard[agent])
}

// HomesOf returns the seats that are home to the service's shares, one for each
// share.
func (v *View) HomesOf(service string) []ID {
	if v.ring == nil {
		return nil
	}
	homes := make([]ID, v.shards)
	for shard := range homes {
		homes[shard] = v.homeOf(service, uint64(shard))
	}
	return homes
}

func (v *View) homeOf(service string, shard uint64) ID {
	if v.ring == nil {
		return ID{}
	}
	return v.ids[v.ring.Lookup(service+"/"+strconv.FormatUint(shard, 10))]
}
