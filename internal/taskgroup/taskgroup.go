// Package taskgroup is the one place where goroutines start, and where the select
// loops that processes need are written once.
package taskgroup

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Group is a set of goroutines that end together.
type Group struct {
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	log  logr.Logger
}

// New makes a group under ctx.
func New(ctx context.Context, log logr.Logger) *Group {
	c, stop := context.WithCancel(ctx)
	return &Group{ctx: c, stop: stop, log: log}
}

// Context ends when the group is stopped.
func (c *Group) Context() context.Context { return c.ctx }

// Log is the group's log.
func (c *Group) Log() logr.Logger { return c.log }

// Go starts f. A panic in it is logged and ends the process: state that a
// half-run step left behind is not to be trusted.
func (c *Group) Go(name string, f func(ctx context.Context)) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer func() {
			if r := recover(); r != nil {
				c.log.Info("panic", "group", name, "cause", r, "stack", string(debug.Stack()))
				panic(r)
			}
		}()
		f(c.ctx)
	}()
}

// Stop ends the group and waits for all of it.
func (c *Group) Stop() {
	c.stop()
	c.wg.Wait()
}

// Every runs f now and then each period, until ctx ends.
func Every(ctx context.Context, period time.Duration, f func(context.Context)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Serve hands what arrives on ch to on, and calls tick each period between.
func Serve[T any](ctx context.Context, ch <-chan T, period time.Duration, on func(T), tick func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-ch:
			on(v)
		case <-t.C:
			tick()
		}
	}
}

// Wait returns the next of ch, or false once ctx ends.
func Receive[T any](ctx context.Context, ch <-chan T) (v T, ok bool) {
	select {
	case v, ok = <-ch:
		return v, ok
	case <-ctx.Done():
		return v, false
	}
}

// Offer puts v on ch unless that would block.
func TrySend[T any](ch chan<- T, v T) bool {
	select {
	case ch <- v:
		return true
	default:
		return false
	}
}

// Give puts v on ch, or returns false once ctx ends.
func Send[T any](ctx context.Context, ch chan<- T, v T) bool {
	select {
	case ch <- v:
		return true
	case <-ctx.Done():
		return false
	}
}

// Pause waits for us microseconds, or returns false once ctx ends.
func Sleep(ctx context.Context, us int64) bool {
	t := time.NewTimer(time.Duration(us) * time.Microsecond)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
