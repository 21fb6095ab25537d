package main

import (
	"maps"
	"slices"
)

// cutS is how long the users' people saw a control machine cut off.
const cutS = 20

// fillCuts: a control machine is cut off for twenty seconds, again and again, while
// configurations, keys and weights change.
func fillCuts(d *draft) {
	d.storm(0.3, 1)
	d.spread("revoke", 5, 4, 9)
	d.spread("version_bump", d.between(4, 10), 12, 20)
	for at := d.between(4, 9); at < d.LengthS-tailS; at += cutS + d.between(5, 9) {
		one := drawCoreCut(d)
		one.Kind, one.At, one.ForS = "core_cut", hundredth(at), cutS
		d.put(one)
	}
	d.longNodeCut()
	for range d.upTo(3) {
		d.add(d.pickKind("node_cut", "reset_conns", "hup", "bad_config", "config_race"), d.moment())
	}
	d.close()
}

// longNodeCut cuts some of the machines that carry the traffic off from the core for
// longer than a key that was taken away may work.
func (d *draft) longNodeCut() {
	forS := d.between(9, 18)
	d.put(entry{Kind: "node_cut", At: d.between(4, d.LengthS-tailS-forS), Share: d.between(0.1, 0.3), ForS: forS})
}

// fillRaces: operators race, and many acknowledgements get lost, while those that
// acknowledge go down.
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
		d.add(d.pickKind("core_cut", "node_freeze", "herd_kill", "bad_config", "reset_conns", "big_config"), d.moment())
	}
	d.close()
}

// fillReplacements: machines of the core go for good or lose their disks, each right
// after the one before has come back.
func fillReplacements(d *draft) {
	d.storm(0.2, 0.6)
	for at := d.between(4, 8); at < d.LengthS-tailS; at += d.between(4, 9) {
		d.add(d.pickKind("replace_core", "replace_core", "replace_core", "after_ack_wipe", "herd_kill"), hundredth(at))
	}
	if d.chance(0.5) {
		d.slowerDisks(10, 50)
	}
	for range d.upTo(2) {
		d.add(d.pickKind("seed_turnover", "version_bump", "config_race", "big_config", "roll_term"), d.moment())
	}
	d.close("wipe_after_ack", "wipe_after_ack", "power_off_all")
}

// fillHundreds: two hundred changes and more, with members that miss a part of them.
func fillHundreds(d *draft) {
	d.storm(0.15, 0.28)
	if d.chance(0.7) {
		d.add("big_config", d.between(5, 20))
	}
	for at := d.between(5, 10); at < d.LengthS-tailS; at += d.between(6, 12) {
		d.add(d.pickKind("node_kill", "after_ack_wipe", "replace_core", "node_freeze", "herd_kill", "core_cut"), hundredth(at))
	}
	d.add(d.pickKind("seed_turnover", "hup", "revoke", "config_race"), d.moment())
	d.close()
}

// fillAnswers: answers are extra, late, cut or lost, and connections are reset.
func fillAnswers(d *draft) {
	if d.chance(0.6) {
		d.onceOnly()
	}
	d.spread("config_change", 3, 6, 12)
	// One after the other: an engine is struck by one of them at a time.
	for at := d.between(3, 6); at < d.LengthS-tailS; at += d.between(7, 9) {
		d.add(d.pick("garble", "garble", "answer_lost"), hundredth(at))
	}
	for range 4 + d.upTo(4) {
		d.add(d.pickKind("srv_grey", "srv_grey", "reset_conns", "replace_with_reuse", "release", "roll_term",
			"srv_crash", "retry_abuse", "idle_race", "node_kill", "scale_in", "burst"), d.moment())
	}
	if d.chance(0.5) {
		d.close("kill_all", "power_off_all")
	}
}

// fillDisks: disks of the core fill up, stall and turn slow, and clocks step.
func fillDisks(d *draft) {
	d.storm(0.08, 0.4)
	for at := d.between(4, 8); at < d.LengthS-tailS; at += d.between(4, 9) {
		d.add(d.pickKind("disk_full", "disk_full", "disk_stall", "disk_slow", "clock_step", "after_ack_kill"), hundredth(at))
	}
	d.add(d.pickKind("big_config", "revoke", "version_bump"), d.moment())
	d.close()
}

