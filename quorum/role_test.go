package quorum

import "testing"

// TestDuties: one holder at a time, epochs rise, renewals need the right epoch.
func TestRoleLeases(t *testing.T) {
	_, step, do := newSingleNode(t, 0)
	now, id := int64(3_000_000), uint64(0)
	wait := func(us int64) {
		for end := now + us; now < end; now += 25_000 {
			step(now)
		}
	}
	hold := func(who string, epoch uint64, kind OperationType) Result {
		id++
		return do(now, Operation{ID: id, Type: kind, Key: "duty/x", Holder: who, LeaseDuration: 1_000_000, ExpectedRevision: epoch})
	}
	a := hold("p", 0, OpAcquire)
	if a.Status != StatusDone {
		t.Fatalf("%+v", a)
	}
	if b := hold("q", 0, OpAcquire); b.Status != StatusConflict {
		t.Fatalf("two holders: %+v", b)
	}
	wait(900_000)
	if b := hold("p", a.Revision, OpAcquire); b.Status != StatusDone || b.Revision != a.Revision {
		t.Fatalf("a renewal: %+v", b)
	}
	if b := hold("p", 0, OpAcquire); b.Status != StatusDone || b.Revision != a.Revision {
		t.Fatalf("asked again by its own holder, who did not hear of the grant: %+v after %+v", b, a)
	}
	wait(900_000)
	if b := hold("q", 0, OpAcquire); b.Status != StatusConflict {
		t.Fatalf("a renewed duty was given away: %+v", b)
	}
	if b := hold("q", a.Revision, OpRelease); b.Status != StatusConflict {
		t.Fatalf("freed by another: %+v", b)
	}
	wait(200_000)
	b := hold("q", 0, OpAcquire)
	if b.Status != StatusDone || b.Revision <= a.Revision {
		t.Fatalf("a duty that ran out: %+v after %+v", b, a)
	}
	if c := hold("p", a.Revision, OpAcquire); c.Status != StatusConflict {
		t.Fatalf("a renewal under an old epoch: %+v", c)
	}
	if c := do(now, Operation{ID: 99, Type: OpPut, Key: "duty/x", Value: []byte("x"), ExpectedRevision: AnyRevision}); c.Status != StatusConflict {
		t.Fatalf("a duty was overwritten: %+v", c)
	}
}
