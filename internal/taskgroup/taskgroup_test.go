package taskgroup_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"violetthread/internal/taskgroup"
)

// long is a period that does not pass within a test.
const long = time.Hour

func newGroup(t *testing.T) *taskgroup.Group {
	t.Helper()
	group := taskgroup.New(context.Background(), logr.Discard())
	t.Cleanup(group.Stop)
	return group
}

// TestStop: Stop ends the context and returns after every goroutine has returned.
func TestStop(t *testing.T) {
	group := newGroup(t)
	ended := 0
	for range 3 {
		group.Go("waits", func(ctx context.Context) { <-ctx.Done() })
	}
	group.Go("counts", func(ctx context.Context) { <-ctx.Done(); ended++ })
	group.Stop()
	if ended != 1 || group.Context().Err() == nil {
		t.Fatalf("%d ended, context %v", ended, group.Context().Err())
	}
}

// TestParentContext: the group's context ends with its parent.
func TestParentContext(_ *testing.T) {
	parent, cancel := context.WithCancel(context.Background())
	group := taskgroup.New(parent, logr.Discard())
	cancel()
	<-group.Context().Done()
	group.Stop()
}

// TestEvery: the first step runs immediately, the next after the period. A further step is
// allowed when the period ends at the same moment as the context.
func TestEvery(t *testing.T) {
	for _, test := range []struct {
		name   string
		period time.Duration
		steps  int
	}{
		{"first", long, 1},
		{"repeated", time.Microsecond, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			steps := 0
			taskgroup.Every(ctx, test.period, func(context.Context) {
				if steps++; steps == test.steps {
					cancel()
				}
			})
			if steps < test.steps || test.period == long && steps > test.steps {
				t.Fatalf("%d steps, not %d", steps, test.steps)
			}
		})
	}
}

// TestServe: values are handled in order, and tick is called as well.
func TestServe(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	values := make(chan int, 2)
	values <- 1
	values <- 2
	var handled []int
	taskgroup.Serve(ctx, values, time.Microsecond, func(value int) { handled = append(handled, value) }, func() {
		if len(handled) == 2 {
			cancel()
		}
	})
	if len(handled) != 2 || handled[0] != 1 || handled[1] != 2 {
		t.Fatalf("handled %v", handled)
	}
}

// TestChannels: Send and Receive succeed when the channel is ready and fail when the context
// has ended; TrySend fails when the channel is full.
func TestChannels(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	ctx := context.Background()
	values := make(chan int, 1)
	closed := make(chan int)
	close(closed)
	check := func(name string, got, want bool) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %v, not %v", name, got, want)
		}
	}
	_, ok := taskgroup.Receive(ended, values)
	check("receive after the end", ok, false)
	_, ok = taskgroup.Receive(ctx, closed)
	check("receive from a closed channel", ok, false)
	check("send", taskgroup.Send(ctx, values, 1), true)
	check("send after the end to a full channel", taskgroup.Send(ended, values, 2), false)
	check("try to send to a full channel", taskgroup.TrySend(values, 3), false)
	value, ok := taskgroup.Receive(ctx, values)
	check("receive", ok && value == 1, true)
	check("try to send", taskgroup.TrySend(values, 4), true)
}

// TestSleep: Sleep returns true after the time, or false when the context ends.
func TestSleep(t *testing.T) {
	if !taskgroup.Sleep(context.Background(), 1) {
		t.Error("one microsecond did not pass")
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if taskgroup.Sleep(ended, int64(long/time.Microsecond)) {
		t.Error("an hour passed")
	}
}
