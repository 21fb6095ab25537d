// Package callers plays the callers of both deployments against a fleet, and
// afterwards compares what they were told with what the engines counted.
package callers

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"violetthread/client"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
	"violetthread/internal/standin/engine"
	"violetthread/internal/taskgroup"
)

// Settings of a load.
type Settings struct {
	Scenario string   `json:"scenario" validate:"oneof=selat subtitulos" help:"selat or subtitulos"`
	Proxies  []string `json:"proxies" validate:"required,min=1,dive,ipport" help:"IP:port of the remisiers, with commas"`
	Engines  []string `json:"engines" validate:"required,min=1,dive,ipport" help:"IP:port of the engines, to ask what ran"`
	Seconds  int64    `json:"seconds" validate:"min=1,max=3600" help:"how long new tickets are sent"`
	Rate     int64    `json:"rate" validate:"min=1,max=5000" help:"new tickets a second, all groups together"`
	Seed     int64    `json:"seed" help:"seed of arrivals and prompts"`
	Resend   int64    `json:"resend_permille" validate:"min=0,max=1000" help:"once-only tickets sent again elsewhere, in thousandths"`
	Hangup   int64    `json:"hangup_permille" validate:"min=0,max=1000" help:"callers who hang up early, in thousandths"`
	Skew     bool     `json:"skew" help:"send the largest group's tickets to one proxy only"`
	Report   string   `json:"report" help:"file for the report as JSON"`
	DoneMin  int64    `json:"done_min_permille" validate:"min=0,max=1000" help:"least part of tickets that must be done, else the exit code is 1"`
	Faults   bool     `json:"faults" help:"faults are being caused meanwhile: runs of killed engines are not counted"`
}

// Defaults of the settings.
func Defaults() Settings {
	return Settings{Scenario: "selat", Seconds: 10, Rate: 40, Seed: 1, Resend: 50}
}

type group struct {
	name   string
	weight int
	shared int // parts of prompt that its callers share
}

type kind struct {
	name   string
	weight int
	once   bool
	dueUS  int64
	own    int // bytes of prompt that are a ticket's own
	long   bool
}

type scenario struct {
	groups []group
	kinds  []kind
}

var scenarios = map[string]scenario{
	"selat": {
		[]group{{"dealing-desk", 30, 12}, {"remisier-east", 20, 12}, {"remisier-west", 20, 12}, {"mandates", 10, 16},
			{"settlement", 8, 8}, {"research", 6, 8}, {"branch-north", 3, 6}, {"branch-south", 3, 6}},
		[]kind{{"mandate-check", 3, false, 10_000_000, 1500, true}, {"confirmation", 4, true, 8_000_000, 900, true},
			{"instruction-tag", 5, true, 5_000_000, 300, false}},
	},
	"subtitulos": {
		[]group{{"editors-es", 30, 24}, {"editors-pt", 20, 24}, {"editors-ca", 15, 24}, {"timing-team", 12, 16},
			{"glossary", 10, 4}, {"festival", 6, 16}, {"school", 4, 8}, {"archive", 3, 8}},
		[]kind{{"segmentation", 3, true, 10_000_000, 3000, true}, {"timing-review", 4, false, 8_000_000, 1200, true},
			{"glossary-lookup", 5, false, 5_000_000, 200, false}},
	},
}

// Key is the key that a group's callers carry in the example plans.
func Key(g string) string { return "key-of-" + g }

// Told is what a caller was told of one sending of a ticket.
type Told struct {
	Group, Kind, ID, Proxy string
	Once                   bool
	Outcome, Reason        string // outcome "" is an answer without its last frame
	Status                 int
	FirstUS, TotalUS       int64
	DueUS                  int64
	Broken                 string // what was wrong with the frames
	Hangup, Again, Moved   bool
	Era                    uint64
}

type load struct {
	s    Settings
	sc   scenario
	http *http.Client
	mu   sync.Mutex
	told []Told
	era  uint64 // newest that a proxy told of
}

