package e2e

import (
	"testing"
	"time"

	"violetthread/quorum"
	"violetthread/schema/fb"
)

// stop shuts a node down gracefully, as SIGTERM does.
func (c *cluster) stop(name string) {
	n := c.nodes[name]
	n.node.Daemon().Stop()
	n.running.Wait()
	n.node = nil
}

// TestGracefulLeave adds a fourth node and then stops one of the first three gracefully. The
// others must remove it from the voter set and not admit it again, and must then tolerate the
// loss of a node as before.
func TestGracefulLeave(t *testing.T) {
	c := newCluster(t, 3)
	c.waitUntil("all nodes vote", time.Now(), func() bool { return c.allVoting("a", "b", "c") })
	c.kill("a")
	c.nodes["a"].settings.DrainUS = 1_000_000
	c.start("a", false)
	c.waitUntil("the restarted node votes", time.Now(), func() bool { return c.allVoting("a", "b", "c") })
	c.mustPut("b", "plan", "v1")
	c.addNode("z")
	c.start("z", false)
	c.waitUntil("the fourth node votes", time.Now(), func() bool { return c.allVoting("a", "b", "c", "z") })

	began := time.Now()
	c.stop("a")
	c.checkDuration("graceful stop", time.Since(began), 3*time.Second)
	c.checkDuration("stopped node removed from the voter set", c.waitUntil("the stopped node is removed from the voter set", began, func() bool { return c.allVoting("b", "c", "z") }), 4*time.Second)
	c.kill("b")
	began = time.Now()
	c.checkDuration("slots of a killed node have new leaders", c.waitUntil("the killed node's slots have leaders", began, func() bool { return c.allSlotsServed("z") }), 4*time.Second)
	c.mustPut("z", "plan", "v2")
	if response := c.nodes["c"].node.ExecuteOnce(t.Context(), &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: "plan"}); string(response.Value) != "v2" {
		t.Fatalf("read %q, status %d", response.Value, response.Status)
	}
}
