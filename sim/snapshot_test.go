package sim

import (
	"fmt"
	"testing"

	"violetthread/quorum"
)

// frameBound stands for the size limit of a frame, scaled to the small logs of this test.
const frameBound = 400 << 10

// snapshotDay is a cluster in which one slot holds much more data than fits into a frame,
// while changes continue.
type snapshotDay struct {
	*membershipDay
	keys    []string
	largest int   // size of the largest message that was sent
	changes int   // acknowledged changes
	every   int64 // interval between two changes
}

// newSnapshotDay fills the plan's slot with the given number of registers of 20 KB.
func newSnapshotDay(t *testing.T, seed int64, registers int) *snapshotDay {
	world := NewWorld(seed)
	cluster := NewCluster(world, 4)
	cluster.selfHealing = true
	cluster.generationUS = 60_000_000
	cluster.logConfig.SegmentBytes = 2 << 20
	cluster.Start()
	d := &snapshotDay{membershipDay: &membershipDay{Cluster: cluster, size: clusterSizes[1], history: NewHistory(world, planKey)}, every: 10_000}
	cluster.dropsMessage = func(message quorum.Message) bool {
		size := 0
		for _, entry := range message.Entries {
			size += len(entry.Key) + len(entry.Value)
		}
		d.largest = max(d.largest, size)
		return size > frameBound
	}
	for i := 0; len(d.keys) < registers; i++ {
		if k := fmt.Sprint("register", i); quorum.SlotOf(k, 16) == quorum.SlotOf(planKey, 16) {
			d.keys = append(d.keys, k)
		}
	}
	world.Run(2_500_000)
	for _, k := range d.keys {
		d.put(t, k)
	}
	client := world.NewHost("client", "north", func() {})
	client.Start()
	var next func()
	next = func() {
		node := d.Nodes[world.Rng.Intn(len(d.Nodes))]
		k := d.keys[world.Rng.Intn(len(d.keys))]
		Call(client, node.Host, d.op(k), 900_000, node.serve, func(result quorum.Result) {
			if result.Status == quorum.StatusDone {
				d.changes++
			}
		}, func() {})
		client.After(d.every, next)
	}
	client.After(1, next)
	NewRegisterClient(cluster, "operator", d.history, 60).Start()
	return d
}

func (d *snapshotDay) op(key string) quorum.Operation {
	return quorum.Operation{Type: quorum.OpPut, Key: key, Value: make([]byte, 20<<10), ExpectedRevision: quorum.AnyRevision}
}

func (d *snapshotDay) put(t *testing.T, key string) {
	t.Helper()
	for try := 0; try < 50; try++ {
		var result quorum.Result
		d.Nodes[try%4].Forward(d.op(key), 0, func(x quorum.Result) { result = x })
		d.until(1_000_000, func() bool { return result.Status != 0 })
		if result.Status == quorum.StatusDone {
			return
		}
	}
	t.Fatalf("%s is not committed: %v", key, d.world.violations)
}

// differs describes a register of the filled slot that the leader has committed and the node
// does not hold, or returns "".
func (d *snapshotDay) differs(node *ControlNode) string {
	leader := d.slotLeader()
	if leader == nil || leader == node {
		return ""
	}
	committed := leader.node.Status(leader.Clock())[quorum.SlotOf(planKey, 16)].Committed
	mine, theirs := registers(node), registers(leader)
	for _, k := range d.keys {
		if entry := theirs[k]; !committed.Before(entry.Position) && mine[k].Position.Before(entry.Position) {
			return fmt.Sprintf("%s is at %v instead of %v", k, mine[k].Position, entry.Position)
		}
	}
	return ""
}

// registers returns all entries that a node holds.
func registers(node *ControlNode) map[string]quorum.Entry {
	all := map[string]quorum.Entry{}
	for _, rec := range node.node.Checkpoint() {
		if rec.Type == quorum.RecordEntry {
			all[rec.Entry.Key] = rec.Entry
		}
	}
	return all
}

// slotLeader returns the leader of the slot, or nil.
func (d *snapshotDay) slotLeader() *ControlNode {
	for _, node := range d.liveVoters() {
		if slotsLed(node) == 1 {
			return node
		}
	}
	return nil
}

// TestSnapshotInParts fills a slot with five times the data that fits into a frame, while a
// hundred changes a second are made. A machine that comes back empty, or hundreds of changes
// behind, must hold everything in time, even if it or the leader fails during the transfer.
func TestSnapshotInParts(t *testing.T) {
	for _, scenario := range []string{"empty", "behind", "restarts midway", "leader restarts midway", "lossy"} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			var worst int64
			largest := 0
			for seed := int64(1); seed <= max(seeds(), 2); seed++ {
				d := newSnapshotDay(t, seed, 100)
				node := d.liveVoters()[0]
				if scenario == "behind" { // the node led the slot, so that it is also a term behind
					d.until(2_000_000, func() bool { node = d.slotLeader(); return node != nil })
				}
				node.Kill()
				if scenario != "behind" {
					node.loseDisk()
				}
				d.world.Run(d.world.now + 6_000_000)
				node.Start()
				bound := d.size.recoveryUS
				switch scenario {
				case "restarts midway":
					d.until(1_000_000, func() bool { return node.node != nil })
					d.world.Run(d.world.now + d.world.Rng.Int63n(60_000))
					d.world.Notef("%s loses power during the transfer", node.Name)
					node.LosePower()
					d.world.Run(d.world.now + 200_000)
					node.Start()
				case "lossy":
					d.world.LossPermille, d.world.DuplicatePermille = 20, 200
				case "leader restarts midway":
					d.until(1_000_000, func() bool { return node.node != nil })
					d.world.Run(d.world.now + d.world.Rng.Int63n(60_000))
					if leader := d.slotLeader(); leader != nil && leader != node {
						leader.Kill()
						d.world.At(d.world.now+300_000, leader.Start)
					}
				}
				took, ok := d.until(bound, func() bool { return d.caughtUp(node) })
				if len(d.world.violations) > 0 || !ok {
					voterSet, _ := d.currentVoters()
					t.Fatalf("seed %d: not caught up in %d us, voter %v, largest message %d bytes, %d changes: %v", seed, took, node.isMemberOf(voterSet), d.largest, d.changes, d.world.violations)
				}
				if difference := d.differs(node); difference != "" {
					t.Fatalf("seed %d: the node differs from the leader: %s", seed, difference)
				}
				if d.largest > frameBound {
					t.Fatalf("seed %d: a message of %d bytes was sent", seed, d.largest)
				}
				if d.changes < 300 {
					t.Fatalf("seed %d: %d changes: too little activity for a meaningful result", seed, d.changes)
				}
				worst, largest = max(worst, took), max(largest, d.largest)
			}
			t.Logf("caught up after %.2f s at worst, largest message %d bytes", float64(worst)/1e6, largest)
		})
	}
}