// fillPower: the whole core loses power or is killed in the middle of dense changes.
func fillPower(d *draft) {
	d.storm(0.02, 0.06)
	for at := d.between(4, 6); at < d.LengthS-tailS; at += d.between(12, 14) {
		d.put(entry{Kind: "herd_kill", At: hundredth(at), On: core, ForS: d.between(0.5, 1.2),
			How: how(d.pick("power", "power", "power", ""), d.after())})
	}
	if d.chance(0.7) {
		d.slowerDisks(10, 50)
	}
	d.close("power_off_all", "power_off_all", "wipe_after_ack")
}

// fillClosings: a short day whose closing fault strikes at an acknowledgement while
// slow disks still sync what was just written.
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

// fillFreezes: machines stand still, turn slow or are cut off and come back past every
// lease, while configurations, keys and weights change.
func fillFreezes(d *draft) {
	d.operators()
	if d.chance(0.5) {
		d.storm(0.2, 0.6)
	}
	for at := d.between(4, 8); at < d.LengthS-tailS; at += d.between(5, 9) {
		one := drawNodeFreeze(d)
		one.Kind, one.At = "node_freeze", hundredth(at)
		if d.chance(0.5) {
			one.On, one.Count, one.Share, one.How = core, 1, 0, how("leader", d.after())
		}
		d.put(one)
	}
	d.longNodeCut()
	for range 2 + d.upTo(3) {
		d.add(d.pickKind("node_cut", "reset_conns", "node_slow", "hup", "clock_step", "core_cut"), d.moment())
	}
	d.close()
}

// fillMix: any kind, at any moment, more than once.
func fillMix(d *draft) {
	if d.chance(0.3) {
		d.onceOnly()
	}
	all := slices.Sorted(maps.Keys(kinds))
	for range 10 + d.upTo(10) {
		d.add(d.pickKind(all...), d.moment())
	}
	if d.chance(0.8) {
		d.close()
	}
}

// rolloutFloor is the floor of days that press the pool beyond what it can carry: they are played
// for their rules.
const rolloutFloor = 0.01

// fillRollouts: new weights are named one after the other in a pool that is short of room, while
// engines restart with the weights that they had and slow down, and proxies and control nodes come
// and go. What waits in an engine's queue must not begin on weights whose bound has passed.
func fillRollouts(d *draft) {
	d.Goal, d.FloorClasses, d.FloorZones = goal{rolloutFloor}, nil, nil
	d.spread("version_bump", d.between(2, 4), 5, 12)
	d.shortOfRoom()
	for at := d.between(3, 6); at < d.LengthS-tailS; at += d.between(2.5, 4.5) {
		d.put(entry{Kind: "srv_crash", At: hundredth(at), Service: d.engines(), Share: d.between(0.1, 0.35), ForS: d.between(0.2, 1.2)})
	}
	for range d.upTo(3) {
		d.add(d.pickKind("node_kill", "node_freeze", "node_slow", "roll_term", "hup", "reset_conns", "node_cut"), d.moment())
	}
	if d.chance(0.4) {
		d.add(d.pickKind("core_cut", "herd_kill", "after_ack_kill", "replace_core"), d.moment())
	}
	if d.chance(0.5) {
		d.add(d.pickKind("release", "scale_out", "replace_with_reuse", "srv_grey", "answer_lost", "kv_slow"), d.moment())
	}
}

// shortOfRoom makes the engines slow, or sends more than they can carry, for most of the day.
func (d *draft) shortOfRoom() {
	forS := d.LengthS - 8
	if d.chance(0.5) {
		d.put(entry{Kind: "srv_slow", At: 3, Service: d.engines(), Share: d.between(0.3, 0.7), X: d.between(1.5, 3), ForS: forS})
		return
	}
	d.put(entry{Kind: "burst", At: 3, X: d.between(1.2, 1.8), ForS: forS})
}
