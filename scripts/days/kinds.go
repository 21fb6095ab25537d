package main

// isPlanned tells which kinds are planned work, written under plan in a day's file. The others are
// written under faults.
var isPlanned = map[string]bool{
	"ack_lost": false, "bad_config": true, "big_config": true, "config_change": true,
	"config_race": true, "config_storm": true, "hup": true, "release": true, "revoke": true,
	"roll_term": true, "scale_in": true, "scale_out": true, "version_bump": true,
}

// contractOf names the contract that a site must have for a kind. Kinds that are not listed suit
// every site.
var contractOf = map[string]string{
	"hot_key": "pool", "idle_race": "pool",
	"srv_flap": "health", "srv_lying_health": "health",
}

// kinds maps each kind of planned work or fault to the function that draws an entry of it.
var kinds = map[string]func(*draft) entry{
	"ack_lost":       func(d *draft) entry { return entry{X: d.between(0.3, 0.9), ForS: d.between(5, 20)} },
	"after_ack_kill": drawAfterAckKill,
	"after_ack_wipe": drawAfterAckWipe,
	"answer_lost":    drawAnswerLost,
	"bad_config":     drawBadConfig,
	"big_config":     func(d *draft) entry { return entry{Count: 50 + d.upTo(300)} },
	"burst":          func(d *draft) entry { return entry{X: d.between(1.3, 2), ForS: d.between(2, 5), Zone: d.zone()} },
	"clock_step":     drawClockStep,
	"config_change":  drawConfigChange,
	"config_race":    func(d *draft) entry { return entry{Count: d.upTo(5), GapS: d.between(0.3, 1.5)} },
	"config_storm":   func(d *draft) entry { return entry{ForS: d.between(3, 15), GapS: d.between(0.05, 0.4)} },
	"core_cut":       drawCoreCut,
	"disk_full":      drawDisk,
	"disk_slow":      drawDiskSlow,
	"disk_stall":     drawDisk,
	"events_gap":     func(d *draft) entry { return engineFault(d, 0.3, 0.6) },
	"garble":         drawGarble,
	"herd_kill":      drawHerdKill,
	"hot_key": func(d *draft) entry {
		return entry{Share: d.between(0.1, 0.3), ForS: d.between(3, 8), Class: d.class()}
	},
	"hup": func(d *draft) entry {
		return entry{Share: d.between(0.2, 1), GapS: d.between(0.5, 4), On: d.machineClass()}
	},
	"idle_race": func(d *draft) entry {
		return entry{Share: d.between(0.2, 0.8), X: d.between(100, 800), ForS: d.between(3, 10)}
	},
	"kv_slow":            drawLinksSlow,
	"node_cut":           drawNodeCut,
	"node_freeze":        drawNodeFreeze,
	"node_kill":          drawNodeKill,
	"node_slow":          drawNodeSlow,
	"release":            drawRelease,
	"replace_core":       drawReplaceCore,
	"replace_with_reuse": drawReplaceWithReuse,
	"reset_conns":        drawResetConnections,
	"retry_abuse": func(d *draft) entry {
		return entry{Share: d.between(0.1, 0.4), X: d.between(1, 3), ForS: d.between(3, 8)}
	},
	"revoke":    func(d *draft) entry { return entry{Count: d.upTo(3), GapS: d.between(0.4, 2)} },
	"roll_term": drawRollTerm,
	"scale_in":  drawScaleIn,
	"scale_out": func(d *draft) entry {
		return entry{Share: d.between(0.1, 0.4), GapS: d.between(1, 5), Service: d.engines()}
	},
	"seed_turnover": func(*draft) entry { return entry{} },
	"srv_crash":     drawEngineCrash,
	"srv_flap": func(d *draft) entry {
		return entry{Share: d.between(0.05, 0.15), GapS: d.between(0.8, 2), ForS: d.between(4, 8), Service: d.engines()}
	},
	"srv_grey":         drawEngineGrey,
	"srv_lying_health": drawLyingHealth,
	"srv_slow": func(d *draft) entry {
		return entry{Share: d.between(0.1, 0.25), X: d.between(2, 8), ForS: d.between(3, 8), Service: d.engines()}
	},
	"version_bump": func(*draft) entry { return entry{} },
}

// core is the class of the machines that run the control nodes.
const core = "core"

// machineClass picks the core, or with an empty name the class that carries the traffic.
func (d *draft) machineClass() string { return d.pick("", core) }

// anyOrLeaderVariant picks the variant that affects the leader, or none, which affects any machine.
func (d *draft) anyOrLeaderVariant() string { return d.pick("", "leader") }

// aim sets the machines that a fault affects, by the class that was drawn for it: one core
// machine, with a variant, or a share of the machines that carry the traffic.
func (d *draft) aim(e entry, lowShare, highShare float64, variant func() string) entry {
	if e.On == core {
		e.Count, e.How = 1, variant()
		return e
	}
	e.Share = d.between(lowShare, highShare)
	return e
}

// returnVariant picks variants of what happens to a machine when it returns, and during a cut.
func (d *draft) returnVariant() string {
	return joinVariants(d.pick("", "meet", "race"), d.pick("", "", "hard"), d.pick("", "", "drain"))
}

// targetVariant picks the variant that selects the core machine that a fault affects. If it is
// empty, the day's seed selects one.
func (d *draft) targetVariant() string { return d.pick("", "leader", "leader", "reader", "seed") }

func engineFault(d *draft, lowShare, highShare float64) entry {
	return entry{Share: d.between(lowShare, highShare), ForS: d.between(3, 7), Service: d.engines()}
}

func drawAfterAckKill(d *draft) entry {
	return entry{ForS: d.between(1, 4), How: d.pick("", "", "kill", "timed", "timed", "timed kill", "taken")}
}

