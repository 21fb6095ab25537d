package sim

import (
	"fmt"
	"testing"

	"violetthread/quorum"
)

// frameBound stands for the bound of a frame on the wires, at the scale of the rings here.
const frameBound = 400 << 10

// snapshotDay is a core whose one slot holds much more than a frame takes, while changes
// keep coming.
type snapshotDay struct {
	*membershipDay
	keys    []string
	largest int   // message that was sent
	changes int   // acknowledged
	every   int64 // between two changes
}

// newSnapshotDay fills the slot of the plan with so many registers of 20 KB.
func newSnapshotDay(t *testing.T, seed int64, registers int) *snapshotDay {
	world := NewWorld(seed)
	c := NewCluster(world, 4)
	c.selfHealing = true
	c.generationUS = 60_000_000
	c.logConfig.SegmentBytes = 2 << 20
	c.Start()
	d := &snapshotDay{membershipDay: &membershipDay{Cluster: c, size: coreSizes[1], h: NewHistory(world, planKey)}, every: 10_000}
	c.dropsMessage = func(m quorum.Message) bool {
		size := 0
		for _, e := range m.Entries {
			size += len(e.Key) + len(e.Value)
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
		r := d.Nodes[world.Rng.Intn(len(d.Nodes))]
		k := d.keys[world.Rng.Intn(len(d.keys))]
		Call(client, r.Host, d.op(k), 900_000, func(q quorum.Operation, rep func(quorum.Result)) { r.Forward(q, 0, rep) }, func(a quorum.Result) {
			if a.Status == quorum.StatusDone {
				d.changes++
			}
		}, func() {})
		client.After(d.every, next)
	}
	client.After(1, next)
	NewRegisterClient(c, "operator", d.h, 60).Start()
	return d
}

func (d *snapshotDay) op(key string) quorum.Operation {
	return quorum.Operation{Type: quorum.OpPut, Key: key, Value: make([]byte, 20<<10), ExpectedRevision: quorum.AnyRevision}
}

func (d *snapshotDay) put(t *testing.T, key string) {
	t.Helper()
	for try := 0; try < 50; try++ {
		var a quorum.Result
		d.Nodes[try%4].Forward(d.op(key), 0, func(x quorum.Result) { a = x })
		d.until(1_000_000, func() bool { return a.Status != 0 })
		if a.Status == quorum.StatusDone {
			return
		}
	}
	t.Fatalf("%s is not settled: %v", key, d.world.violations)
}

// differs names a register of the filled slot that the owner has settled and r holds
// otherwise, or "".
func (d *snapshotDay) differs(r *ControlNode) string {
	o := d.slotOwner()
	if o == nil || o == r {
		return ""
	}
	settled := o.node.Status(o.Clock())[quorum.SlotOf(planKey, 16)].Committed
	mine, theirs := registers(r), registers(o)
	for _, k := range d.keys {
		if e := theirs[k]; !settled.Before(e.Position) && mine[k].Position.Before(e.Position) {
			return fmt.Sprintf("%s is of %v, not %v", k, mine[k].Position, e.Position)
		}
	}
	return ""
}

// registers are all that a machine holds.
func registers(r *ControlNode) map[string]quorum.Entry {
	all := map[string]quorum.Entry{}
	for _, rec := range r.node.Checkpoint() {
		if rec.Type == quorum.RecordEntry {
			all[rec.Entry.Key] = rec.Entry
		}
	}
	return all
}

// slotOwner is the machine that owns the slot, or nil.
func (d *snapshotDay) slotOwner() *ControlNode {
	for _, r := range d.alive() {
		if owns(r) == 1 {
			return r
		}
	}
	return nil
}

// TestSnapshotInParts: a slot holds five times what a frame takes and changes come a
// hundred times a second. A machine that comes back empty, or with state of hundreds of
// changes ago, holds everything in time, also when it or the owner ends midway.
func TestSnapshotInParts(t *testing.T) {
	for _, how := range []string{"empty", "behind", "ends midway", "owner ends midway", "lossy"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			var worst int64
			largest := 0
			for seed := int64(1); seed <= max(seeds(), 2); seed++ {
				d := newSnapshotDay(t, seed, 100)
				r := d.alive()[0]
				if how == "behind" { // and a line behind, since it owned the slot
					d.until(2_000_000, func() bool { r = d.slotOwner(); return r != nil })
				}
				r.Kill()
				if how != "behind" {
					r.loseDisk()
				}
				d.world.Run(d.world.now + 6_000_000)
				r.Start()
				bound := d.size.sync
				switch how {
				case "ends midway":
					d.until(1_000_000, func() bool { return r.node != nil })
					d.world.Run(d.world.now + d.world.Rng.Int63n(60_000))
					d.world.Notef("%s ends midway", r.Name)
					r.LosePower()
					d.world.Run(d.world.now + 200_000)
					r.Start()
				case "lossy":
					d.world.LossPermille, d.world.DuplicatePermille = 20, 200
				case "owner ends midway":
					d.until(1_000_000, func() bool { return r.node != nil })
					d.world.Run(d.world.now + d.world.Rng.Int63n(60_000))
					if o := d.slotOwner(); o != nil && o != r {
						o.Kill()
						d.world.At(d.world.now+300_000, o.Start)
					}
				}
				took, ok := d.until(bound, func() bool { return d.caughtUp(r) })
				if len(d.world.violations) > 0 || !ok {
					ro, _ := d.currentVoters()
					t.Fatalf("seed %d: not caught up in %d us, votes %v, largest message %d bytes, %d changes: %v", seed, took, r.isMemberOf(ro), d.largest, d.changes, d.world.violations)
				}
				if was := d.differs(r); was != "" {
					t.Fatalf("seed %d: it holds something else than the owner: %s", seed, was)
				}
				if d.largest > frameBound {
					t.Fatalf("seed %d: a message of %d bytes was sent", seed, d.largest)
				}
				if d.changes < 300 {
					t.Fatalf("seed %d: %d changes: too little to prove anything", seed, d.changes)
				}
				worst, largest = max(worst, took), max(largest, d.largest)
			}
			t.Logf("holds everything after %.2f s at worst, largest message %d bytes", float64(worst)/1e6, largest)
		})
	}
}
