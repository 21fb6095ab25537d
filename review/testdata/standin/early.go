package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// How the case "early" is timed.
const (
	// earlyReadOn is how long after its answer the engine reads on.
	earlyReadOn = 1200 * time.Millisecond
	// versionApply is the bound of the settings.
	versionApply = 12 * time.Second
	// longRequestBytes is a body within max-body-bytes.
	longRequestBytes = 1_000_000
	// earlyFrom and earlyFor are when long requests are turned away early, from the naming on.
	earlyFrom = 9800 * time.Millisecond
	earlyFor  = 5 * time.Second
	// maxEarlyShare is the largest part of the engine's answers then.
	maxEarlyShare = 0.02
)

// playEarly: new weights are named while both engines run streams. Each takes its order, and turns
// requests away until its streams have ended and the weights are loaded. As trouble, one of the two
// turns two long requests away before they are in; it keeps the connection and reads on later.
func playEarly(ctx context.Context, f *fleet, trouble bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := &sentBodies{bodies: map[string][]byte{}}
	ill := &engine{record: f.record, id: "i-1", service: serviceName, version: 1, sent: sent, readOn: earlyReadOn}
	well := &engine{record: f.record, id: "i-2", service: serviceName, version: 1, sent: sent}
	for _, e := range []*engine{ill, well} {
		if err := e.start(ctx, "127.0.0.1"); err != nil {
			return err
		}
	}
	var err error
	if f.platform, err = startPlatform(ctx, "127.0.0.1", func() []*engine { return []*engine{ill, well} }); err != nil {
		return err
	}
	for range 3 {
		f.addControl()
	}
	proxy := f.addProxy()
	if err := f.startAll(); err != nil {
		return err
	}
	if err := f.configure(ctx, config(1)); err != nil {
		return err
	}
	c := newClient(f.record, sent, proxy.frontendAddr())
	c.apart = true
	for c.try(ctx, "/ticket/short", 1500, 4*time.Second).status != 200 {
		time.Sleep(200 * time.Millisecond)
	}
	var wg sync.WaitGroup
	send := func(count int, path string, size int, deadline time.Duration) {
		for range count {
			wg.Add(1)
			go func() { defer wg.Done(); c.try(ctx, path, size, deadline) }()
			time.Sleep(5 * time.Millisecond)
		}
	}
	if err := f.nameVersion(ctx, 2); err != nil {
		return err
	}
	named := time.Now()
	send(6, "/ticket/long", 1500, 10*time.Second) // some at each engine
	time.Sleep(time.Until(named.Add(4500 * time.Millisecond)))
	send(3, "/ticket/long", 1500, 10*time.Second) // at the engine that has no order yet
	time.Sleep(time.Until(named.Add(earlyFrom)))
	ill.countEarly(trouble)
	time.Sleep(time.Until(named.Add(10500 * time.Millisecond)))
	send(2, "/mandate/long-prompt", longRequestBytes, 8*time.Second)
	// Short requests from then on, several at a time.
	time.Sleep(time.Until(named.Add(versionApply - 300*time.Millisecond)))
	for time.Since(named) < earlyFrom+earlyFor && ctx.Err() == nil {
		send(8, "/ticket/short", 1500, 4*time.Second)
		time.Sleep(60 * time.Millisecond)
	}
	early, answers := ill.earlyCounts()
	wg.Wait()
	f.record.note("%s turned %d requests away early, of %d answers in %v", ill.id, early, answers, earlyFor)
	if trouble && (early == 0 || float64(early) > maxEarlyShare*float64(answers)) {
		f.record.broken = nil
		return fmt.Errorf("%d of %d answers were early: outside the dose", early, answers)
	}
	return nil
}

// countEarly begins to count answers, and to turn long requests away early if early is set.
func (e *engine) countEarly(early bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.early, e.earlyAnswers, e.answers = early, 0, 0
}

// earlyCounts ends that, and tells how many answers were early, of how many.
func (e *engine) earlyCounts() (early, answers int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.early = false
	return e.earlyAnswers, e.answers
}

// countAnswer counts an answer, and reports whether it goes out before a long request is in.
func (e *engine) countAnswer(turnedAway, long bool) (early bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	early = turnedAway && long && e.early
	if early {
		e.earlyAnswers++
	}
	return early
}
