// Package overload tests that processes survive clients that their operators do not control: crowds
// that send large or endless requests, stop just short of their end, or do not read. Each test runs the
// real programs on loopback addresses and checks what does not depend on the speed of the machine: that
// the process lives, that its memory and descriptors stay within those of its machine, and that an
// ordinary request is answered. The tests run one at a time, apart from other load.
package overload

import (
	"testing"
)

// TestProxyCallers sends crowds to a proxy's port for callers.
func TestProxyCallers(t *testing.T) {
	f := newFleet(t)
	hold, idem := proxyRequest("/hold/x"), proxyRequest("/idem/x")
	for _, c := range []namedCrowd{
		{"bodies one byte short", 100, lengthBody(idem, maxBody, maxBody-1)},
		{"bodies half sent", 200, lengthBody(idem, maxBody, maxBody/2)},
		{"large chunks without an end", 100, chunkedBody(idem, 64<<10, maxBody)},
		{"tiny chunks without an end", 60, chunkedBody(idem, 16, maxBody)},
		{"whole bodies that wait for an engine", 100, lengthBody(hold, maxBody, maxBody)},
		{"bodies announced too long", 150, lengthBody(idem, 1<<30, 32<<20)},
		{"bodies that become too long", 150, chunkedBody(idem, 64<<10, 32<<20)},
		{"bodies for no route", 100, lengthBody(proxyRequest("/none/x"), maxBody, maxBody-1)},
		{"bodies without a key", 100, lengthBody(func(headers ...string) string { return request("/idem/x", headers...) }, maxBody, maxBody-1)},
		{"heads without an end", 1500, endlessHead(maxHead - 200)},
		{"heads of many fields", 400, manyFields(idem, maxHead-1024)},
		{"chunk lines without an end", 1500, whole(idem("Transfer-Encoding: chunked")+"1;", 1<<20)},
		{"bytes after a request in service", 1500, whole(hold("Content-Length: 0"), 4<<20)},
		{"unread responses", 300, whole(proxyRequest("/big/x")("Content-Length: 0"), 0)},
		{"unread streams", 150, whole(proxyRequest("/events/x")("Content-Length: 0"), 0)},
		{"idle connections", 2200, silent},
		{"requests in service", 2200, whole(hold("Content-Length: 0"), 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			f.restartProxy(t)
			x := target{f.proxy, f.group, f.call, f.callLargest}
			x.bear(t, &crowd{addr: f.address(controls+1) + ":" + frontendPort, connections: c.connections, send: c.send})
		})
	}
}

// TestProxyReadiness sends crowds to a proxy's port for readiness and metrics.
func TestProxyReadiness(t *testing.T) {
	f := newFleet(t)
	for _, c := range operationalCrowds("/readiness") {
		t.Run(c.name, func(t *testing.T) {
			f.restartProxy(t)
			both := func() error {
				if err := f.ready(); err != nil {
					return err
				}
				return f.call()
			}
			x := target{f.proxy, f.group, both, nil}
			x.bear(t, &crowd{addr: f.address(controls+1) + ":" + readinessPort, connections: c.connections, send: c.send})
		})
	}
}

// namedCrowd is a case of a table of crowds.
type namedCrowd struct {
	name        string
	connections int
	send        shape
}

// operationalCrowds are crowds at a port that serves readiness and metrics.
func operationalCrowds(path string) []namedCrowd {
	post := func(headers ...string) string { return request(path, headers...) }
	return []namedCrowd{
		{"heads without an end", 1500, endlessHead(30 << 10)},
		{"heads of many fields", 400, manyFields(post, 30<<10)},
		{"bodies without an end", 300, lengthBody(post, 1<<30, 8<<20)},
		{"chunks without an end", 300, chunkedBody(post, 64<<10, 8<<20)},
		{"unread metrics", 1500, whole(repeated("GET /metrics HTTP/1.1\r\nHost: "+host+"\r\n\r\n", 40), 0)},
		{"idle connections", 2200, silent},
	}
}
