package main

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// streamOfDays keeps the generator's numbers apart from those of other uses of a seed.
const streamOfDays = 0x6461_7973

// tailS is the span at the end of a day in which no new fault begins, so that the
// closing fault meets a core that can bear it.
const tailS = 6

// theme fills a day with one sort of trouble.
type theme struct {
	name    string
	lengthS [2]float64
	traffic [2]float64 // Part of the site's traffic.
	fill    func(*draft)
}

// themes go round by seed, so that any run of seeds as long as the list has them all.
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

// directedThemes come only when they are named: the days of seeds stay as they are.
var directedThemes = []theme{
	{"rollouts", [2]float64{34, 55}, [2]float64{0.8, 1.3}, fillRollouts},
}

// themeOf is the theme that is named, or the seed's own.
func themeOf(name string, seed uint64) (theme, error) {
	if name == "" {
		return themes[seed%uint64(len(themes))], nil
	}
	for _, one := range slices.Concat(themes, directedThemes) {
		if one.name == name {
			return one, nil
		}
	}
	return theme{}, fmt.Errorf("theme %q: there is none", name)
}

// draft is a day that is being drawn.
type draft struct {
	day
	random *rand.Rand
	site   site
}

// draw makes the day of a seed: the same one for the same site and seed.
func draw(s site, seed uint64) day {
	own, _ := themeOf("", seed)
	return drawTheme(s, seed, own)
}

// drawTheme makes a seed's day of a theme.
func drawTheme(s site, seed uint64, picked theme) day {
	d := &draft{random: rand.New(rand.NewPCG(seed, streamOfDays)), site: s}
	reference := s.referenceDay()
	d.day = day{
		Name:         fmt.Sprintf("%s-%d", picked.name, seed),
		Slot:         "trouble",
		Seed:         seed,
		LengthS:      math.Round(d.between(picked.lengthS[0], picked.lengthS[1])),
		One:          reference.One,
		Zero:         reference.Zero,
		Goal:         goal{dayFloor},
		FloorClasses: []float64{partFloor},
		FloorZones:   []float64{partFloor},
		Plan:         []entry{},
		Faults:       []entry{},
	}
	d.Traffic = scale(s.Traffic, d.between(picked.traffic[0], picked.traffic[1]))
	picked.fill(d)
	return d.day
}

// scale takes a part of the traffic and leaves its shape.
func scale(traffic []map[string]any, part float64) []map[string]any {
	out := make([]map[string]any, 0, len(traffic))
	for _, one := range traffic {
		scaled := maps.Clone(one)
		switch rate := one["per_s"].(type) {
		case float64:
			scaled["per_s"] = hundredth(rate * part)
		case int64:
			scaled["per_s"] = hundredth(float64(rate) * part)
		}
		out = append(out, scaled)
	}
	return out
}

// slowerDisks gives the day's machines disks that take so long for a sync: what was not
// synced before it was acknowledged is then still on its way when power goes.
func (d *draft) slowerDisks(low, high float64) {
	syncMS := math.Round(d.between(low, high))
	for _, one := range d.site.Machines {
		changed := maps.Clone(one)
		if disk, ok := one["disk"].(map[string]any); ok {
			slower := maps.Clone(disk)
			slower["sync_ms"] = syncMS
			changed["disk"] = slower
		}
		d.Machines = append(d.Machines, changed)
	}
}

// onceOnly gives the day routes whose requests may run once only, though several engines
// may be tried: what was sent and lost must not be sent again.
func (d *draft) onceOnly() {
	attempts := 1 + d.upTo(3)
	for _, one := range d.site.Classes {
		changed := maps.Clone(one)
		changed["attempts"] = attempts
		if stream, ok := one["stream"].(map[string]any); ok {
			broken := maps.Clone(stream)
			broken["resume"] = false
			changed["stream"] = broken
		}
		d.Classes = append(d.Classes, changed)
	}
}

func hundredth(x float64) float64 { return math.Round(x*100) / 100 }

func (d *draft) between(low, high float64) float64 {
	return hundredth(low + d.random.Float64()*(high-low))
}

func (d *draft) upTo(most int) int { return 1 + d.random.IntN(most) }

func (d *draft) chance(part float64) bool { return d.random.Float64() < part }

func (d *draft) pick(of ...string) string { return of[d.random.IntN(len(of))] }

// how joins variants; empty ones are left out.
func how(variants ...string) string {
	return strings.Join(strings.Fields(strings.Join(variants, " ")), " ")
}

// fits tells whether the site's contracts allow a kind.
func (d *draft) fits(kind string) bool {
	needed, special := contractOf[kind]
	return !special || slices.Contains(d.site.Contracts, needed)
}

// pickKind picks among the kinds that fit the site.
func (d *draft) pickKind(of ...string) string {
	unfit := func(kind string) bool { return !d.fits(kind) }
	return d.pick(slices.DeleteFunc(slices.Clone(of), unfit)...)
}

// moment is any at which a fault may begin.
func (d *draft) moment() float64 { return d.between(2, d.LengthS-tailS) }

func (d *draft) engines() string { return d.pick(d.site.servicesOf(true)...) }

func (d *draft) zone() string { return d.site.Zones[d.random.IntN(len(d.site.Zones))].Name }

func (d *draft) class() string {
	name, _ := d.site.Classes[d.random.IntN(len(d.site.Classes))]["name"].(string)
	return name
}

// add draws an entry of a kind for a moment.
func (d *draft) add(kind string, at float64) {
	one := kinds[kind](d)
	one.Kind, one.At = kind, at
	d.put(one)
}

// put takes an entry as it is.
func (d *draft) put(one entry) {
	if planned[one.Kind] {
		d.Plan = append(d.Plan, one)
		return
	}
	d.Faults = append(d.Faults, one)
}

// spread draws entries of a kind with a pause between them.
func (d *draft) spread(kind string, from, lowGap, highGap float64) {
	for at := from; at < d.LengthS-tailS; at += d.between(lowGap, highGap) {
		d.add(kind, hundredth(at))
	}
}

// close ends the day with a fault, timed on an acknowledgement.
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

// storm sends changes throughout the day, the closing fault included.
func (d *draft) storm(lowGap, highGap float64) {
	d.put(entry{Kind: "config_storm", At: 3, ForS: d.LengthS, GapS: d.between(lowGap, highGap)})
}

// loseAcknowledgements lets a part of the answers to operators get lost all day long.
func (d *draft) loseAcknowledgements() {
	d.put(entry{Kind: "ack_lost", At: 2, X: d.between(0.3, 0.8), ForS: d.LengthS - 4})
}

// operators changes all that operators change, now and then.
func (d *draft) operators() {
	d.spread("config_change", 3, 3, 8)
	d.spread("revoke", 4, 5, 12)
	d.spread("version_bump", d.between(4, 10), 14, 25)
}
