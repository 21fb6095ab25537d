package proxy

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"violetthread/internal/clock"
	"violetthread/placement"
)

// pipedConn returns a connection to an engine that sends nothing.
func pipedConn(t *testing.T) *engineConn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return &engineConn{Conn: near, br: bufio.NewReader(near)}
}

// keepAliveHeader returns the header of a response whose engine keeps idle connections for some
// seconds.
func keepAliveHeader(seconds string) http.Header {
	return http.Header{"Keep-Alive": {"timeout=" + seconds}}
}

// TestPoolHonoursKeepAlive: a connection is kept for as long as its engine announces, only for a
// short time if long keep-alive is switched off, and not at all if the engine announces 0.
func TestPoolHonoursKeepAlive(t *testing.T) {
	for _, c := range []struct {
		seconds   string
		long      bool
		from, to  int64 // bounds of the time for which it is kept
		connected bool
	}{
		{"10", true, 9_000_000, 10_000_000, true},
		{"10", false, 3_000_000, shortIdleUS, true},
		{"0", true, 0, 0, false},
	} {
		pool := newConnPool()
		pool.longKeepAlive = c.long
		pool.put("p", "i-1", pipedConn(t), keepAliveHeader(c.seconds))
		if pool.connected("i-1") != c.connected || pool.connected("i-2") {
			t.Errorf("%+v: connected %v", c, pool.connected("i-1"))
		}
		conn := pool.get("i-1")
		if (conn != nil) != c.connected {
			t.Fatalf("%+v: got %v", c, conn)
		}
		if conn == nil {
			continue
		}
		if left := conn.usableUntil - clock.Now(); left < c.from || left > c.to {
			t.Errorf("%+v: usable for %d µs", c, left)
		}
		if pool.connected("i-1") {
			t.Errorf("%+v: still connected after the only connection was taken", c)
		}
	}
}

// TestPoolShortensIdleTimeAfterLoss: after an idle connection was lost, connections to engines of
// that pool are kept for a shorter time; other pools are not affected.
func TestPoolShortensIdleTimeAfterLoss(t *testing.T) {
	pool := newConnPool()
	lost := pipedConn(t)
	lost.used, lost.idledUS = 1, 3_000_000
	pool.recordIdleLoss("p", lost)
	for name, most := range map[string]int64{"p": 1_500_000, "q": 10_000_000} {
		pool.put(name, "i-"+name, pipedConn(t), keepAliveHeader("10"))
		conn := pool.get("i-" + name)
		if conn == nil {
			t.Fatalf("pool %s kept no connection", name)
		}
		if left := conn.usableUntil - clock.Now(); left > most || left < most/2 {
			t.Errorf("pool %s: usable for %d µs, want about %d", name, left, most)
		}
	}
}

// TestDecisionMetrics: the metrics compare predicted and actual times, only for requests with a
// prompt.
func TestDecisionMetrics(t *testing.T) {
	picker := placement.New("here", nil)
	picker.SetFleet([]*placement.Engine{{ID: "i-1", Pool: "p", Zone: "here"}}, nil)
	metrics := newDecisionMetrics()
	for _, tokens := range []int{0, 100} {
		choice, ok := picker.Pick(1_000_000, &placement.Request{Pool: "p", PromptTokens: tokens})
		if !ok {
			t.Fatal("no engine selected")
		}
		picker.RequestSent(1_000_000, &choice)
		metrics.observe(1_200_000, &choice)
	}
	if n, sum := histogramOf(t, metrics.firstEvent); n != 1 || sum != 0.2 {
		t.Errorf("first events: %d, %v s", n, sum)
	}
	if n, sum := histogramOf(t, metrics.prediction); n != 1 || sum <= 0 || sum > 1 {
		t.Errorf("predictions: %d, ratio %v", n, sum)
	}
}

// histogramOf returns the number of values in a histogram, and their sum.
func histogramOf(t *testing.T, histogram prometheus.Histogram) (count uint64, sum float64) {
	t.Helper()
	var metric dto.Metric
	if err := histogram.Write(&metric); err != nil {
		t.Fatal(err)
	}
	return metric.GetHistogram().GetSampleCount(), metric.GetHistogram().GetSampleSum()
}
