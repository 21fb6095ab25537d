package main

import (
	"maps"
	"slices"
)

// coreCutS is the length of a network cut of a control machine that users have observed, in
// seconds.
const coreCutS = 20

// fillCuts repeatedly cuts a control machine off the network for coreCutS seconds, while
// configuration, keys and weights change.
func fillCuts(d *draft) {
	d.storm(0.3, 1)
	d.spread("revoke", 5, 4, 9)
	d.spread("version_bump", d.between(4, 10), 12, 20)
	for at := d.between(4, 9); at < d.LengthS-quietTailS; at += coreCutS + d.between(5, 9) {
		e := drawCoreCut(d)
		e.Kind, e.At, e.ForS = "core_cut", roundToHundredth(at), coreCutS
		d.put(e)
	}
	d.longNodeCut()
	for range d.upTo(3) {
		d.add(d.pickKind("node_cut", "reset_conns", "hup", "bad_config", "config_race"), d.faultTime())
	}
	d.close()
}

// longNodeCut cuts some of the machines that carry the traffic off from the core, for longer than
// a revoked key may still be accepted.
func (d *draft) longNodeCut() {
	forS := d.between(9, 18)
	d.put(entry{Kind: "node_cut", At: d.between(4, d.LengthS-quietTailS-forS), Share: d.between(0.1, 0.3), ForS: forS})
}

// fillRaces adds concurrent changes by operators, with many acknowledgements lost and machines
// killed right after they acknowledge.
func fillRaces(d *draft) {
	d.loseAcknowledgements()
	for range 2 {
		d.put(entry{Kind: "config_race", At: d.between(3, 6), Count: 30, GapS: d.between(0.4, 1.2)})
	}
	if d.chance(0.6) {
		d.storm(0.1, 0.5)
	}
	d.spread("after_ack_kill", d.between(5, 8), 6, 10)
	for range d.upTo(3) {
		d.add(d.pickKind("core_cut", "node_freeze", "herd_kill", "bad_config", "reset_conns", "big_config"), d.faultTime())
	}
	d.close()
}

// fillReplacements replaces core machines or wipes their disks, each one right after the one before
// has recovered.
func fillReplacements(d *draft) {
	d.storm(0.2, 0.6)
	for at := d.between(4, 8); at < d.LengthS-quietTailS; at += d.between(4, 9) {
		d.add(d.pickKind("replace_core", "replace_core", "replace_core", "after_ack_wipe", "herd_kill"), roundToHundredth(at))
	}
	if d.chance(0.5) {
		d.slowerDisks(10, 50)
	}
	for range d.upTo(2) {
		d.add(d.pickKind("seed_turnover", "version_bump", "config_race", "big_config", "roll_term"), d.faultTime())
	}
	d.close("wipe_after_ack", "wipe_after_ack", "power_off_all")
}

// fillHundreds adds two hundred changes or more, while some core machines are down and miss a part
// of them.
func fillHundreds(d *draft) {
	d.storm(0.15, 0.28)
	if d.chance(0.7) {
		d.add("big_config", d.between(5, 20))
	}
	for at := d.between(5, 10); at < d.LengthS-quietTailS; at += d.between(6, 12) {
		d.add(d.pickKind("node_kill", "after_ack_wipe", "replace_core", "node_freeze", "herd_kill", "core_cut"), roundToHundredth(at))
	}
	d.add(d.pickKind("seed_turnover", "hup", "revoke", "config_race"), d.faultTime())
	d.close()
}

// fillAnswers adds extra, late, truncated and lost responses of engines, and connection resets.
func fillAnswers(d *draft) {
	if d.chance(0.6) {
		d.onceOnly()
	}
	d.spread("config_change", 3, 6, 12)
	// One after the other, so that only one of them affects an engine at a time.
	for at := d.between(3, 6); at < d.LengthS-quietTailS; at += d.between(7, 9) {
		d.add(d.pick("garble", "garble", "answer_lost"), roundToHundredth(at))
	}
	for range 4 + d.upTo(4) {
		d.add(d.pickKind("srv_grey", "srv_grey", "reset_conns", "replace_with_reuse", "release", "roll_term",
			"srv_crash", "retry_abuse", "idle_race", "node_kill", "scale_in", "burst"), d.faultTime())
	}
	if d.chance(0.5) {
		d.close("kill_all", "power_off_all")
	}
}

// fillDisks adds full, stalled and slow disks of core machines, and clock steps.
func fillDisks(d *draft) {
	d.storm(0.08, 0.4)
	for at := d.between(4, 8); at < d.LengthS-quietTailS; at += d.between(4, 9) {
		d.add(d.pickKind("disk_full", "disk_full", "disk_stall", "disk_slow", "clock_step", "after_ack_kill"), roundToHundredth(at))
	}
	d.add(d.pickKind("big_config", "revoke", "version_bump"), d.faultTime())
	d.close()
}

