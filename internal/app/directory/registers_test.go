package directory

import (
	"testing"

	"violetthread/internal/clock"
	"violetthread/route"
	"violetthread/schema/fb"
)

// announce makes a version of model m's weights wanted.
func (c *fakeControl) announce(version uint64) {
	doc := &route.WeightVersions{}
	if val := c.values[route.WeightsKey]; val != nil {
		doc, _ = route.DecodeWeights(val)
	}
	next, _ := doc.Add("m", version)
	c.set(route.WeightsKey, next.Encode())
}

// toldAge is how long ago a version was announced, as a proxy learns it.
func announcedAge(t *testing.T, d *Directory, version uint64) int64 {
	t.Helper()
	a := d.respond(&fb.MapRequestT{Node: &fb.NodeT{Name: "p"}}, clock.Now())
	for _, n := range a.Announced {
		if n.Version == version {
			return n.Age
		}
	}
	t.Fatalf("no proxy learns of version %d", version)
	return 0
}

// A node that reads new weights late does not take them for young: they may have been
// announced right after it last read the register.
func TestLateHearerTellsNoYoungAge(t *testing.T) {
	d, control, _ := newTestDirectory(t)
	control.announce(1)
	lastRead := clock.Now()
	d.Refresh(t.Context())
	d.weights.readAt -= 2_000_000 // the read was two seconds ago
	lastRead -= 2_000_000
	control.announce(2)
	d.Refresh(t.Context())
	if age, least := announcedAge(t, d, 2), clock.Now()-lastRead-100_000; age < least {
		t.Errorf("an age of %d us is replied, it may be %d", age, least)
	}
}

// A node that just started counts from its start at the latest, and a node that was out
// of touch for long from a short while ago: the bound begins anew after such trouble.
func TestChangedSince(t *testing.T) {
	const now = 100_000_000
	for _, c := range []struct{ lastRead, want int64 }{
		{now - 150_000, now - 150_000},
		{now - takeoverWindow + 1, now - takeoverWindow + 1},
		{now - 20_000_000, now - takeoverWindow},
	} {
		if got := changedSince(c.lastRead, now); got != c.want {
			t.Errorf("read at %d: %d, not %d", c.lastRead, got, c.want)
		}
	}
	d, control, _ := newTestDirectory(t)
	control.announce(1)
	d.startedAt = clock.Now() - 3_000_000
	d.Refresh(t.Context())
	if age := announcedAge(t, d, 1); age < 3_000_000 {
		t.Errorf("an age of %d us from a node that started 3 s ago", age)
	}
}

// Ages begin anew when another directory leads the rollout, and only then.
func TestAgesCountFromTheRolloutLeader(t *testing.T) {
	d, control, _ := newTestDirectory(t)
	control.announce(1)
	control.set(WeightsRoleKey, nil)
	d.Refresh(t.Context())
	d.announcements.Observe("m", 1, clock.Now()-60_000_000)
	if age := announcedAge(t, d, 1); age < 60_000_000 {
		t.Fatalf("an age of %d us", age)
	}
	control.set(WeightsRoleKey, []byte("another's"))
	d.Refresh(t.Context())
	if age := announcedAge(t, d, 1); age < takeoverWindow || age > 3*takeoverWindow {
		t.Errorf("an age of %d us after the leader changed", age)
	}
	if got := d.respond(&fb.MapRequestT{Node: &fb.NodeT{Name: "p"}}, 0).AnnouncedTerm; got != control.revisions[WeightsRoleKey] {
		t.Errorf("term %d is replied", got)
	}
}

// A node takes over the age that the first in line has, when its own is less.
func TestOlderAgeOfAnotherNodeIsTaken(t *testing.T) {
	d, control, _ := newTestDirectory(t)
	control.announce(1)
	d.Refresh(t.Context())
	control.firstReply = &fb.MapResponseT{Announced: []*fb.AnnouncedVersionT{{Model: "m", Version: 1, Age: 30_000_000}}, ListAge: 1_000_000}
	d.copyListFrom(t.Context(), "a:1")
	if age := announcedAge(t, d, 1); age < 30_000_000 {
		t.Errorf("an age of %d us, the first node in line knows 30 s", age)
	}
}

// The age of the registers of weights and rollout goes with each reply.
func TestAgeOfRegistersIsSent(t *testing.T) {
	d, control, _ := newTestDirectory(t)
	control.announce(1)
	d.Refresh(t.Context())
	d.weights.readAt -= 5_000_000
	control.unreadable = true
	d.Refresh(t.Context())
	if a := d.respond(&fb.MapRequestT{Node: &fb.NodeT{Name: "p"}}, 0); a.AnnouncedAge < 5_000_000 {
		t.Errorf("an age of %d us is replied of weights last confirmed 5 s ago", a.AnnouncedAge)
	}
}
