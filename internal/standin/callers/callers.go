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
	Scenario        string   `json:"scenario" validate:"oneof=selat subtitulos" help:"selat or subtitulos"`
	Proxies         []string `json:"proxies" validate:"required,min=1,dive,ipport" help:"IP:port of the remisiers, with commas"`
	Engines         []string `json:"engines" validate:"required,min=1,dive,ipport" help:"IP:port of the engines, to ask what ran"`
	Seconds         int64    `json:"seconds" validate:"min=1,max=3600" help:"how long new tickets are sent"`
	Rate            int64    `json:"rate" validate:"min=1,max=5000" help:"new tickets a second, all groups together"`
	Seed            int64    `json:"seed" help:"seed of arrivals and prompts"`
	ResendPermille  int64    `json:"resend_permille" validate:"min=0,max=1000" help:"once-only tickets sent again elsewhere, in thousandths"`
	HangUpPermille  int64    `json:"hangup_permille" validate:"min=0,max=1000" help:"callers who hang up early, in thousandths"`
	Skew            bool     `json:"skew" help:"send the largest group's tickets to one proxy only"`
	Report          string   `json:"report" help:"file for the report as JSON"`
	MinDonePermille int64    `json:"done_min_permille" validate:"min=0,max=1000" help:"least part of tickets that must be done, else the exit code is 1"`
	Faults          bool     `json:"faults" help:"faults are being caused meanwhile: runs of killed engines are not counted"`
}

// Defaults of the settings.
func Defaults() Settings {
	return Settings{Scenario: "selat", Seconds: 10, Rate: 40, Seed: 1, ResendPermille: 50}
}

type group struct {
	name         string
	weight       int
	sharedBlocks int // parts of prompt that its callers share
}

