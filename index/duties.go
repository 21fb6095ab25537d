package index

import (
	"cmp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"violetthread/cacheindex"
	"violetthread/internal/rendezvous"
)

type roleLease struct {
	token      uint64
	expiresAt  int64 // held until then
	askedAt    int64
	opInFlight bool
	releasing  bool
}

// DutyAsk is an operation on a duty's lease that must be carried out.
type LeaseOp struct {
	Key     string `json:"Key"`
	Token   uint64 `json:"Epoch"` // of the lease held so far
	Release bool   `json:"Free"`
}

// The keys of duties begin with what is owned.
const (
	engineRolePrefix = "duty/engine/"
	shardRolePrefix  = "duty/shard/"
)

// EngineDuty is the key of an engine's lease.
func EngineRole(n string) string { return engineRolePrefix + n }

// ShardDuty is the key of a shard's lease.
func ShardRole(i int) string { return shardRolePrefix + strconv.Itoa(i) }

func (k *Node) allRoles() []string {
	var ds []string
	for n := range k.listed {
		ds = append(ds, EngineRole(n))
	}
	for i := 0; i < Shards; i++ {
		ds = append(ds, ShardRole(i))
	}
	sort.Strings(ds)
	return ds
}

// rendezvousScore ranks candidates for a role, a zone or a wave.
func rendezvousScore(a, b string) uint64 { return rendezvous.Weight(a, "|", b) }

// Placement says which custodian should hold each duty: whoever holds it keeps it
// while no node has more than its part and it can serve it; the rest goes by
// rendezvous among the nodes that can.
func (k *Node) Placement() map[string]string {
	out := map[string]string{}
	if len(k.peers) == 0 {
		return out
	}
	held := k.currentHolders()
	for _, prefix := range []string{engineRolePrefix, shardRolePrefix} {
		var duties []string
		for _, d := range k.allRoles() {
			if strings.HasPrefix(d, prefix) {
				duties = append(duties, d)
			}
		}
		k.assignRoles(duties, held, out)
	}
	return out
}

// holders is who says to hold each duty.
func (k *Node) currentHolders() map[string]string {
	held := map[string]string{}
	for _, c := range k.peers {
		for _, d := range c.Roles {
			if _, twice := held[d]; !twice {
				held[d] = c.Name
			}
		}
	}
	return held
}

// place assigns the duties of one kind, sorted by key, in out.
func (k *Node) assignRoles(duties []string, held, out map[string]string) {
	most := (len(duties) + len(k.peers) - 1) / len(k.peers)
	load := map[string]int{}
	for _, d := range duties {
		h := held[d]
		if h == "" || load[h] >= most {
			continue
		}
		if contains(k.candidates(d, h), h) {
			out[d] = h
			load[h]++
		}
	}
	for _, d := range duties {
		if out[d] != "" {
			continue
		}
		best := choose(d, held[d], k.candidates(d, held[d]), load, most)
		out[d] = best
		load[best]++
	}
}

// candidates are the nodes that may hold a duty. An engine that its holder can't serve
// goes to a node that shows it can. While there is none, the engine is down rather than
// out of its holder's reach, and nothing is gained by a move.
func (k *Node) candidates(duty, holder string) []Peer {
	able := filter(k.peers, func(c Peer) bool { return c.canServe(duty) })
	if holder == "" && len(able) > 0 || contains(able, holder) {
		return able
	}
	if proven := filter(able, func(c Peer) bool { return c.reachedEngine(duty) }); len(proven) > 0 {
		return proven
	}
	if holder == "" {
		return k.peers
	}
	return filter(k.peers, func(c Peer) bool { return c.Name == holder })
}

// choose picks the candidate with room that ranks first for a duty. Without room
// anywhere its holder keeps it, or else it goes to the one with the least to do.
func choose(duty, holder string, candidates []Peer, load map[string]int, most int) string {
	open := filter(candidates, func(c Peer) bool { return load[c.Name] < most })
	if len(open) > 0 {
		return slices.MaxFunc(open, func(a, b Peer) int {
			return cmp.Compare(rendezvousScore(duty, a.Name), rendezvousScore(duty, b.Name))
		}).Name
	}
	if contains(candidates, holder) {
		return holder
	}
	return slices.MinFunc(candidates, func(a, b Peer) int {
		return cmp.Compare(load[a.Name], load[b.Name])
	}).Name
}

