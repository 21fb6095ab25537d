package index

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"strings"

	"violetthread/hint"
)

type duty struct {
	epoch   uint64
	until   int64 // held until then
	askedAt int64
	asking  bool
	freeing bool
}

// DutyAsk is an operation on a duty's lease that must be carried out.
type DutyAsk struct {
	Key   string `json:"Key"`
	Epoch uint64 `json:"Epoch"` // of the lease held so far
	Free  bool   `json:"Free"`
}

// The keys of duties begin with what is owned.
const (
	engineDutyPrefix = "duty/engine/"
	shardDutyPrefix  = "duty/shard/"
)

// EngineDuty is the key of an engine's lease.
func EngineDuty(n string) string { return engineDutyPrefix + n }

// ShardDuty is the key of a shard's lease.
func ShardDuty(i int) string { return shardDutyPrefix + strconv.Itoa(i) }

func (k *Keeper) allDuties() []string {
	var ds []string
	for n := range k.listing {
		ds = append(ds, EngineDuty(n))
	}
	for i := 0; i < Shards; i++ {
		ds = append(ds, ShardDuty(i))
	}
	sort.Strings(ds)
	return ds
}

func score(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a + "|" + b))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>29
}

// Placement says which custodian should hold each duty: whoever holds it keeps it
// while no node has more than its part and it can serve it; the rest goes by
// rendezvous among the nodes that can.
func (k *Keeper) Placement() map[string]string {
	out := map[string]string{}
	if len(k.peers) == 0 {
		return out
	}
	held := k.holders()
	for _, prefix := range []string{engineDutyPrefix, shardDutyPrefix} {
		var duties []string
		for _, d := range k.allDuties() {
			if strings.HasPrefix(d, prefix) {
				duties = append(duties, d)
			}
		}
		k.place(duties, held, out)
	}
	return out
}

// holders is who says to hold each duty.
func (k *Keeper) holders() map[string]string {
	held := map[string]string{}
	for _, c := range k.peers {
		for _, d := range c.Duties {
			if _, twice := held[d]; !twice {
				held[d] = c.Name
			}
		}
	}
	return held
}

// place assigns the duties of one kind, sorted by key, in out.
func (k *Keeper) place(duties []string, held, out map[string]string) {
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
func (k *Keeper) candidates(duty, holder string) []Custodian {
	able := filter(k.peers, func(c Custodian) bool { return c.able(duty) })
	if holder == "" && len(able) > 0 || contains(able, holder) {
		return able
	}
	if proven := filter(able, func(c Custodian) bool { return c.proven(duty) }); len(proven) > 0 {
		return proven
	}
	if holder == "" {
		return k.peers
	}
	return filter(k.peers, func(c Custodian) bool { return c.Name == holder })
}

// choose picks the candidate with room that ranks first for a duty. Without room
// anywhere its holder keeps it, or else it goes to the one with the least to do.
func choose(duty, holder string, candidates []Custodian, load map[string]int, most int) string {
	open := filter(candidates, func(c Custodian) bool { return load[c.Name] < most })
	if len(open) > 0 {
		return slices.MaxFunc(open, func(a, b Custodian) int {
			return cmp.Compare(score(duty, a.Name), score(duty, b.Name))
		}).Name
	}
	if contains(candidates, holder) {
		return holder
	}
	return slices.MinFunc(candidates, func(a, b Custodian) int {
		return cmp.Compare(load[a.Name], load[b.Name])
	}).Name
}

func filter(cs []Custodian, keep func(Custodian) bool) []Custodian {
	var out []Custodian
	for _, c := range cs {
		if keep(c) {
			out = append(out, c)
		}
	}
	return out
}

func contains(cs []Custodian, name string) bool {
	return slices.ContainsFunc(cs, func(c Custodian) bool { return c.Name == name })
}

// Want works out the lease operations that lead from what is held to what
// should be. Each must be answered by Held.
func (k *Keeper) Want(now int64) []DutyAsk {
	var as []DutyAsk
	place := k.Placement()
	for n, d := range k.duties {
		if d.asking || place[n] == k.name {
			continue
		}
		// An engine's orders are out at proxies until the lease ends: it is not
		// renewed, and given back then. A shard's owner orders nobody.
		if d.epoch != 0 && !d.freeing && (now >= d.until || !strings.HasPrefix(n, engineDutyPrefix)) {
			// Stopped here first; only then is the lease given back.
			d.freeing, d.until = true, 0
			k.dropped(n)
			as = append(as, DutyAsk{Key: n, Epoch: d.epoch, Free: true})
			d.asking, d.askedAt = true, now
			k.Counts.Freed++
		} else if now >= d.until {
			k.dropped(n)
			delete(k.duties, n)
		}
	}
	for _, n := range k.allDuties() {
		if place[n] != k.name {
			continue
		}
		d := k.duties[n]
		if d == nil {
			d = &duty{}
			k.duties[n] = d
		}
		if d.asking && now-d.askedAt > 2*DutyTerm {
			d.asking = false
		}
		if !d.asking && !d.freeing && now >= d.askedAt+DutyRenew {
			d.asking, d.askedAt = true, now
			as = append(as, DutyAsk{Key: n, Epoch: d.epoch})
		}
	}
	sort.Slice(as, func(i, j int) bool { return as[i].Key < as[j].Key })
	return as
}

// Idle reports whether every duty was given back or ran out.
func (k *Keeper) Idle() bool { return len(k.duties) == 0 }

// Held takes in the answer to a lease operation that was asked at time asked.
func (k *Keeper) Held(now int64, a DutyAsk, asked int64, ok bool, epoch uint64) {
	d := k.duties[a.Key]
	if d == nil {
		return
	}
	d.asking = false
	if a.Free {
		delete(k.duties, a.Key)
		return
	}
	if !ok {
		if epoch != 0 || now >= d.until {
			d.epoch = 0
		}
		return
	}
	if d.epoch != epoch {
		k.Counts.Takeovers++
		if n, is := strings.CutPrefix(a.Key, engineDutyPrefix); is {
			delete(k.engines, n)
		}
	}
	d.epoch = epoch
	if u := asked + DutyTerm - DutySlack; u > d.until {
		d.until = u
	}
}

// dropped forgets what came with a duty.
func (k *Keeper) dropped(n string) {
	if e, ok := strings.CutPrefix(n, engineDutyPrefix); ok {
		delete(k.engines, e)
	}
	if s, ok := strings.CutPrefix(n, shardDutyPrefix); ok {
		i, _ := strconv.Atoi(s)
		k.dir.ForgetKeys(func(c hint.Key) bool { return c.Shard(Shards) != i })
	}
}

// Holds reports whether a duty is held now, and under which epoch.
func (k *Keeper) Holds(now int64, n string) (uint64, bool) {
	d := k.duties[n]
	if d == nil || d.epoch == 0 || d.freeing || now >= d.until {
		return 0, false
	}
	return d.epoch, true
}

// Duties lists what is held now.
func (k *Keeper) Duties(now int64) []string {
	var ds []string
	for n := range k.duties {
		if _, ok := k.Holds(now, n); ok {
			ds = append(ds, n)
		}
	}
	sort.Strings(ds)
	return ds
}
