package quorum

import "testing"

const testRole = rolePrefix + "x"

// acquire asks for a role lease of a second.
func (s *singleNode) acquire(what, holder string, want Status) Result {
	s.t.Helper()
	return s.expect(what, Operation{Type: OpAcquire, Key: testRole, Holder: holder, LeaseDurationUS: 1_000_000}, want)
}

// TestRoleLeases: one holder at a time, fencing tokens rise, a release needs the right one.
func TestRoleLeases(t *testing.T) {
	s := newSingleNode(t, 0)
	first := s.acquire("a free role", "p", StatusDone)
	s.acquire("two holders", "q", StatusConflict)
	s.runUntil(s.now + 900_000)
	renewal := Operation{Type: OpAcquire, Key: testRole, Holder: "p", LeaseDurationUS: 1_000_000, ExpectedRevision: first.Revision}
	if renewed := s.expect("a renewal", renewal, StatusDone); renewed.Revision != first.Revision {
		t.Fatalf("a renewal: %+v after %+v", renewed, first)
	}
	if again := s.acquire("asked for again by its holder, who did not hear of the grant", "p", StatusDone); again.Revision != first.Revision {
		t.Fatalf("a second grant to its holder: %+v after %+v", again, first)
	}
	s.runUntil(s.now + 900_000)
	s.acquire("a renewed role", "q", StatusConflict)
	s.expect("released by another", Operation{Type: OpRelease, Key: testRole, Holder: "q", ExpectedRevision: first.Revision}, StatusConflict)
	s.runUntil(s.now + 200_000)
	if next := s.acquire("a lease that expired", "q", StatusDone); next.Revision <= first.Revision {
		t.Fatalf("a lease that expired: %+v after %+v", next, first)
	}
	s.expect("a renewal by a former holder", renewal, StatusConflict)
	s.expect("a role lease overwritten", Operation{Type: OpPut, Key: testRole, Value: []byte("x"), ExpectedRevision: AnyRevision}, StatusConflict)
}
