package quorum

import "testing"

const testRole = rolePrefix + "x"

// acquire requests a role lease of one second.
func (s *singleNode) acquire(what, holder string, want Status) Result {
	s.t.Helper()
	return s.expect(what, Operation{Type: OpAcquire, Key: testRole, Holder: holder, LeaseDurationUS: 1_000_000}, want)
}

// TestRoleLeases: there is one holder at a time, fencing tokens increase, and only the holder
// can release a lease.
func TestRoleLeases(t *testing.T) {
	s := newSingleNode(t, 0)
	first := s.acquire("free role", "p", StatusDone)
	s.acquire("second holder", "q", StatusConflict)
	s.runUntil(s.now + 900_000)
	renewal := Operation{Type: OpAcquire, Key: testRole, Holder: "p", LeaseDurationUS: 1_000_000, ExpectedRevision: first.Revision}
	if renewed := s.expect("renewal in time", renewal, StatusDone); renewed.Revision != first.Revision {
		t.Fatalf("renewal: %+v after %+v", renewed, first)
	}
	if again := s.acquire("repeated request of the holder", "p", StatusDone); again.Revision != first.Revision {
		t.Fatalf("second grant to the holder: %+v after %+v", again, first)
	}
	s.runUntil(s.now + 900_000)
	s.acquire("renewed role", "q", StatusConflict)
	s.expect("release by another node", Operation{Type: OpRelease, Key: testRole, Holder: "q", ExpectedRevision: first.Revision}, StatusConflict)
	s.runUntil(s.now + 200_000)
	if next := s.acquire("expired lease", "q", StatusDone); next.Revision <= first.Revision {
		t.Fatalf("expired lease: %+v after %+v", next, first)
	}
	s.expect("renewal by the former holder", renewal, StatusConflict)
	s.expect("put over a role lease", Operation{Type: OpPut, Key: testRole, Value: []byte("x"), ExpectedRevision: AnyRevision}, StatusConflict)
}