// Run plays a load and reports. Broken says which must-nevers were broken.
func Run(s Settings) (*Report, error) {
	l := &load{s: s, sc: scenarios[s.Scenario], http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	c := taskgroup.New(context.Background(), daemon.NewLogger("violetthread-standin", "callers"))
	defer c.Stop()
	rng := rand.New(rand.NewSource(s.Seed))
	prefix := map[string]string{}
	for _, g := range l.sc.groups {
		prefix[g.name] = text(rng, g.shared*1024)
	}
	l.ask()
	end := clock.Now() + s.Seconds*1_000_000
	var wg sync.WaitGroup
	for n := 0; clock.Now() < end; n++ {
		g := pickWeighted(rng, l.sc.groups, func(g group) int { return g.weight })
		k := pickWeighted(rng, l.sc.kinds, func(k kind) int { return k.weight })
		p := s.Proxies[rng.Intn(len(s.Proxies))]
		if s.Skew && g.name == l.sc.groups[0].name {
			p = s.Proxies[0]
		}
		prompt := text(rng, k.own)
		if k.long {
			prompt = prefix[g.name] + prompt
		}
		t := Told{Group: g.name, Kind: k.name, ID: fmt.Sprintf("%s-%d-%d", s.Scenario, s.Seed, n), Proxy: p, Once: k.once, DueUS: k.dueUS, Era: l.newest(0),
			Hangup: rng.Int63n(1000) < s.Hangup}
		again := k.once && rng.Int63n(1000) < s.Resend
		q := s.Proxies[rng.Intn(len(s.Proxies))]
		wg.Add(1)
		c.Go("caller", func(ctx context.Context) {
			defer wg.Done()
			if again {
				wg.Add(1)
				c.Go("caller.again", func(ctx context.Context) {
					defer wg.Done()
					t2 := t
					t2.Proxy, t2.Again, t2.Hangup = q, true, false
					l.send(ctx, t2, prompt)
				})
			}
			l.send(ctx, t, prompt)
		})
		taskgroup.Sleep(c.Context(), int64(rng.ExpFloat64()*1e6/float64(s.Rate)))
	}
	wg.Wait()
	return l.report()
}

// newest takes in an era that a proxy told of and returns the newest of all. A new id
// is sent with it, a resend with the one that its id was first sent with.
func (l *load) newest(e uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era = max(l.era, e)
	return l.era
}

// agent is the generated client, for one proxy.
func (l *load) agent(proxy, key string) (*client.Client, error) {
	return client.NewClient("http://"+proxy, client.WithHTTPClient(l.http), client.WithKey(key))
}

// ask learns the era from the first proxy that tells.
func (l *load) ask() {
	for _, p := range l.s.Proxies {
		ua, err := l.agent(p, "")
		if err != nil {
			continue
		}
		q, err := ua.AskEra(context.Background())
		if err != nil {
			continue
		}
		var e client.Era
		err = json.NewDecoder(q.Body).Decode(&e)
		_ = q.Body.Close()
		if err == nil && e.Era > 0 {
			l.newest(e.Era)
			return
		}
	}
}

func pickWeighted[T any](rng *rand.Rand, xs []T, w func(T) int) T {
	n := rng.Intn(lo.SumBy(xs, w))
	for _, x := range xs {
		if n -= w(x); n < 0 {
			return x
		}
	}
	return xs[0]
}

func text(rng *rand.Rand, n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = "abcdefghijklmnopqrstuvwxyz     "[rng.Intn(31)]
	}
	return string(b)
}

func (l *load) send(ctx context.Context, t Told, prompt string) {
	began := clock.Now()
	first := t
	l.call(ctx, &t, prompt, began)
	// A caller that was turned away at the door, or found nobody there, goes to
	// another proxy once: nothing of its ticket was taken in.
	if (t.Status == http.StatusServiceUnavailable || t.Reason == "nobody-there") && len(l.s.Proxies) > 1 {
		i := slices.Index(l.s.Proxies, first.Proxy)
		first.Proxy, first.Moved = l.s.Proxies[(i+1+len(first.ID)%(len(l.s.Proxies)-1))%len(l.s.Proxies)], true
		t = first
		l.call(ctx, &t, prompt, began)
	}
	t.TotalUS = clock.Now() - began
	l.mu.Lock()
	l.told = append(l.told, t)
	l.mu.Unlock()
}