type kind struct {
	name         string
	weight       int
	onceOnly     bool
	dueUS        int64
	ownBytes     int // bytes of prompt that are a ticket's own
	sharesPrefix bool
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
func CallerKey(g string) string { return "key-of-" + g }

// Told is what a caller was told of one sending of a ticket.
type Result struct {
	Group, Kind, ID, Proxy      string
	Once                        bool
	Outcome, Reason             string // outcome "" is an answer without its last frame
	Status                      int
	FirstPieceUS, TotalUS       int64
	DueUS                       int64
	Violation                   string // what was wrong with the frames
	HangsUp, Resent, FailedOver bool
	Generation                  uint64
}

type loadGenerator struct {
	settings   Settings
	scenario   scenario
	http       *http.Client
	mu         sync.Mutex
	results    []Result
	generation uint64 // newest that a proxy told of
}

// Run plays a load and reports. Broken says which must-nevers were broken.
func Run(s Settings) (*Report, error) {
	l := &loadGenerator{settings: s, scenario: scenarios[s.Scenario], http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	c := taskgroup.New(context.Background(), daemon.NewLogger("violetthread-standin", "callers"))
	defer c.Stop()
	rng := rand.New(rand.NewSource(s.Seed))
	prefix := map[string]string{}
	for _, g := range l.scenario.groups {
		prefix[g.name] = randomText(rng, g.sharedBlocks*1024)
	}
	l.fetchGeneration()
	end := clock.Now() + s.Seconds*1_000_000
	var wg sync.WaitGroup
	for n := 0; clock.Now() < end; n++ {
		g := pickWeighted(rng, l.scenario.groups, func(g group) int { return g.weight })
		k := pickWeighted(rng, l.scenario.kinds, func(k kind) int { return k.weight })
		p := s.Proxies[rng.Intn(len(s.Proxies))]
		if s.Skew && g.name == l.scenario.groups[0].name {
			p = s.Proxies[0]
		}
		prompt := randomText(rng, k.ownBytes)
		if k.sharesPrefix {
			prompt = prefix[g.name] + prompt
		}
		t := Result{Group: g.name, Kind: k.name, ID: fmt.Sprintf("%s-%d-%d", s.Scenario, s.Seed, n), Proxy: p, Once: k.onceOnly, DueUS: k.dueUS, Generation: l.observeGeneration(0),
			HangsUp: rng.Int63n(1000) < s.HangUpPermille}
		again := k.onceOnly && rng.Int63n(1000) < s.ResendPermille
		q := s.Proxies[rng.Intn(len(s.Proxies))]
		wg.Add(1)
		c.Go("caller", func(ctx context.Context) {
			defer wg.Done()
			if again {
				wg.Add(1)
				c.Go("caller.again", func(ctx context.Context) {
					defer wg.Done()
					t2 := t
					t2.Proxy, t2.Resent, t2.HangsUp = q, true, false
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
func (g *loadGenerator) observeGeneration(e uint64) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.generation = max(g.generation, e)
	return g.generation
}

// agent is the generated client, for one proxy.
func (g *loadGenerator) client(proxy, key string) (*client.Client, error) {
	return client.NewClient("http://"+proxy, client.WithHTTPClient(g.http), client.WithKey(key))
}

// ask learns the era from the first proxy that tells.
func (g *loadGenerator) fetchGeneration() {
	for _, p := range g.settings.Proxies {
		ua, err := g.client(p, "")
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
			g.observeGeneration(e.Era)
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

func randomText(rng *rand.Rand, n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = "abcdefghijklmnopqrstuvwxyz     "[rng.Intn(31)]
	}
	return string(b)
}

func (g *loadGenerator) send(ctx context.Context, t Result, prompt string) {
	began := clock.Now()
	first := t
	g.exchange(ctx, &t, prompt, began)
	// A caller that was turned away at the door, or found nobody there, goes to
	// another proxy once: nothing of its ticket was taken in.
	if (t.Status == http.StatusServiceUnavailable || t.Reason == "nobody-there") && len(g.settings.Proxies) > 1 {
		i := slices.Index(g.settings.Proxies, first.Proxy)
		first.Proxy, first.FailedOver = g.settings.Proxies[(i+1+len(first.ID)%(len(g.settings.Proxies)-1))%len(g.settings.Proxies)], true
		t = first
		g.exchange(ctx, &t, prompt, began)
	}
	t.TotalUS = clock.Now() - began
	g.mu.Lock()
	g.results = append(g.results, t)
	g.mu.Unlock()
}

func (g *loadGenerator) exchange(ctx context.Context, t *Result, prompt string, began int64) {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(t.DueUS+10_000_000))
	defer stop()
	ua, err := g.client(t.Proxy, CallerKey(t.Group))
	if err != nil {
		t.Violation = err.Error()
		return
	}
	r, err := ua.SendTicket(ctx, client.Ticket{Kind: t.Kind, Id: &t.ID, Era: &t.Generation, DueUs: &t.DueUS, Prompt: prompt})
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
			t.Violation = fmt.Sprintf("status %d without a typed reason: %.100s", r.StatusCode, x)
		}
		t.Outcome, t.Reason = f.Frame, lo.FromPtr(f.Reason)
		g.observeGeneration(lo.FromPtr(f.Era))
		return
	}
	sc := bufio.NewScanner(r.Body)
	sc.Buffer(nil, 1<<20)
	run, n := "", 0
	for sc.Scan() {
		var f client.Frame
		if err := json.Unmarshal(sc.Bytes(), &f); err != nil {
			t.Violation = "no JSON: " + sc.Text()
			return
		}
		if t.Outcome != "" {
			t.Violation = "a frame after the last one: " + sc.Text()
			return
		}
		switch f.Frame {
		case "accepted":
			g.observeGeneration(lo.FromPtr(f.Era))
		case "piece":
			if n == 0 {
				t.FirstPieceUS = clock.Now() - began
			}
			a, i, _ := strings.Cut(lo.FromPtr(f.Text), "#")
			if run == "" {
				run = a
			}
			if a != run || i != fmt.Sprint(n) || lo.FromPtr(f.N) != n {
				t.Violation = fmt.Sprintf("stitched: piece %d of %s after %d of %s", lo.FromPtr(f.N), lo.FromPtr(f.Text), n, run)
			}
			n++
			if t.HangsUp {
				t.Reason = "hung-up"
				return
			}
		default:
			if !f.Last() {
				t.Violation = "frame of no known kind: " + f.Frame
				return
			}
			t.Outcome, t.Reason = f.Frame, lo.FromPtr(f.Reason)
			if f.Frame == "done" && (f.Pieces == nil || *f.Pieces != n || n != engine.PiecesByKind[t.Kind]) {
				t.Violation = fmt.Sprintf("done after %d pieces", n)
			}
			if f.Frame != "done" && lo.FromPtr(f.Remedy) == "" {
				t.Violation = "no remedy with " + t.Reason
			}
		}
	}
}

// Report is what a load came to.
type Report struct {
	Scenario          string                    `json:"scenario"`
	Sent              int                       `json:"sent"`
	Done              int                       `json:"done"`
	Rejected          int                       `json:"refused"`
	Unknown           int                       `json:"unknown"`
	Incomplete        int                       `json:"incomplete"`
	FailedOver        int                       `json:"moved_to_another_proxy"`
	Reasons           map[string]int            `json:"reasons"`
	WorstLatenessUS   int64                     `json:"worst_lateness_us"`
	LateRejections    int                       `json:"refused_after_half_the_due"`
	FirstPieceUS      [3]int64                  `json:"first_piece_us_p50_p90_p99"`
	TotalUS           [3]int64                  `json:"total_us_p50_p90_p99"`
	Runs              int                       `json:"runs"`
	Blocks            int                       `json:"parts"`
	ReusedBlocks      int                       `json:"parts_reused"`
	TransferredBlocks int                       `json:"parts_taken_from_peers"`
	Groups            map[string]map[string]int `json:"groups"`
	Violations        []string                  `json:"broken"`
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
func (g *loadGenerator) report() (*Report, error) {
	r := &Report{Scenario: g.settings.Scenario, Reasons: map[string]int{}, Groups: map[string]map[string]int{}, Violations: []string{}}
	c := engineapi.NewClient()
	runs := map[string][]engine.ObservedRun{}
	for _, a := range g.settings.Engines {
		var s engine.Observations
		if err := c.Get(context.Background(), a, "/v1/seen", 5_000_000, &s); err != nil {
			if g.settings.Faults {
				continue
			}
			return nil, trace.Wrap(err, "an engine does not tell what ran; give --faults true if that is meant")
		}
		for _, x := range s.Runs {
			runs[x.Group+"/"+x.RequestID] = append(runs[x.Group+"/"+x.RequestID], x)
			r.Runs++
			r.Blocks += x.Blocks
			r.ReusedBlocks += x.Reused
			r.TransferredBlocks += x.Transferred
		}
		for _, m := range s.MixedBlocks {
			r.Violations = append(r.Violations, "mixed cache at "+s.Name+": "+m)
		}
		for _, m := range s.StaleOwners {
			r.Violations = append(r.Violations, "two owners at "+s.Name+": "+m)
		}
	}
	var first, total []int64
	byID := map[string][]Result{}
	for _, t := range g.results {
		r.Sent++
		if t.FailedOver {
			r.FailedOver++
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
			first, total = append(first, t.FirstPieceUS), append(total, t.TotalUS)
		case "refused":
			r.Rejected++
			if t.TotalUS > t.DueUS/2 {
				r.LateRejections++
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
		if x := t.TotalUS - t.DueUS; x > r.WorstLatenessUS {
			r.WorstLatenessUS = x
		}
		if t.Violation != "" {
			r.Violations = append(r.Violations, t.Group+"/"+t.ID+": "+t.Violation)
		}
	}
	r.FirstPieceUS, r.TotalUS = percentiles(first), percentiles(total)
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
			r.Violations = append(r.Violations, fmt.Sprintf("%s ran %d times", id, n))
		case ts[0].Once && dones > 1:
			r.Violations = append(r.Violations, fmt.Sprintf("%s was done %d times", id, dones))
		case allRefused && n > 0:
			r.Violations = append(r.Violations, fmt.Sprintf("%s was refused and ran", id))
		case dones > 0 && n == 0 && !g.settings.Faults:
			r.Violations = append(r.Violations, fmt.Sprintf("%s was done and no engine ran it", id))
		}
	}
	sort.Strings(r.Violations)
	if g.settings.MinDonePermille > 0 && int64(r.Done)*1000 < g.settings.MinDonePermille*int64(r.Sent) {
		r.Violations = append(r.Violations, fmt.Sprintf("only %d of %d done", r.Done, r.Sent))
	}
	if g.settings.Report != "" {
		b, _ := json.MarshalIndent(r, "", "  ")
		if err := os.WriteFile(g.settings.Report, append(b, '\n'), 0o644); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Print writes the report for a person.
func (r *Report) Print(w io.Writer) {
	ms := func(x int64) string { return time.Duration(x * 1000).Round(time.Millisecond).String() }
	fmt.Fprintf(w, "scenario          %s\nsent              %d\ndone              %d\nrefused           %d\nunknown           %d\nincomplete        %d\nmoved on at door  %d\n",
		r.Scenario, r.Sent, r.Done, r.Rejected, r.Unknown, r.Incomplete, r.FailedOver)
	fmt.Fprintf(w, "first piece       p50 %s  p90 %s  p99 %s\n", ms(r.FirstPieceUS[0]), ms(r.FirstPieceUS[1]), ms(r.FirstPieceUS[2]))
	fmt.Fprintf(w, "whole answer      p50 %s  p90 %s  p99 %s\n", ms(r.TotalUS[0]), ms(r.TotalUS[1]), ms(r.TotalUS[2]))
	fmt.Fprintf(w, "worst lateness    %s\nlate refusals     %d\n", ms(r.WorstLatenessUS), r.LateRejections)
	fmt.Fprintf(w, "runs              %d\nparts reused      %d of %d (%d taken from peers)\n", r.Runs, r.ReusedBlocks, r.Blocks, r.TransferredBlocks)
	for _, k := range sortedKeys(r.Reasons) {
		fmt.Fprintf(w, "reason            %-20s %d\n", k, r.Reasons[k])
	}
	for _, g := range sortedKeys(r.Groups) {
		fmt.Fprintf(w, "group             %-16s done %d, refused %d, unknown %d, incomplete %d\n", g, r.Groups[g]["done"], r.Groups[g]["refused"], r.Groups[g]["unknown"], r.Groups[g]["incomplete"])
	}
	for _, b := range r.Violations {
		fmt.Fprintln(w, "BROKEN            "+b)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "no must-never was broken")
	}
}

func sortedKeys[V any](m map[string]V) []string {
	ks := lo.Keys(m)
	sort.Strings(ks)
	return ks
}
