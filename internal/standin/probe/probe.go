// Package probe measures a running fleet from the outside.
package probe

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"violetthread/cacheindex"
	"violetthread/internal/callerapi"
	"violetthread/internal/clock"
	"violetthread/internal/engineapi"
	"violetthread/internal/standin/callers"
	"violetthread/internal/taskgroup"
)

// Latency asks for paired runs: the same ticket through a proxy and straight to
// an engine that no fleet uses.
type LatencyProbe struct {
	Proxy        string `json:"proxy" validate:"required,ipport" help:"IP:port of a remisier"`
	Engine       string `json:"engine" validate:"required,ipport" help:"IP:port of an engine that is on nobody's list, named spare"`
	Group        string `json:"group" validate:"required" help:"group whose example key is used"`
	Kind         string `json:"kind" validate:"required" help:"a kind that is not once-only"`
	OnceOnlyKind string `json:"once" validate:"required" help:"a once-only kind with as many pieces"`
	Pairs        int    `json:"pairs" validate:"min=5,max=100000" help:"pairs to send"`
}

// LatencyDefaults are the defaults.
func LatencyDefaults() LatencyProbe {
	return LatencyProbe{Group: "dealing-desk", Kind: "plain", OnceOnlyKind: "instruction-tag", Pairs: 200}
}

// first sends a body and returns the time to the first piece.
func firstPiece(c *http.Client, url, key string, body any) (int64, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	at := clock.Now()
	q, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Authorization", "Bearer "+key)
	r, err := c.Do(q)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	if r.StatusCode != 200 {
		x, _ := io.ReadAll(r.Body)
		return 0, trace.BadParameter("%s answered %d: %.200s", url, r.StatusCode, x)
	}
	sc := bufio.NewScanner(r.Body)
	var t int64
	for sc.Scan() {
		if t == 0 && strings.Contains(sc.Text(), `#0"`) {
			t = clock.Now() - at
		}
	}
	if t == 0 {
		return 0, trace.BadParameter("%s sent no piece", url)
	}
	return t, sc.Err()
}

func median(xs []int64) int64 {
	s := slices.Clone(xs)
	slices.Sort(s)
	return s[len(s)/2]
}

// Run sends the pairs, alternating which goes first, and prints medians.
func (p LatencyProbe) Run() error {
	api := engineapi.NewClient()
	var rep engineapi.Report
	if err := api.Get(context.Background(), p.Engine, "/v1/report?inc=0&after=0", 2_000_000, &rep); err != nil {
		return err
	}
	id := cacheindex.NodeID(rep.Name, rep.Incarnation)
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var direct, proxy, once, dProxy, dOnce []int64
	tag := clock.Now()
	for i := 0; i < p.Pairs; i++ {
		prompt := fmt.Sprintf("probe %d", i)
		run := func() (int64, error) {
			return firstPiece(c, "http://"+p.Engine+"/v1/run", "", engineapi.RunRequest{Attempt: fmt.Sprint("probe", tag, i), RequestID: fmt.Sprint("p", i), Group: p.Group, Kind: p.OnceOnlyKind,
				Domain: "commons", Weights: rep.Weights, FencingToken: 1, NodeID: id, Prompt: prompt, DueUS: 5_000_000})
		}
		send := func(kind string) func() (int64, error) {
			return func() (int64, error) {
				return firstPiece(c, "http://"+p.Proxy+"/v1/tickets", callers.CallerKey(p.Group), callerapi.Request{Kind: kind, ID: fmt.Sprintf("%s-%d-%d", kind, tag, i), Prompt: prompt})
			}
		}
		fs := []func() (int64, error){run, send(p.Kind), send(p.OnceOnlyKind)}
		var t [3]int64
		for k := range fs {
			j := (k + i) % 3 // each goes first as often as the others
			x, err := fs[j]()
			if err != nil {
				return err
			}
			t[j] = x
		}
		direct, proxy, once = append(direct, t[0]), append(proxy, t[1]), append(once, t[2])
		dProxy, dOnce = append(dProxy, t[1]-t[0]), append(dOnce, t[2]-t[1])
	}
	fmt.Printf("first piece, medians of %d: direct %d us, by proxy %d us, once-only by proxy %d us\n", p.Pairs, median(direct), median(proxy), median(once))
	fmt.Printf("paired differences, medians: proxy adds %d us, a claim adds %d us\n", median(dProxy), median(dOnce))
	return nil
}

// Rollout measures how long an acknowledged plan takes to be in force everywhere.
type RolloutProbe struct {
	Controls []string `json:"controls" old:"registrars" validate:"required,min=1,dive,ipport" help:"IP:port of control nodes' HTTP sides"`
	Proxies  []string `json:"proxies" validate:"required,min=1,dive,ipport" help:"IP:port of the remisiers"`
	Changes  int      `json:"times" validate:"min=1,max=10000" help:"changes to make"`
}

// RolloutDefaults are the defaults.
func RolloutDefaults() RolloutProbe { return RolloutProbe{Changes: 20} }

// Run makes the changes and prints the median and the worst time.
func (x RolloutProbe) Run() error {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	var ack, all []int64
	for i := 0; i < x.Changes; i++ {
		at := clock.Now()
		q, err := http.NewRequest(http.MethodPatch, "http://"+x.Controls[i%len(x.Controls)]+"/v1/plan", strings.NewReader(fmt.Sprintf(`{"notes":{"rollout":%d}}`, at)))
		if err != nil {
			return err
		}
		r, err := c.Do(q)
		if err != nil {
			return err
		}
		var a struct{ Rev uint64 }
		err = json.NewDecoder(r.Body).Decode(&a)
		_ = r.Body.Close()
		if err != nil || r.StatusCode != 200 {
			return trace.BadParameter("the change was answered with %d", r.StatusCode)
		}
		done := clock.Now()
		ack = append(ack, done-at)
		for _, p := range x.Proxies {
			for {
				rev, err := planRevision(c, p)
				if err != nil {
					return err
				}
				if rev >= a.Rev {
					break
				}
				taskgroup.Sleep(context.Background(), 2_000)
			}
		}
		all = append(all, clock.Now()-done)
	}
	fmt.Printf("plan changes: %d; acknowledged after a median of %d us, worst %d us; in force at all %d proxies after a median of %d us, worst %d us\n",
		x.Changes, median(ack), slices.Max(ack), len(x.Proxies), median(all), slices.Max(all))
	return nil
}

func planRevision(c *http.Client, p string) (uint64, error) {
	r, err := c.Get("http://" + p + "/metrics")
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	sc := bufio.NewScanner(r.Body)
	for sc.Scan() {
		if v, ok := strings.CutPrefix(sc.Text(), "violetthread_plan_rev "); ok {
			var f float64
			_, err := fmt.Sscan(v, &f)
			return uint64(f), err
		}
	}
	return 0, trace.NotFound("%s shows no violetthread_plan_rev", p)
}

// CPU prints the processor time that processes have used, for differences.
type CPUProbe struct {
	PIDs []string `json:"pids" validate:"required,min=1" help:"process ids, with commas"`
}

// Run prints the sum in microseconds.
func (p CPUProbe) Run() error {
	var sum int64
	for _, p := range p.PIDs {
		b, err := os.ReadFile("/proc/" + p + "/stat")
		if err != nil {
			return trace.NotFound("process %s is not there", p)
		}
		f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+2:]))
		var u, s int64
		if _, err := fmt.Sscan(f[11]+" "+f[12], &u, &s); err != nil {
			return err
		}
		sum += (u + s) * 10_000 // clock ticks of a hundredth of a second
	}
	fmt.Println(sum)
	return nil
}
