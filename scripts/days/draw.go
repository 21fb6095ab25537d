package main

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// dayStream selects the generator's random stream, so that its numbers are independent of other
// uses of the same seed.
const dayStream = 0x6461_7973

// quietTailS is the time at the end of a day, in seconds, in which no new fault begins, so that
// the core has recovered when the closing fault occurs.
const quietTailS = 6

// theme is a set of related faults that a day is filled with.
type theme struct {
	name    string
	lengthS [2]float64 // bounds of the day's length, in seconds
	traffic [2]float64 // bounds of the day's part of the site's traffic
	fill    func(*draft)
}

// themes are assigned to seeds in turn, so that as many consecutive seeds as there are themes
// have one day of each.
var themes = []theme{
	{"cuts", [2]float64{60, 75}, [2]float64{0.3, 0.7}, fillCuts},
	{"races", [2]float64{40, 60}, [2]float64{0.3, 0.7}, fillRaces},
	{"replacements", [2]float64{60, 75}, [2]float64{0.3, 0.7}, fillReplacements},
	{"hundreds", [2]float64{60, 90}, [2]float64{0.3, 0.6}, fillHundreds},
	{"answers", [2]float64{40, 50}, [2]float64{0.7, 1}, fillAnswers},
	{"disks", [2]float64{45, 60}, [2]float64{0.3, 0.7}, fillDisks},
	{"power", [2]float64{50, 65}, [2]float64{0.3, 0.5}, fillPower},
	{"freezes", [2]float64{50, 65}, [2]float64{0.3, 0.7}, fillFreezes},
	{"closings", [2]float64{10, 16}, [2]float64{0.3, 0.5}, fillClosings},
	{"mix", [2]float64{45, 75}, [2]float64{0.5, 1}, fillMix},
}

// extraThemes are used only when they are named, so that the days of existing seeds do not change.
var extraThemes = []theme{
	{"rollouts", [2]float64{34, 55}, [2]float64{0.8, 1.3}, fillRollouts},
}

// themeOf returns the theme with this name, or the seed's own theme if the name is empty.
func themeOf(name string, seed uint64) (theme, error) {
	if name == "" {
		return themes[seed%uint64(len(themes))], nil
	}
	for _, candidate := range slices.Concat(themes, extraThemes) {
		if candidate.name == name {
			return candidate, nil
		}
	}
	return theme{}, fmt.Errorf("unknown theme %q", name)
}

// draft is a day that is being generated.
type draft struct {
	day
	random *rand.Rand
	site   site
}

// draw returns the day of a seed. The same site and seed always give the same day.
func draw(s site, seed uint64) day {
	own, _ := themeOf("", seed)
	return drawTheme(s, seed, own)
}

// drawTheme returns the day of a seed and a theme.
func drawTheme(s site, seed uint64, picked theme) day {
	d := &draft{random: rand.New(rand.NewPCG(seed, dayStream)), site: s}
	reference := s.referenceDay()
	d.day = day{
		Name:         fmt.Sprintf("%s-%d", picked.name, seed),
		Slot:         "trouble",
		Seed:         seed,
		LengthS:      math.Round(d.between(picked.lengthS[0], picked.lengthS[1])),
		One:          reference.One,
		Zero:         reference.Zero,
		Goal:         goal{goalFloor},
		FloorClasses: []float64{partFloor},
		FloorZones:   []float64{partFloor},
		Plan:         []entry{},
		Faults:       []entry{},
	}
	d.Traffic = scale(s.Traffic, d.between(picked.traffic[0], picked.traffic[1]))
	picked.fill(d)
	return d.day
}

// scale returns the traffic with its rates multiplied by part, and everything else unchanged.
func scale(traffic []map[string]any, part float64) []map[string]any {
	out := make([]map[string]any, 0, len(traffic))
	for _, source := range traffic {
		scaled := maps.Clone(source)
		switch rate := source["per_s"].(type) {
		case float64:
			scaled["per_s"] = roundToHundredth(rate * part)
		case int64:
			scaled["per_s"] = roundToHundredth(float64(rate) * part)
		}
		out = append(out, scaled)
	}
	return out
}

// slowerDisks gives the day's machines disks whose syncs take between low and high milliseconds. A
// write that was acknowledged before its sync is then likely to be lost when power fails.
func (d *draft) slowerDisks(low, high float64) {
	syncMS := math.Round(d.between(low, high))
	for _, machine := range d.site.Machines {
		changed := maps.Clone(machine)
		if disk, ok := machine["disk"].(map[string]any); ok {
			slower := maps.Clone(disk)
			slower["sync_ms"] = syncMS
			changed["disk"] = slower
		}
		d.Machines = append(d.Machines, changed)
	}
}