func (l *load) call(ctx context.Context, t *Told, prompt string, began int64) {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(t.DueUS+10_000_000))
	defer stop()
	ua, err := l.agent(t.Proxy, Key(t.Group))
	if err != nil {
		t.Broken = err.Error()
		return
	}
	r, err := ua.SendTicket(ctx, client.Ticket{Kind: t.Kind, Id: &t.ID, Era: &t.Era, DueUs: &t.DueUS, Prompt: prompt})
	if err != nil {
		t.Reason = "unreachable"
		if errors.Is(err, syscall.ECONNREFUSED) {
			t.Reason = "nobody-there"
		}
		return
	}
	defer r.Body.Close()
	t.Status = r.StatusCode
	if r.StatusCode != http.StatusOK {
		x, _ := io.ReadAll(io.LimitReader(r.Body, 1<<16))
		var f client.Frame
		if json.Unmarshal(x, &f) != nil || f.Frame == "" || lo.FromPtr(f.Remedy) == "" {
			t.Broken = fmt.Sprintf("status %d without a typed reason: %.100s", r.StatusCode, x)
		}
		t.Outcome, t.Reason = f.Frame, lo.FromPtr(f.Reason)
		l.newest(lo.FromPtr(f.Era))
		return
	}
	sc := bufio.NewScanner(r.Body)
	sc.Buffer(nil, 1<<20)
	run, n := "", 0
	for sc.Scan() {
		var f client.Frame
		if err := json.Unmarshal(sc.Bytes(), &f); err != nil {
			t.Broken = "no JSON: " + sc.Text()
			return
		}
		if t.Outcome != "" {
			t.Broken = "a frame after the last one: " + sc.Text()
			return
		}
		switch f.Frame {
		case "accepted":
			l.newest(lo.FromPtr(f.Era))
		case "piece":
			if n == 0 {
				t.FirstUS = clock.Now() - began
			}
			a, i, _ := strings.Cut(lo.FromPtr(f.Text), "#")
			if run == "" {
				run = a
			}
			if a != run || i != fmt.Sprint(n) || lo.FromPtr(f.N) != n {
				t.Broken = fmt.Sprintf("stitched: piece %d of %s after %d of %s", lo.FromPtr(f.N), lo.FromPtr(f.Text), n, run)
			}
			n++
			if t.Hangup {
				t.Reason = "hung-up"
				return
			}
		default:
			if !f.Last() {
				t.Broken = "frame of no known kind: " + f.Frame
				return
			}
			t.Outcome, t.Reason = f.Frame, lo.FromPtr(f.Reason)
			if f.Frame == "done" && (f.Pieces == nil || *f.Pieces != n || n != engine.Pieces[t.Kind]) {
				t.Broken = fmt.Sprintf("done after %d pieces", n)
			}
			if f.Frame != "done" && lo.FromPtr(f.Remedy) == "" {
				t.Broken = "no remedy with " + t.Reason
			}
		}
	}
}

// Report is what a load came to.
type Report struct {
	Scenario   string                    `json:"scenario"`
	Sent       int                       `json:"sent"`
	Done       int                       `json:"done"`
	Refused    int                       `json:"refused"`
	Unknown    int                       `json:"unknown"`
	Incomplete int                       `json:"incomplete"`
	Moved      int                       `json:"moved_to_another_proxy"`
	Reasons    map[string]int            `json:"reasons"`
	LateUS     int64                     `json:"worst_lateness_us"`
	LateNos    int                       `json:"refused_after_half_the_due"`
	FirstUS    [3]int64                  `json:"first_piece_us_p50_p90_p99"`
	TotalUS    [3]int64                  `json:"total_us_p50_p90_p99"`
	Runs       int                       `json:"runs"`
	Parts      int                       `json:"parts"`
	Reused     int                       `json:"parts_reused"`
	Taken      int                       `json:"parts_taken_from_peers"`
	Groups     map[string]map[string]int `json:"groups"`
	Broken     []string                  `json:"broken"`
}

func percentiles(xs []int64) (out [3]int64) {
	if len(xs) == 0 {
		return out
	}
	slices.Sort(xs)
	for i, p := range []int{50, 90, 99} {
		out[i] = xs[min(len(xs)-1, len(xs)*p/100)]
	}
	return out
}