func filter(cs []Peer, keep func(Peer) bool) []Peer {
	var out []Peer
	for _, c := range cs {
		if keep(c) {
			out = append(out, c)
		}
	}
	return out
}

func contains(cs []Peer, name string) bool {
	return slices.ContainsFunc(cs, func(c Peer) bool { return c.Name == name })
}

// Want works out the lease operations that lead from what is held to what
// should be. Each must be answered by Held.
func (k *Node) LeaseOps(now int64) []LeaseOp {
	var as []LeaseOp
	place := k.Placement()
	for n, d := range k.leases {
		if d.opInFlight || place[n] == k.name {
			continue
		}
		// An engine's orders are out at proxies until the lease ends: it is not
		// renewed, and given back then. A shard's owner orders nobody.
		if d.token != 0 && !d.releasing && (now >= d.expiresAt || !strings.HasPrefix(n, engineRolePrefix)) {
			// Stopped here first; only then is the lease given back.
			d.releasing, d.expiresAt = true, 0
			k.forgetRole(n)
			as = append(as, LeaseOp{Key: n, Token: d.token, Release: true})
			d.opInFlight, d.askedAt = true, now
			k.Counters.Released++
		} else if now >= d.expiresAt {
			k.forgetRole(n)
			delete(k.leases, n)
		}
	}
	for _, n := range k.allRoles() {
		if place[n] != k.name {
			continue
		}
		d := k.leases[n]
		if d == nil {
			d = &roleLease{}
			k.leases[n] = d
		}
		if d.opInFlight && now-d.askedAt > 2*LeaseDuration {
			d.opInFlight = false
		}
		if !d.opInFlight && !d.releasing && now >= d.askedAt+LeaseRenewInterval {
			d.opInFlight, d.askedAt = true, now
			as = append(as, LeaseOp{Key: n, Token: d.token})
		}
	}
	sort.Slice(as, func(i, j int) bool { return as[i].Key < as[j].Key })
	return as
}

// Idle reports whether every duty was given back or ran out.
func (k *Node) HoldsNoLeases() bool { return len(k.leases) == 0 }

// Held takes in the answer to a lease operation that was asked at time asked.
func (k *Node) LeaseAnswered(now int64, a LeaseOp, asked int64, ok bool, epoch uint64) {
	d := k.leases[a.Key]
	if d == nil {
		return
	}
	d.opInFlight = false
	if a.Release {
		delete(k.leases, a.Key)
		return
	}
	if !ok {
		if epoch != 0 || now >= d.expiresAt {
			d.token = 0
		}
		return
	}
	if d.token != epoch {
		k.Counters.Takeovers++
		if n, is := strings.CutPrefix(a.Key, engineRolePrefix); is {
			delete(k.engines, n)
		}
	}
	d.token = epoch
	if u := asked + LeaseDuration - LeaseSafetyMargin; u > d.expiresAt {
		d.expiresAt = u
	}
}

// dropped forgets what came with a duty.
func (k *Node) forgetRole(n string) {
	if e, ok := strings.CutPrefix(n, engineRolePrefix); ok {
		delete(k.engines, e)
	}
	if s, ok := strings.CutPrefix(n, shardRolePrefix); ok {
		i, _ := strconv.Atoi(s)
		k.directory.RetainKeys(func(c cacheindex.Key) bool { return c.Shard(Shards) != i })
	}
}

// Holds reports whether a duty is held now, and under which epoch.
func (k *Node) HoldsLease(now int64, n string) (uint64, bool) {
	d := k.leases[n]
	if d == nil || d.token == 0 || d.releasing || now >= d.expiresAt {
		return 0, false
	}
	return d.token, true
}

// Duties lists what is held now.
func (k *Node) HeldRoles(now int64) []string {
	var ds []string
	for n := range k.leases {
		if _, ok := k.HoldsLease(now, n); ok {
			ds = append(ds, n)
		}
	}
	sort.Strings(ds)
	return ds
}
