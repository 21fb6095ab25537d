package e2e

import (
	"testing"
	"time"

	"violetthread/quorum"
	"violetthread/schema/fb"
)

// stop ends a machine politely, as SIGTERM does.
func (c *cluster) stop(name string) {
	m := c.machines[name]
	m.node.Daemon().Stop()
	m.ended.Wait()
	m.node = nil
}

// TestCoreHandsOver: another machine comes first, then one is told to stop. The rest drops
// its seat before it ends, does not let it in again, and bears a loss as before.
func TestCoreHandsOver(t *testing.T) {
	c := newCluster(t, 3)
	c.until("the fleet is whole", time.Now(), func() bool { return c.complete("a", "b", "c") })
	c.kill("a")
	c.machines["a"].settings.DrainUS = 1_000_000
	c.start("a", false)
	c.until("it is back", time.Now(), func() bool { return c.complete("a", "b", "c") })
	c.put("b", "plan", "v1")
	c.machine("z")
	c.start("z", false)
	c.until("another is added", time.Now(), func() bool { return c.complete("a", "b", "c", "z") })

	at := time.Now()
	c.stop("a")
	c.bound("it has stopped", time.Since(at), 3*time.Second)
	c.bound("the rest is the fleet", c.until("its seat is dropped", at, func() bool { return c.complete("b", "c", "z") }), 4*time.Second)
	c.kill("b")
	at = time.Now()
	c.bound("one of the rest is lost", c.until("its slots are owned", at, func() bool { return c.allSlotsServed("z") }), 4*time.Second)
	c.put("z", "plan", "v2")
	if a := c.machines["c"].node.ExecuteOnce(t.Context(), &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: "plan"}); string(a.Value) != "v2" {
		t.Fatalf("read back: %q, status %d", a.Value, a.Status)
	}
}
