package directory

import (
	"testing"

	"violetthread/internal/clock"
	"violetthread/route"
	"violetthread/schema/fb"
)

// announce adds a version of model m's weights to the weights register.
func (c *fakeControl) announce(version uint64) {
	doc := &route.WeightVersions{}
	if val := c.values[route.WeightsKey]; val != nil {
		doc, _ = route.DecodeWeights(val)
	}
	next, _ := doc.Add("m", version)
	c.set(route.WeightsKey, next.Encode())
}

// announcedAge returns how long ago a version was announced, according to the response to a proxy.
func announcedAge(t *testing.T, d *Directory, version uint64) int64 {
	t.Helper()
	response := d.respond(&fb.MapRequestT{Node: &fb.NodeT{Name: "p"}}, clock.Now())
	for _, announced := range response.Announced {
		if announced.Version == version {
			return announced.Age
		}
	}
	t.Fatalf("the response does not announce version %d", version)
	return 0
}

// TestLateReadDoesNotUnderstateAge: a node that reads new weights late must not understate their
// age: they may have been announced right after its previous read of the register.
func TestLateReadDoesNotUnderstateAge(t *testing.T) {
	d, control, _ := newTestDirectory(t)
	control.announce(1)
	lastRead := clock.Now()
	d.Refresh(t.Context())
	d.weights.readAt -= 2_000_000 // the read was two seconds ago
	lastRead -= 2_000_000
	control.announce(2)
	d.Refresh(t.Context())
	if age, least := announcedAge(t, d, 2), clock.Now()-lastRead-100_000; age < least {
		t.Errorf("the reported age is %d us, it must be at least %d", age, least)
	}
}

// TestChangedSince: a node that just started counts ages from its start, and a node that was
// disconnected for long counts them from takeoverWindow ago: the time bound on weights restarts
// after such an outage.
func TestChangedSince(t *testing.T) {
	const now = 100_000_000
	for _, c := range []struct{ lastRead, want int64 }{
		{now - 150_000, now - 150_000},
		{now - takeoverWindow + 1, now - takeoverWindow + 1},
		{now - 20_000_000, now - takeoverWindow},
	} {
		if got := changedSince(c.lastRead, now); got != c.want {
			t.Errorf("last read at %d: got %d, want %d", c.lastRead, got, c.want)
		}
	}
	d, control, _ := newTestDirectory(t)
	control.announce(1)
	d.startedAt = clock.Now() - 3_000_000
	d.Refresh(t.Context())
	if age := announcedAge(t, d, 1); age < 3_000_000 {
		t.Errorf("a node that started 3 s ago reports an age of %d us", age)
	}
}

// TestAgesRestartWithNewRolloutLeader: ages restart when another directory becomes the rollout
// leader, and only then.
func TestAgesRestartWithNewRolloutLeader(t *testing.T) {
	d, control, _ := newTestDirectory(t)
	control.announce(1)
	control.set(WeightsRoleKey, nil)
	d.Refresh(t.Context())
	d.announcements.Observe("m", 1, clock.Now()-60_000_000)
	if age := announcedAge(t, d, 1); age < 60_000_000 {
		t.Fatalf("the age is %d us before the leader changed", age)
	}
	control.set(WeightsRoleKey, []byte("another's"))
	d.Refresh(t.Context())
	if age := announcedAge(t, d, 1); age < takeoverWindow || age > 3*takeoverWindow {
		t.Errorf("the age is %d us after the leader changed", age)
	}
	if got := d.respond(&fb.MapRequestT{Node: &fb.NodeT{Name: "p"}}, 0).AnnouncedTerm; got != control.revisions[WeightsRoleKey] {
		t.Errorf("the response has term %d", got)
	}
}

// TestOlderAgeFromFirstNodeIsAdopted: a node adopts the age that the first node in the list order
// reports, if its own is less.
func TestOlderAgeFromFirstNodeIsAdopted(t *testing.T) {
	d, control, _ := newTestDirectory(t)
	control.announce(1)
	d.Refresh(t.Context())
	control.firstResponse = &fb.MapResponseT{Announced: []*fb.AnnouncedVersionT{{Model: "m", Version: 1, Age: 30_000_000}}, ListAge: 1_000_000}
	d.copyListFrom(t.Context(), "a:1")
	if age := announcedAge(t, d, 1); age < 30_000_000 {
		t.Errorf("the age is %d us, the first node reports 30 s", age)
	}
}

// TestAgeOfRegistersIsSent: each response carries the age of the weights and rollout registers, so
// that proxies notice outdated ones.
func TestAgeOfRegistersIsSent(t *testing.T) {
	d, control, _ := newTestDirectory(t)
	control.announce(1)
	d.Refresh(t.Context())
	d.weights.readAt -= 5_000_000
	control.unreadable = true
	d.Refresh(t.Context())
	if response := d.respond(&fb.MapRequestT{Node: &fb.NodeT{Name: "p"}}, 0); response.AnnouncedAge < 5_000_000 {
		t.Errorf("the reported age is %d us, the weights were last confirmed 5 s ago", response.AnnouncedAge)
	}
}
