package index

import (
	"hash/fnv"
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
	Key   string
	Epoch uint64 // of the lease held so far
	Free  bool
}

// EngineDuty and ShardDuty name the leases.
func EngineDuty(n string) string { return "duty/engine/" + n }

// ShardDuty names a shard's lease.
func ShardDuty(i int) string { return "duty/shard/" + strconv.Itoa(i) }

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

// Placement says which custodian should hold each duty: whoever holds it keeps
// it while no node has more than its part; the rest goes by rendezvous.
func (k *Keeper) Placement() map[string]string {
	out := map[string]string{}
	if len(k.peers) == 0 {
		return out
	}
	held := map[string]string{}
	for _, c := range k.peers {
		for _, d := range c.Duties {
			if _, twice := held[d]; !twice {
				held[d] = c.Name
			}
		}
	}
	for _, kind := range []string{"duty/engine/", "duty/shard/"} {
		var ds []string
		for _, d := range k.allDuties() {
			if strings.HasPrefix(d, kind) {
				ds = append(ds, d)
			}
		}
		most := (len(ds) + len(k.peers) - 1) / len(k.peers)
		load := map[string]int{}
		for _, d := range ds {
			if h := held[d]; h != "" && load[h] < most {
				out[d] = h
				load[h]++
			}
		}
		for _, d := range ds {
			if out[d] != "" {
				continue
			}
			var best string
			var bs uint64
			for _, c := range k.peers {
				if s := score(d, c.Name); load[c.Name] < most && (best == "" || s > bs) {
					best, bs = c.Name, s
				}
			}
			out[d] = best
			load[best]++
		}
	}
	return out
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
		if d.epoch != 0 && !d.freeing && (now >= d.until || !strings.HasPrefix(n, "duty/engine/")) {
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
		if n, is := strings.CutPrefix(a.Key, "duty/engine/"); is {
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
	if e, ok := strings.CutPrefix(n, "duty/engine/"); ok {
		delete(k.engines, e)
	}
	if s, ok := strings.CutPrefix(n, "duty/shard/"); ok {
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
