package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// How the case "hangup" is played.
const (
	hangupProxies = 5
	// hangupShare is how many of the eight machines get SIGHUP in a round: a quarter.
	hangupShare  = 2
	hangupRounds = 3
	// hangupAfter is how long after its start a process gets the signal.
	hangupAfter = time.Millisecond
	// restartDelay is how long the platform waits before it starts a process that has ended.
	restartDelay = 300 * time.Millisecond
	// ownEndsAllowed is how often a process may end by itself: the rule counts machines with three.
	ownEndsAllowed = 2
	gracePeriod    = 8 * time.Second
)

// playHangup: proxies are stopped and started in turn, three times over the day. Their settings file
// changes as they start, and the platform says so by SIGHUP.
func playHangup(ctx context.Context, f *fleet, trouble bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := &sentBodies{bodies: map[string][]byte{}}
	e := &engine{record: f.record, id: "i-7f3a91c2", service: serviceName, version: 1, sent: sent}
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
	var proxies []*node
	for range hangupProxies {
		proxies = append(proxies, f.addProxy())
	}
	if err := f.startAll(); err != nil {
		return err
	}
	if err := f.configure(ctx, config(1)); err != nil {
		return err
	}
	ownEnds := map[*node]int{}
	for range hangupRounds {
		for _, n := range proxies[:hangupShare] {
			ended, err := f.restartWithHangup(n, trouble)
			if err != nil {
				return err
			}
			if ended {
				ownEnds[n]++
			}
			if err := f.awaitReady(ctx, n); err != nil {
				return err
			}
		}
	}
	machines := 0
	for n, ends := range ownEnds {
		f.record.note("%s ended %d times by itself", n.name, ends)
		if ends > ownEndsAllowed {
			machines++
		}
	}
	if machines >= max(2, len(f.nodes)/10) {
		f.record.broke("Fault: on %d of %d machines processes ended by themselves three times", machines, len(f.nodes))
	}
	return nil
}

// restartWithHangup stops a process in order, starts it again with other settings and, as trouble,
// changes these once more and sends SIGHUP. It reports whether the process ended by itself; it is
// started again then.
func (f *fleet) restartWithHangup(n *node, trouble bool) (ended bool, err error) {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(gracePeriod):
		n.signal(syscall.SIGKILL)
		<-n.ended
	}
	time.Sleep(restartDelay)
	if err := n.start(false); err != nil {
		return false, err
	}
	time.Sleep(hangupAfter)
	if trouble {
		n.changeSettings()
		n.signal(syscall.SIGHUP)
		f.record.note("%s got SIGHUP: its settings file has changed", n.name)
	}
	select {
	case <-n.ended:
		f.record.note("%s ended by itself: %v", n.name, n.command.ProcessState)
		time.Sleep(restartDelay)
		return true, n.start(false)
	case <-time.After(time.Second):
		return false, nil
	}
}

// changeSettings puts another settings file in the place of the one there is.
func (n *node) changeSettings() {
	path := filepath.Join(n.fleet.folder, n.name, "boot.toml")
	text := n.settings(false) + fmt.Sprintf("# changed at %d\n", time.Now().UnixNano())
	if os.WriteFile(path+".next", []byte(text), 0o600) == nil {
		_ = os.Rename(path+".next", path)
	}
}

func (f *fleet) awaitReady(ctx context.Context, n *node) error {
	for !f.isReady(n) {
		if ctx.Err() != nil {
			return fmt.Errorf("%s does not get ready", n.name)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}
