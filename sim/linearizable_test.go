package sim

import (
	"fmt"
	"testing"

	"violetthread/internal/lincheck"
	"violetthread/quorum"
)

// recorder is a client of one key that keeps all it asked and was told.
type recorder struct {
	*Host
	core    *Cluster
	key     string
	client  int
	changes int // of a hundred operations
	count   int
	seen    uint64 // newest revision it was told of
	ops     *[]lincheck.Operation
}

func newRecorder(c *Cluster, client int, key string, changes int, ops *[]lincheck.Operation) *recorder {
	r := &recorder{core: c, key: key, client: client, changes: changes, ops: ops}
	r.Host = c.world.NewHost(fmt.Sprint("recorder", client), "north", func() { r.Every(40_000, r.act) })
	return r
}

func (r *recorder) act() {
	world := r.core.world
	node := r.core.Nodes[world.Rng.Intn(len(r.core.Nodes))]
	r.count++
	seen := lincheck.Operation{Client: r.client, Invoked: world.now}
	op := quorum.Operation{Type: quorum.OpGet, Key: r.key}
	if world.Rng.Intn(100) < r.changes {
		seen.Write, seen.Value = true, fmt.Sprintf("%d-%d", r.client, r.count)
		// A request that the network repeats must not change the key twice.
		op.Type, op.ExpectedRevision, op.Value = quorum.OpPut, r.seen, []byte(seen.Value)
	}
	Call(r.Host, node.Host, op, 900_000, func(q quorum.Operation, reply func(quorum.Result)) { node.Forward(q, 0, reply) },
		func(a quorum.Result) { r.answered(seen, a) },
		func() { r.keep(seen) })
}

// answered takes all but a confirmation as unknown: where requests are repeated, one may
// be refused although its twin took effect.
func (r *recorder) answered(seen lincheck.Operation, a quorum.Result) {
	if a.Status == quorum.StatusDone || a.Status == quorum.StatusConflict {
		r.seen = max(r.seen, a.Revision)
	}
	if a.Status == quorum.StatusDone {
		seen.Confirmed, seen.Returned, seen.Revision, seen.Value = true, r.core.world.now, a.Revision, string(a.Value)
	}
	r.keep(seen)
}

func (r *recorder) keep(seen lincheck.Operation) { *r.ops = append(*r.ops, seen) }

// TestLinearizable: what operators see of a key on core days, answers lost and unknown
// ones included, is explained by one order of their operations.
func TestLinearizable(t *testing.T) {
	for _, f := range ClusterFaults {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			confirmed, unknown := 0, 0
			for seed := int64(1); seed <= 2; seed++ {
				for key, ops := range recordedDay(seed, f) {
					if err := lincheck.Check(ops); err != nil {
						t.Fatalf("seed %d: %s: %v", seed, key, err)
					}
					for _, o := range ops {
						if o.Confirmed {
							confirmed++
						} else {
							unknown++
						}
					}
				}
			}
			t.Logf("%d operations confirmed, %d unknown", confirmed, unknown)
			if confirmed < 300 {
				t.Fatalf("%d operations confirmed: too little to prove anything", confirmed)
			}
		})
	}
}

// recordedDay is a core day with operators at a busy key and at one seldom changed.
func recordedDay(seed int64, f Fault) map[string][]lincheck.Operation {
	const length = 8_000_000
	world := NewWorld(seed)
	c := NewCluster(world, 4)
	c.Start()
	plan, rare := &[]lincheck.Operation{}, &[]lincheck.Operation{}
	for i := range 3 {
		newRecorder(c, i, "plan", 60, plan).Start()
	}
	for i := range 2 {
		newRecorder(c, 3+i, "rare", 8, rare).Start()
	}
	c.InjectFaults(f, length)
	world.Run(length + 3_000_000)
	return map[string][]lincheck.Operation{"plan": *plan, "rare": *rare}
}
