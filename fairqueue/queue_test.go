package fairqueue

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// queueCommand is a command of testdata/queue with its arguments.
type queueCommand struct {
	group                       string
	n, deadline, cost, capacity int
}

func scanQueueCommand(t *testing.T, d *datadriven.TestData) (command queueCommand) {
	t.Helper()
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "group":
			command.group = arg.Vals[0]
		case "n":
			d.ScanArgs(t, "n", &command.n)
		case "due":
			d.ScanArgs(t, "due", &command.deadline)
		case "cost":
			d.ScanArgs(t, "cost", &command.cost)
		case "capacity":
			d.ScanArgs(t, "capacity", &command.capacity)
		}
	}
	return command
}

// TestQueue runs the commands of testdata/queue against a queue: new, share, push, serve and
// ahead, which estimates a wait.
func TestQueue(t *testing.T) {
	q := NewQueue()
	datadriven.RunTest(t, "testdata/queue", func(t *testing.T, d *datadriven.TestData) string {
		command := scanQueueCommand(t, d)
		switch d.Cmd {
		case "new":
			q = NewQueue()
			return "ok\n"
		case "share":
			q.SetShare(command.group, float64(command.n))
			return "ok\n"
		case "push":
			for range max(command.n, 1) {
				id := fmt.Sprintf("%s%d", command.group, q.Waiting(command.group))
				q.Push(command.group, Item{ID: id, Deadline: int64(command.deadline), Cost: int64(command.cost)})
			}
			return fmt.Sprintf("%d waiting\n", q.Len())
		case "serve":
			return serve(q, command, d.HasArg("order"))
		case "ahead":
			return fmt.Sprintln(q.EstimateWait(command.group, int64(command.deadline), command.capacity))
		}
		return "unknown command\n"
	})
}

// serve dequeues as many items as the command says, and returns either their order or the number
// of items of each group. With a capacity of 0 no group is limited, and every run ends at once.
func serve(q *Queue, command queueCommand, showOrder bool) string {
	served := map[string]int{}
	var order []string
	for range command.n {
		group, item, found := q.Next(func(_ string, running int) bool {
			return command.capacity == 0 || running < command.capacity
		})
		if !found {
			break
		}
		q.Dequeue(group, item.ID)
		if command.capacity == 0 {
			q.Release(group)
		}
		served[group]++
		order = append(order, item.ID)
	}
	if showOrder {
		return strings.Join(order, " ") + "\n"
	}
	var counts []string
	for group, n := range served {
		counts = append(counts, fmt.Sprintf("%s=%d", group, n))
	}
	slices.Sort(counts)
	return strings.Join(counts, " ") + "\n"
}