// fillPower makes the whole core lose power, or kills it, during frequent changes.
func fillPower(d *draft) {
	d.storm(0.02, 0.06)
	for at := d.between(4, 6); at < d.LengthS-quietTailS; at += d.between(12, 14) {
		d.put(entry{Kind: "herd_kill", At: roundToHundredth(at), On: core, ForS: d.between(0.5, 1.2),
			How: joinVariants(d.pick("power", "power", "power", ""), d.returnVariant())})
	}
	if d.chance(0.7) {
		d.slowerDisks(10, 50)
	}
	d.close("power_off_all", "power_off_all", "wipe_after_ack")
}

// fillClosings makes a short day whose closing fault is timed to an acknowledgement, while
// slow disks may still be syncing the acknowledged write.
func fillClosings(d *draft) {
	d.storm(0.02, 0.2)
	d.slowerDisks(10, 60)
	if d.chance(0.5) {
		d.add("version_bump", d.between(2, 2.5))
	}
	d.Closing = &closing{Kind: "wipe_after_ack", DownS: d.between(0.5, 1.6), How: "aimed"}
	if d.chance(0.4) {
		d.Closing.Kind, d.Closing.How = "power_off_all", ""
	}
}

// fillFreezes freezes, slows or cuts off machines, which return after all their leases have
// expired, while configuration, keys and weights change.
func fillFreezes(d *draft) {
	d.operatorChanges()
	if d.chance(0.5) {
		d.storm(0.2, 0.6)
	}
	for at := d.between(4, 8); at < d.LengthS-quietTailS; at += d.between(5, 9) {
		e := drawNodeFreeze(d)
		e.Kind, e.At = "node_freeze", roundToHundredth(at)
		if d.chance(0.5) {
			e.On, e.Count, e.Share, e.How = core, 1, 0, joinVariants("leader", d.returnVariant())
		}
		d.put(e)
	}
	d.longNodeCut()
	for range 2 + d.upTo(3) {
		d.add(d.pickKind("node_cut", "reset_conns", "node_slow", "hup", "clock_step", "core_cut"), d.faultTime())
	}
	d.close()
}

// fillMix adds any kinds at any times, possibly more than once.
func fillMix(d *draft) {
	if d.chance(0.3) {
		d.onceOnly()
	}
	all := slices.Sorted(maps.Keys(kinds))
	for range 10 + d.upTo(10) {
		d.add(d.pickKind(all...), d.faultTime())
	}
	if d.chance(0.8) {
		d.close()
	}
}

// rolloutFloor is the floor of days that overload the pool: only the rules matter on them.
const rolloutFloor = 0.01

// fillRollouts announces new weights one after the other in a pool that is short of capacity, while
// engines slow down or restart with their old weights, and proxies and control nodes restart. A
// request in an engine's queue must not begin on old weights after the bound on their use has
// passed.
func fillRollouts(d *draft) {
	d.Goal, d.FloorClasses, d.FloorZones = goal{rolloutFloor}, nil, nil
	d.spread("version_bump", d.between(2, 4), 5, 12)
	d.limitCapacity()
	for at := d.between(3, 6); at < d.LengthS-quietTailS; at += d.between(2.5, 4.5) {
		d.put(entry{Kind: "srv_crash", At: roundToHundredth(at), Service: d.engines(), Share: d.between(0.1, 0.35), ForS: d.between(0.2, 1.2)})
	}
	for range d.upTo(3) {
		d.add(d.pickKind("node_kill", "node_freeze", "node_slow", "roll_term", "hup", "reset_conns", "node_cut"), d.faultTime())
	}
	if d.chance(0.4) {
		d.add(d.pickKind("core_cut", "herd_kill", "after_ack_kill", "replace_core"), d.faultTime())
	}
	if d.chance(0.5) {
		d.add(d.pickKind("release", "scale_out", "replace_with_reuse", "srv_grey", "answer_lost", "kv_slow"), d.faultTime())
	}
}

// limitCapacity makes the engines slow, or sends more traffic than they can carry, for most of the
// day.
func (d *draft) limitCapacity() {
	forS := d.LengthS - 8
	if d.chance(0.5) {
		d.put(entry{Kind: "srv_slow", At: 3, Service: d.engines(), Share: d.between(0.3, 0.7), X: d.between(1.5, 3), ForS: forS})
		return
	}
	d.put(entry{Kind: "burst", At: 3, X: d.between(1.2, 1.8), ForS: forS})
}