// report judges from the outside: callers' answers against engines' counts.
func (l *load) report() (*Report, error) {
	r := &Report{Scenario: l.s.Scenario, Reasons: map[string]int{}, Groups: map[string]map[string]int{}, Broken: []string{}}
	c := engineapi.NewClient()
	runs := map[string][]engine.RunSeen{}
	for _, a := range l.s.Engines {
		var s engine.Seen
		if err := c.Get(context.Background(), a, "/v1/seen", 5_000_000, &s); err != nil {
			if l.s.Faults {
				continue
			}
			return nil, trace.Wrap(err, "an engine does not tell what ran; give --faults true if that is meant")
		}
		for _, x := range s.Runs {
			runs[x.Group+"/"+x.Ticket] = append(runs[x.Group+"/"+x.Ticket], x)
			r.Runs++
			r.Parts += x.Parts
			r.Reused += x.Reused
			r.Taken += x.Taken
		}
		for _, m := range s.Mixed {
			r.Broken = append(r.Broken, "mixed cache at "+s.Name+": "+m)
		}
		for _, m := range s.Owners {
			r.Broken = append(r.Broken, "two owners at "+s.Name+": "+m)
		}
	}
	var first, total []int64
	byID := map[string][]Told{}
	for _, t := range l.told {
		r.Sent++
		if t.Moved {
			r.Moved++
		}
		byID[t.Group+"/"+t.ID] = append(byID[t.Group+"/"+t.ID], t)
		g := r.Groups[t.Group]
		if g == nil {
			g = map[string]int{}
			r.Groups[t.Group] = g
		}
		switch t.Outcome {
		case "done":
			r.Done++
			first, total = append(first, t.FirstUS), append(total, t.TotalUS)
		case "refused":
			r.Refused++
			if t.TotalUS > t.DueUS/2 {
				r.LateNos++
			}
		case "unknown":
			r.Unknown++
		default:
			r.Incomplete++
		}
		g[lo.CoalesceOrEmpty(t.Outcome, "incomplete")]++
		if t.Outcome != "done" {
			r.Reasons[t.Reason]++
		}
		if x := t.TotalUS - t.DueUS; x > r.LateUS {
			r.LateUS = x
		}
		if t.Broken != "" {
			r.Broken = append(r.Broken, t.Group+"/"+t.ID+": "+t.Broken)
		}
	}
	r.FirstUS, r.TotalUS = percentiles(first), percentiles(total)
	for id, ts := range byID {
		n, dones, allRefused := len(runs[id]), 0, true
		for _, t := range ts {
			if t.Outcome == "done" {
				dones++
			}
			allRefused = allRefused && t.Outcome == "refused"
		}
		switch {
		case ts[0].Once && n > 1:
			r.Broken = append(r.Broken, fmt.Sprintf("%s ran %d times", id, n))
		case ts[0].Once && dones > 1:
			r.Broken = append(r.Broken, fmt.Sprintf("%s was done %d times", id, dones))
		case allRefused && n > 0:
			r.Broken = append(r.Broken, fmt.Sprintf("%s was refused and ran", id))
		case dones > 0 && n == 0 && !l.s.Faults:
			r.Broken = append(r.Broken, fmt.Sprintf("%s was done and no engine ran it", id))
		}
	}
	sort.Strings(r.Broken)
	if l.s.DoneMin > 0 && int64(r.Done)*1000 < l.s.DoneMin*int64(r.Sent) {
		r.Broken = append(r.Broken, fmt.Sprintf("only %d of %d done", r.Done, r.Sent))
	}
	if l.s.Report != "" {
		b, _ := json.MarshalIndent(r, "", "  ")
		if err := os.WriteFile(l.s.Report, append(b, '\n'), 0o644); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Print writes the report for a person.
func (r *Report) Print(w io.Writer) {
	ms := func(x int64) string { return time.Duration(x * 1000).Round(time.Millisecond).String() }
	fmt.Fprintf(w, "scenario          %s\nsent              %d\ndone              %d\nrefused           %d\nunknown           %d\nincomplete        %d\nmoved on at door  %d\n",
		r.Scenario, r.Sent, r.Done, r.Refused, r.Unknown, r.Incomplete, r.Moved)
	fmt.Fprintf(w, "first piece       p50 %s  p90 %s  p99 %s\n", ms(r.FirstUS[0]), ms(r.FirstUS[1]), ms(r.FirstUS[2]))
	fmt.Fprintf(w, "whole answer      p50 %s  p90 %s  p99 %s\n", ms(r.TotalUS[0]), ms(r.TotalUS[1]), ms(r.TotalUS[2]))
	fmt.Fprintf(w, "worst lateness    %s\nlate refusals     %d\n", ms(r.LateUS), r.LateNos)
	fmt.Fprintf(w, "runs              %d\nparts reused      %d of %d (%d taken from peers)\n", r.Runs, r.Reused, r.Parts, r.Taken)
	for _, k := range sortedKeys(r.Reasons) {
		fmt.Fprintf(w, "reason            %-20s %d\n", k, r.Reasons[k])
	}
	for _, g := range sortedKeys(r.Groups) {
		fmt.Fprintf(w, "group             %-16s done %d, refused %d, unknown %d, incomplete %d\n", g, r.Groups[g]["done"], r.Groups[g]["refused"], r.Groups[g]["unknown"], r.Groups[g]["incomplete"])
	}
	for _, b := range r.Broken {
		fmt.Fprintln(w, "BROKEN            "+b)
	}
	if len(r.Broken) == 0 {
		fmt.Fprintln(w, "no must-never was broken")
	}
}

func sortedKeys[V any](m map[string]V) []string {
	ks := lo.Keys(m)
	sort.Strings(ks)
	return ks
}
