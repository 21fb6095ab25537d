// Package taskgroup is the only package of the module that starts goroutines
// (DEVELOPERS.md). A Group starts goroutines that are stopped together. The functions in
// select.go wrap the select statements and timer loops that these goroutines need.
//
// A Group's methods may be called from any goroutine, except that Stop must not be called
// from a goroutine of the group, since it waits for all of them.
package taskgroup

import (
	"context"
	"runtime/debug"
	"sync"

	"github.com/go-logr/logr"
)

// Group is a set of goroutines that are stopped together.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	log    logr.Logger
}

// New returns a group whose context is derived from ctx.
func New(ctx context.Context, log logr.Logger) *Group {
	derived, cancel := context.WithCancel(ctx)
	return &Group{ctx: derived, cancel: cancel, log: log}
}

// Context returns the group's context, which ends when the group is stopped or the context
// passed to New ends.
func (g *Group) Context() context.Context { return g.ctx }

// Log returns the logger passed to New.
func (g *Group) Log() logr.Logger { return g.log }

// Go runs task in a goroutine of the group; task must return soon after its context ends.
// A panic in task is logged with name and ends the process, since a step that was interrupted
// may have left inconsistent state.
func (g *Group) Go(name string, task func(ctx context.Context)) {
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		defer g.logPanic(name)
		task(g.ctx)
	}()
}

// logPanic logs a panic and repeats it. It must be deferred directly: recover has no effect in
// a function that a deferred function calls.
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
