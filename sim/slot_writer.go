package sim

import (
	"fmt"

	"violetthread/quorum"
)

// SlotWriter writes and reads one key of every slot through any control node, so that lost
// data and stalled slots are detected.
type SlotWriter struct {
	*Host
	cluster        *Cluster
	histories      []*History // by slot
	acknowledgedAt []int64    // by slot, when a change was last acknowledged
	next           int
	// OnAcknowledged is called at each acknowledgement of a change.
	OnAcknowledged func(slot int)
}

const (
	slotWriteIntervalUS = 12_000
	slotWriteTimeoutUS  = 900_000
	// One of slotReadPeriod operations on a slot is a read.
	slotReadPeriod = 4
)

// NewSlotWriter adds a writer.
func NewSlotWriter(cluster *Cluster) *SlotWriter {
	slots := quorum.DefaultConfig("", 0).Slots
	s := &SlotWriter{cluster: cluster, acknowledgedAt: make([]int64, slots)}
	for i := range slots {
		s.histories = append(s.histories, NewHistory(cluster.world, keyOfSlot(i)))
	}
	s.Host = cluster.world.NewHost("slot-writer", "north", func() { s.Every(slotWriteIntervalUS, s.nextOperation) })
	return s
}

// keyOfSlot returns a key that belongs to a slot.
func keyOfSlot(slot int) string {
	for i := 0; ; i++ {
		if key := fmt.Sprintf("slot%d/%d", slot, i); int(slotOf(key)) == slot {
			return key
		}
	}
}

// nextOperation sends the next operation, slot by slot.
func (s *SlotWriter) nextOperation() {
	s.next++
	slot := s.next % len(s.histories)
	op := quorum.Operation{Type: quorum.OpPut, ExpectedRevision: quorum.AnyRevision, Value: []byte(fmt.Sprint("value", s.next))}
	if s.next/len(s.histories)%slotReadPeriod == 0 {
		op = quorum.Operation{Type: quorum.OpGet}
	}
	op.Key = s.histories[slot].key
	s.operate(s.liveNode(), slot, op, func(bool) {})
}

// operate runs an operation at a node and checks its answer.
func (s *SlotWriter) operate(node *ControlNode, slot int, op quorum.Operation, done func(ok bool)) {
	world := s.cluster.world
	from := world.now
	Call(s.Host, node.Host, op, slotWriteTimeoutUS,
		func(operation quorum.Operation, reply func(quorum.Result)) {
			node.proposeOnce(operation, 0, node.Clock()+slotWriteTimeoutUS, reply)
		},
		func(result quorum.Result) {
			if result.Status != quorum.StatusDone {
				done(false)
				return
			}
			put := op.Type == quorum.OpPut
			s.histories[slot].add(observedOperation{from, world.now, result.Revision, string(result.Value), put})
			if put {
				s.acknowledgedAt[slot] = world.now
			}
			done(true)
			if put && s.OnAcknowledged != nil {
				s.OnAcknowledged(slot)
			}
		},
		func() { done(false) })
}

// liveNode returns a node that is up, as callers soon learn which ones are.
func (s *SlotWriter) liveNode() *ControlNode {
	var live []*ControlNode
	for _, node := range s.cluster.Nodes {
		if node.up && node.node != nil {
			live = append(live, node)
		}
	}
	if len(live) == 0 {
		live = s.cluster.Nodes
	}
	return live[s.cluster.world.Rng.Intn(len(live))]
}

// AcknowledgedSince reports whether a change of every slot was acknowledged after a time.
func (s *SlotWriter) AcknowledgedSince(at int64) bool {
	for _, a := range s.acknowledgedAt {
		if a <= at {
			return false
		}
	}
	return true
}

// Acknowledged returns the number of acknowledged changes.
func (s *SlotWriter) Acknowledged() (n int) {
	for _, history := range s.histories {
		n += history.Acknowledged
	}
	return n
}
