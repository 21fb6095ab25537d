package quorum

import "testing"

// TestRoleLeases: one holder at a time, fencing tokens rise, a release needs the right one.
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
		return do(now, Operation{ID: id, Type: kind, Key: rolePrefix + "x", Holder: who, LeaseDuration: 1_000_000, ExpectedRevision: epoch})
	}
	first := hold("p", 0, OpAcquire)
	if first.Status != StatusDone {
		t.Fatalf("%+v", first)
	}
	if again := hold("q", 0, OpAcquire); again.Status != StatusConflict {
		t.Fatalf("two holders: %+v", again)
	}
	wait(900_000)
	if again := hold("p", first.Revision, OpAcquire); again.Status != StatusDone || again.Revision != first.Revision {
		t.Fatalf("a renewal: %+v", again)
	}
	if again := hold("p", 0, OpAcquire); again.Status != StatusDone || again.Revision != first.Revision {
		t.Fatalf("asked for again by its holder, who did not hear of the grant: %+v after %+v", again, first)
	}
	wait(900_000)
	if again := hold("q", 0, OpAcquire); again.Status != StatusConflict {
		t.Fatalf("a renewed role was given away: %+v", again)
	}
	if again := hold("q", first.Revision, OpRelease); again.Status != StatusConflict {
		t.Fatalf("freed by another: %+v", again)
	}
	wait(200_000)
	again := hold("q", 0, OpAcquire)
	if again.Status != StatusDone || again.Revision <= first.Revision {
		t.Fatalf("a lease that expired: %+v after %+v", again, first)
	}
	if late := hold("p", first.Revision, OpAcquire); late.Status != StatusConflict {
		t.Fatalf("a renewal by a former holder: %+v", late)
	}
	if late := do(now, Operation{ID: 99, Type: OpPut, Key: rolePrefix + "x", Value: []byte("x"), ExpectedRevision: AnyRevision}); late.Status != StatusConflict {
		t.Fatalf("a role lease was overwritten: %+v", late)
	}
}
