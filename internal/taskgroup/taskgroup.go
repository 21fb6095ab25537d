// Package taskgroup is the only place of the module where goroutines start
// (DEVELOPERS.md). A Group starts goroutines that end together; see select.go for the select
// statements and timer loops that they share.
//
// A Group's methods may be called from any goroutine, except that Stop must not be called
// from one of the group's own: it waits for all of them.
package taskgroup

import (
	"context"
	"runtime/debug"
	"sync"

	"github.com/go-logr/logr"
)

// Group is a set of goroutines that end together.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	log    logr.Logger
}

// New makes a group whose context is derived from ctx.
func New(ctx context.Context, log logr.Logger) *Group {
	derived, cancel := context.WithCancel(ctx)
	return &Group{ctx: derived, cancel: cancel, log: log}
}

// Context ends when the group is stopped, or the context that it was made with ends.
func (g *Group) Context() context.Context { return g.ctx }

// Log is the log that the group was made with.
func (g *Group) Log() logr.Logger { return g.log }

// Go runs task in a goroutine of the group; it must return soon after its context ends.
// A panic in it is logged under the name and ends the process: the state that a
// half-finished step leaves behind is not to be trusted.
func (g *Group) Go(name string, task func(ctx context.Context)) {
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		defer g.logPanic(name)
		task(g.ctx)
	}()
}

// logPanic must be deferred itself: recover has no effect further down.
func (g *Group) logPanic(name string) {
	if cause := recover(); cause != nil {
		g.log.Info("panic", "group", name, "cause", cause, "stack", string(debug.Stack()))
		panic(cause)
	}
}

// Stop ends the group's context and waits until all its goroutines have returned.
func (g *Group) Stop() {
	g.cancel()
	g.wait.Wait()
}