func drawAfterAckWipe(d *draft) entry {
	return entry{ForS: d.between(1, 4), How: d.pick("", "", "", "timed", "timed", "taken")}
}

func drawAnswerLost(d *draft) entry {
	return entry{Share: d.between(0.3, 0.7), X: d.between(0.02, 0.06), ForS: d.between(3, 8),
		How: d.pick("", "reset"), Service: d.engines()}
}

func drawBadConfig(d *draft) entry {
	variant := d.pick("", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout",
		"old_version", "same_version", "stale_match", "shared_key")
	return entry{Count: d.upTo(4), GapS: d.between(0.3, 1.5), How: variant}
}

func drawClockStep(d *draft) entry {
	return entry{Share: d.between(0.2, 0.6), X: d.between(1000, 4000), ForS: d.between(3, 10),
		How: joinVariants(d.pick("back", "ahead"), d.anyOrLeaderVariant())}
}

func drawConfigChange(d *draft) entry {
	return entry{How: d.pick("route", "weights", "timeout", "tenant", "quota", "idle")}
}

func drawCoreCut(d *draft) entry {
	variant := d.pick("", "", "reset", "refuse", "one_way", "one_way", "seeds", "both")
	return entry{ForS: d.between(3, 8), How: joinVariants(d.targetVariant(), variant, d.returnVariant())}
}

func drawDisk(d *draft) entry {
	return entry{ForS: d.between(2, 6), How: d.anyOrLeaderVariant()}
}

func drawDiskSlow(d *draft) entry {
	return entry{ForS: d.between(3, 8), X: d.between(15, 45), How: d.anyOrLeaderVariant()}
}

func drawGarble(d *draft) entry {
	return entry{Share: d.between(0.4, 0.95), X: d.between(0.02, 0.3), ForS: d.between(4, 9),
		How: d.pick("", "extra", "extra late", "extra late"), Service: d.engines()}
}

func drawHerdKill(d *draft) entry {
	e := entry{ForS: d.between(0.5, 2.5), On: d.machineClass(), How: joinVariants(d.pick("", "power"), d.returnVariant())}
	if e.On == "" {
		e.Share = d.between(0.3, 0.8)
	}
	return e
}

func drawLinksSlow(d *draft) entry {
	e := engineFault(d, 0.15, 0.4)
	e.X = d.between(4, 12)
	return e
}

func drawNodeCut(d *draft) entry {
	return entry{Share: d.between(0.1, 0.3), ForS: d.between(2, 6), How: d.pick("", "", "servers", "reset", "refuse")}
}

func drawNodeFreeze(d *draft) entry {
	e := entry{ForS: d.between(0.8, 6), On: d.machineClass()}
	return d.aim(e, 0.1, 0.25, func() string { return joinVariants(d.targetVariant(), d.returnVariant()) })
}

func drawNodeKill(d *draft) entry {
	e := entry{ForS: d.between(0.3, 4), On: d.machineClass(), How: d.pick("", "power")}
	return d.aim(e, 0.1, 0.25, func() string { return joinVariants(e.How, d.targetVariant(), d.returnVariant()) })
}

func drawNodeSlow(d *draft) entry {
	e := entry{X: d.between(3, 8), ForS: d.between(2, 6), On: d.machineClass()}
	return d.aim(e, 0.1, 0.2, d.anyOrLeaderVariant)
}

func drawRelease(d *draft) entry {
	return entry{Share: d.between(0.2, 0.5), X: float64(d.upTo(2)), GapS: d.between(0.8, 1.5), Service: d.engines()}
}

func drawReplaceCore(d *draft) entry {
	return entry{X: d.between(0.5, 3), How: joinVariants(d.pick("", "planned"), d.pick("", "leader", "seed"))}
}

func drawReplaceWithReuse(d *draft) entry {
	return entry{Share: d.between(0.06, 0.15), How: d.pick("", "drain", "dark"), Service: d.engines()}
}

func drawResetConnections(d *draft) entry {
	e := entry{X: d.between(0.3, 1), ForS: d.between(0.5, 3), On: d.machineClass()}
	return d.aim(e, 0.1, 0.6, d.anyOrLeaderVariant)
}

func drawRollTerm(d *draft) entry {
	e := entry{X: 1, GapS: d.between(0.8, 1.6), On: d.machineClass(), How: d.pick("", "busy", "remove")}
	if e.On == core {
		e.How = d.pick("", "meet", "race")
		e.GapS = d.between(5, 8)
	}
	e.Share = d.between(0.3, 0.6)
	return e
}

func drawScaleIn(d *draft) entry {
	return entry{Share: d.between(0.05, 0.15), How: d.pick("", "spot"), X: d.between(1, 3), Service: d.engines()}
}

func drawEngineCrash(d *draft) entry {
	e := engineFault(d, 0.06, 0.17)
	e.How = d.pick("", "dark", "gone")
	if stores := d.site.servicesOf(false); len(stores) > 0 && d.chance(0.3) {
		e.Service, e.Share, e.How = d.pick(stores...), 0, "all"
	}
	return e
}

func drawEngineGrey(d *draft) entry {
	e := engineFault(d, 0.1, 0.2)
	e.How = d.pick("errors", "shed", "busy", "hang", "reset", "mute", "slow")
	e.X = d.between(0.2, 0.5)
	if e.How == "slow" {
		e.X = d.between(4, 9)
	}
	if d.chance(0.2) {
		e.How, e.ToZone = joinVariants(e.How, "one_zone"), d.zone()
	}
	return e
}

func drawLyingHealth(d *draft) entry {
	e := engineFault(d, 0.05, 0.12)
	e.How = d.pick("errors", "hang", "reset", "bad")
	return e
}
