package sim

import (
	"fmt"
	"strings"
	"testing"

	"violetthread/quorum"
)

// TestCoreDays: control nodes under every kind of failure keep acknowledged
// changes linearizable, slots and duties single-owned and claims single-held,
// and come back within ten seconds.
func TestCoreDays(t *testing.T) {
	for _, f := range ClusterFaults {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			acks, won, terms, ckpts, joined := 0, 0, 0, 0, 0
			for seed := int64(1); seed <= 3; seed++ {
				d := RunCluster(seed, f, 12_000_000)
				if len(d.Violations) > 0 {
					k := max(0, len(d.Notes)-60)
					t.Fatalf("seed %d: %v\n%s", seed, d.Violations, strings.Join(d.Notes[k:], "\n"))
				}
				acks, won, terms, ckpts, joined = acks+d.Acknowledged, won+d.ClaimsWon, terms+d.LeaseTerms, ckpts+d.Checkpoints, joined+d.Joins
			}
			t.Logf("%d checkpoints, %d joined", ckpts, joined)
			if f == FaultSelfHealing && joined < 3 {
				t.Fatalf("%d machines were let in", joined)
			}
			if acks < 100 || won < 30 || terms < 4 || ckpts == 0 && f != FaultKillAll {
				t.Fatalf("%d changes acknowledged, %d claims won, %d terms: too little to prove anything", acks, won, terms)
			}
		})
	}
}

// TestLostAcknowledgement: every word that a change is on disk gets lost, once.
// Seed 282 of the lossy days first showed a slot that then stood still for ever.
func TestLostAcknowledgement(t *testing.T) {
	s := newStage(t, 1, "plan")
	s.put("plan", "v1")
	lost := 0
	s.c.dropsMessage = func(m quorum.Message) bool {
		if m.Type == quorum.MsgAppendAck {
			lost++
		}
		return m.Type == quorum.MsgAppendAck
	}
	s.w.At(s.w.now+300_000, func() { s.c.dropsMessage = nil })
	if a := s.put("plan", "v2"); a.Status != quorum.StatusDone || lost == 0 {
		t.Fatalf("%d words lost: %+v", lost, a)
	}
	if len(s.w.violations) > 0 {
		t.Fatal(s.w.violations)
	}
}

// TestSameSeedSameDay: a seed decides everything, or a failing one is worthless.
func TestSameSeedSameDay(t *testing.T) {
	a, b := RunCluster(5, FaultAll, 5_000_000), RunCluster(5, FaultAll, 5_000_000)
	if fmt.Sprint(a) != fmt.Sprint(b) {
		t.Fatal("two runs of one seed differ")
	}
}

// TestFailedCandidateFollows: one that could not hear the owner sought its slot in vain
// and keeps its promise to itself; the owner wins the slot anew above it, so that all
// voters follow it again. Without that no roster step was ever firm for the one left out.
func TestFailedCandidateFollows(t *testing.T) {
	s := newStage(t, 1, "plan")
	s.put("plan", "v1")
	o, i := s.settle(), quorum.SlotOf("plan", 16)
	r := s.c.Nodes[0]
	if r == o {
		r = s.c.Nodes[1]
	}
	at := func(r *ControlNode) quorum.SlotStatus { return r.node.Status(r.Clock())[i] }
	s.w.Cut(o.Name, r.Name)
	s.w.Run(s.w.now + 4_000_000)
	if at(r).Term <= at(o).Term {
		t.Fatalf("nothing was sought: %+v beside %+v", at(r), at(o))
	}
	s.w.HealAll()
	s.w.Run(s.w.now + 2_000_000)
	if o = s.owner(); o == nil || at(r).Leader != o.Name || at(r).Term != at(o).Term || at(r).Last != at(o).Last {
		t.Fatalf("it does not follow: %+v", at(r))
	}
	if len(s.w.violations) > 0 {
		t.Fatal(s.w.violations)
	}
}
