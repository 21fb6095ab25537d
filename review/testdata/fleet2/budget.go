package main

import (
	"fmt"
	"os"
	"sort"
	"time"
)

var processID = os.Getpid()

// budget: the engines of a service fail every run, so that each request of an idempotent route is worth
// another try. Twice, three of five proxies are killed at once, and come back within a second.
func budget(f *fleet, trouble bool) (outcome, error) {
	seeds := []int{firstCore, firstCore + 1, firstCore + 2}
	for _, machine := range seeds {
		if err := f.start("control", machine, true, seeds...); err != nil {
			return outcome{}, err
		}
	}
	var engines []*engine
	for i := range 4 {
		e, err := f.startEngine(fmt.Sprintf("i-%d", i+1), firstEngine+i, 1, true)
		if err != nil {
			return outcome{}, err
		}
		engines = append(engines, e)
	}
	if err := f.order(seeds, "PUT", "/configuration", "0", configuration(1, "idempotent", "/a/"), 20*time.Second); err != nil {
		return outcome{}, err
	}
	proxies := []int{firstProxy, firstProxy + 1, firstProxy + 2, firstProxy + 3, firstProxy + 4}
	for _, machine := range proxies {
		if err := f.start("proxy", machine, true, seeds...); err != nil {
			return outcome{}, err
		}
	}
	if err := f.awaitReady(20*time.Second, proxies...); err != nil {
		return outcome{}, err
	}
	time.Sleep(5 * time.Second) // until all are in touch
	c := &clients{fleet: f, path: "/a/x", proxies: proxies}
	restarts := make(chan error, len(herdKills))
	if trouble {
		go func() {
			begin := time.Now()
			for _, at := range herdKills {
				time.Sleep(time.Until(begin.Add(at)))
				restarts <- f.restartProxies(proxies[:3], seeds)
			}
		}()
	}
	f.note("clients start: 16 requests a second for 22 s")
	c.run(16, 22*time.Second)
	if trouble {
		for range herdKills {
			if err := <-restarts; err != nil {
				return outcome{}, err
			}
		}
	}
	return checkBudget(f, c, engines), nil
}

// herdKills are the times of the kills, after the clients' start.
var herdKills = []time.Duration{3300 * time.Millisecond, 6600 * time.Millisecond}

// restartProxies kills proxies at once and starts them again 0.3 s later.
func (f *fleet) restartProxies(machines, seeds []int) error {
	for _, machine := range machines {
		f.kill("proxy", machine)
	}
	time.Sleep(300 * time.Millisecond)
	for _, machine := range machines {
		if err := f.start("proxy", machine, false, seeds...); err != nil {
			return err
		}
	}
	return nil
}

// checkBudget checks the rule BUDGET: in every span of retry-window-s, arrivals beyond the first of each
// request are at most the ratio times the requests, of that window, the one before or the one half before,
// whichever holds the most, and the allowance.
func checkBudget(f *fleet, c *clients, engines []*engine) outcome {
	const ratio, allowance, window = 0.2, 58.0, 10 * time.Second
	var arrived []arrival
	for _, e := range engines {
		arrived = append(arrived, e.arrivals()...)
	}
	sort.Slice(arrived, func(i, j int) bool { return arrived[i].at < arrived[j].at })
	seen := map[string]bool{}
	var further []time.Duration
	for _, a := range arrived {
		if seen[a.attempt] {
			further = append(further, a.at)
		}
		seen[a.attempt] = true
		f.note("engine %s got %s at %.3f", a.engine, a.attempt, a.at.Seconds())
	}
	requests := func(from time.Duration) (n int) {
		for _, r := range c.sent {
			if r.at >= from && r.at < from+window {
				n++
			}
		}
		return n
	}
	worst, text := -1e9, ""
	for _, from := range further {
		n := 0
		for _, at := range further {
			if at >= from && at < from+window {
				n++
			}
		}
		counted := max(requests(from), requests(from-window/2), requests(from-window))
		limit := ratio*float64(counted) + allowance
		if over := float64(n) - limit; over > worst {
			worst = over
			text = fmt.Sprintf("from %.3f s on, the service got %d arrivals beyond the first of each request in 10 s; the limit is 0.2 x %d + 58 = %.1f", from.Seconds(), n, counted, limit)
		}
	}
	f.note("answers by status: %v; arrivals %d, beyond the first %d", c.statuses(), len(arrived), len(further))
	return outcome{worst > 0, text}
}