// onceOnly gives the day routes whose requests must run at most once, with several attempts
// allowed: a request that was sent and lost must not be sent again.
func (d *draft) onceOnly() {
	attempts := 1 + d.upTo(3)
	for _, class := range d.site.Classes {
		changed := maps.Clone(class)
		changed["attempts"] = attempts
		if stream, ok := class["stream"].(map[string]any); ok {
			broken := maps.Clone(stream)
			broken["resume"] = false
			changed["stream"] = broken
		}
		d.Classes = append(d.Classes, changed)
	}
}

func roundToHundredth(x float64) float64 { return math.Round(x*100) / 100 }

func (d *draft) between(low, high float64) float64 {
	return roundToHundredth(low + d.random.Float64()*(high-low))
}

func (d *draft) upTo(most int) int { return 1 + d.random.IntN(most) }

func (d *draft) chance(part float64) bool { return d.random.Float64() < part }

func (d *draft) pick(of ...string) string { return of[d.random.IntN(len(of))] }

// joinVariants joins variants with spaces, and leaves empty ones out.
func joinVariants(variants ...string) string {
	return strings.Join(strings.Fields(strings.Join(variants, " ")), " ")
}

// supports reports whether the site has the contract that a kind needs.
func (d *draft) supports(kind string) bool {
	needed, special := contractOf[kind]
	return !special || slices.Contains(d.site.Contracts, needed)
}

// pickKind picks one of the kinds that the site supports.
func (d *draft) pickKind(of ...string) string {
	unsupported := func(kind string) bool { return !d.supports(kind) }
	return d.pick(slices.DeleteFunc(slices.Clone(of), unsupported)...)
}

// faultTime draws a time at which a fault may begin.
func (d *draft) faultTime() float64 { return d.between(2, d.LengthS-quietTailS) }

func (d *draft) engines() string { return d.pick(d.site.servicesOf(true)...) }

func (d *draft) zone() string { return d.site.Zones[d.random.IntN(len(d.site.Zones))].Name }

func (d *draft) class() string {
	name, _ := d.site.Classes[d.random.IntN(len(d.site.Classes))]["name"].(string)
	return name
}

// add draws an entry of a kind and adds it at a time.
func (d *draft) add(kind string, at float64) {
	e := kinds[kind](d)
	e.Kind, e.At = kind, at
	d.put(e)
}

// put adds an entry to the day, as planned work or as a fault.
func (d *draft) put(e entry) {
	if isPlanned[e.Kind] {
		d.Plan = append(d.Plan, e)
		return
	}
	d.Faults = append(d.Faults, e)
}

// spread adds entries of a kind from a time on, with random gaps between them.
func (d *draft) spread(kind string, from, lowGap, highGap float64) {
	for at := from; at < d.LengthS-quietTailS; at += d.between(lowGap, highGap) {
		d.add(kind, roundToHundredth(at))
	}
}

// close adds the closing fault, of one of the kinds, which is timed to an acknowledgement.
func (d *draft) close(kinds ...string) {
	if len(kinds) == 0 {
		kinds = []string{"power_off_all", "wipe_after_ack", "kill_all"}
	}
	c := &closing{Kind: d.pick(kinds...), DownS: d.between(0.5, 1.6)}
	c.How = d.pick("", "", "timed")
	if c.Kind == "wipe_after_ack" {
		c.How = d.pick("", "aimed", "aimed", "timed", "aimed timed")
	}
	d.Closing = c
}

// storm adds frequent configuration changes throughout the day, until after the closing fault.
func (d *draft) storm(lowGap, highGap float64) {
	d.put(entry{Kind: "config_storm", At: 3, ForS: d.LengthS, GapS: d.between(lowGap, highGap)})
}

// loseAcknowledgements adds the loss of a part of the acknowledgements to operators, all day long.
func (d *draft) loseAcknowledgements() {
	d.put(entry{Kind: "ack_lost", At: 2, X: d.between(0.3, 0.8), ForS: d.LengthS - 4})
}

// operatorChanges adds occasional changes of all that operators change: configuration, keys and
// weights.
func (d *draft) operatorChanges() {
	d.spread("config_change", 3, 3, 8)
	d.spread("revoke", 4, 5, 12)
	d.spread("version_bump", d.between(4, 10), 14, 25)
}
