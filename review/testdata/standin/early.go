package main

import (
	"context"
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
)

// playEarly: new weights are named while a stream runs. Its engine takes the order, and turns
// requests away until the stream has ended and the weights are loaded. Long requests are turned
// away before they are in; the engine keeps the connection and reads on later.
func playEarly(ctx context.Context, f *fleet, trouble bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := &sentBodies{bodies: map[string][]byte{}}
	e := &engine{record: f.record, id: "i-7f3a91c2", service: serviceName, version: 1, sent: sent, early: trouble, readOn: earlyReadOn}
	if err := e.start(ctx, "127.0.0.1"); err != nil {
		return err
	}
	var err error
	if f.platform, err = startPlatform(ctx, "127.0.0.1", func() []*engine { return []*engine{e} }); err != nil {
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
	for c.try(ctx, "/ticket/short", 1500, 4*time.Second).status != 200 {
		time.Sleep(200 * time.Millisecond)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	stream := func() { defer wg.Done(); c.try(ctx, "/ticket/long", 1500, 10*time.Second) }
	if err := f.nameVersion(ctx, 2); err != nil {
		return err
	}
	named := time.Now()
	wg.Add(1)
	go stream()
	// Six long requests while the engine turns requests away; then short ones, several at a time.
	time.Sleep(time.Until(named.Add(10500 * time.Millisecond)))
	for range 6 {
		wg.Add(1)
		go func() { defer wg.Done(); c.try(ctx, "/mandate/long-prompt", longRequestBytes, 8*time.Second) }()
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Until(named.Add(versionApply - 300*time.Millisecond)))
	for time.Since(named) < versionApply+3*time.Second && ctx.Err() == nil {
		for range 8 {
			wg.Add(1)
			go func() { defer wg.Done(); c.try(ctx, "/ticket/short", 1500, 4*time.Second) }()
		}
		time.Sleep(150 * time.Millisecond)
	}
	return nil
}
