package sim

import (
	"fmt"
	"testing"

	"violetthread/internal/lincheck"
	"violetthread/quorum"
)

// recorder is a client of one key that records all its operations and their results.
type recorder struct {
	*Host
	cluster        *Cluster
	key            string
	client         int
	changes        int // percentage of writes
	count          int
	newestRevision uint64 // newest revision it received
	ops            *[]lincheck.Operation
}

func newRecorder(cluster *Cluster, client int, key string, changes int, ops *[]lincheck.Operation) *recorder {
	r := &recorder{cluster: cluster, key: key, client: client, changes: changes, ops: ops}
	r.Host = cluster.world.NewHost(fmt.Sprint("recorder", client), "north", func() { r.Every(40_000, r.operate) })
	return r
}

func (r *recorder) operate() {
	world := r.cluster.world
	node := r.cluster.Nodes[world.Rng.Intn(len(r.cluster.Nodes))]
	r.count++
	operation := lincheck.Operation{Client: r.client, Invoked: world.now}
	op := quorum.Operation{Type: quorum.OpGet, Key: r.key}
	if world.Rng.Intn(100) < r.changes {
		operation.Write, operation.Value = true, fmt.Sprintf("%d-%d", r.client, r.count)
		// A request that the network duplicates must not change the key twice.
		op.Type, op.ExpectedRevision, op.Value = quorum.OpPut, r.newestRevision, []byte(operation.Value)
	}
	Call(r.Host, node.Host, op, 900_000, node.serve,
		func(result quorum.Result) { r.answered(operation, result) },
		func() { r.record(operation) })
}

// answered records any result other than a confirmation as unknown: if a request was
// duplicated, one copy may be rejected although the other took effect.
func (r *recorder) answered(operation lincheck.Operation, result quorum.Result) {
	if result.Status == quorum.StatusDone || result.Status == quorum.StatusConflict {
		r.newestRevision = max(r.newestRevision, result.Revision)
	}
	if result.Status == quorum.StatusDone {
		operation.Confirmed, operation.Returned, operation.Revision, operation.Value = true, r.cluster.world.now, result.Revision, string(result.Value)
	}
	r.record(operation)
}

func (r *recorder) record(operation lincheck.Operation) { *r.ops = append(*r.ops, operation) }

// TestLinearizable checks that there is one order of operations that explains what clients see
// of a key on days of control nodes, including operations with lost or unknown results.
func TestLinearizable(t *testing.T) {
	for _, fault := range ClusterFaults {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			confirmed, unknown := 0, 0
			for seed := int64(1); seed <= 2; seed++ {
				for key, ops := range recordedDay(seed, fault) {
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
				t.Fatalf("%d operations confirmed: too little activity for a meaningful result", confirmed)
			}
		})
	}
}

// recordedDay runs a day of control nodes, with clients of a frequently written key and of a
// rarely written one.
func recordedDay(seed int64, fault Fault) map[string][]lincheck.Operation {
	const length = 8_000_000
	world := NewWorld(seed)
	cluster := NewCluster(world, 4)
	cluster.Start()
	plan, rare := &[]lincheck.Operation{}, &[]lincheck.Operation{}
	for i := range 3 {
		newRecorder(cluster, i, "plan", 60, plan).Start()
	}
	for i := range 2 {
		newRecorder(cluster, 3+i, "rare", 8, rare).Start()
	}
	cluster.InjectFaults(fault, length)
	world.Run(length + 3_000_000)
	return map[string][]lincheck.Operation{"plan": *plan, "rare": *rare}
}
