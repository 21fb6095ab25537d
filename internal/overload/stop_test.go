package overload

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// gracePeriod is how long after SIGTERM the platform kills a process; the settings file says the same.
const gracePeriod = 8 * time.Second

// TestStopBesideStalledClients: clients that stop in the middle of a body, at the port for callers and at
// the one for readiness, do not keep a proxy from ending within its grace period.
func TestStopBesideStalledClients(t *testing.T) {
	f := newFleet(t)
	ctx, stop := context.WithCancel(f.group.Context())
	defer stop()
	proxy := f.address(controls + 1)
	post := func(headers ...string) string { return request("/readiness", headers...) }
	crowds := []*crowd{
		{addr: proxy + ":" + frontendPort, connections: 20, send: lengthBody(proxyRequest("/idem/x"), maxBody, maxBody/2)},
		{addr: proxy + ":" + readinessPort, connections: 20, send: lengthBody(post, 100<<10, 1<<10)},
	}
	for _, c := range crowds {
		defer c.run(ctx, f.group)()
		c.awaitQuiet(ctx)
	}
	defer stop() // before the crowds are waited for
	_ = f.proxy.command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(gracePeriod)
	defer timer.Stop()
	select {
	case <-f.proxy.ended:
		if code := f.proxy.command.ProcessState.ExitCode(); code != 0 {
			t.Errorf("the proxy ended with code %d:\n%s", code, f.proxy.logTail())
		}
	case <-timer.C:
		t.Errorf("the proxy still runs %v after SIGTERM:\n%s", gracePeriod, f.proxy.logTail())
	}
}
