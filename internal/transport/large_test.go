package transport

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"violetthread/internal/codec"
	"violetthread/internal/limits"
	"violetthread/internal/taskgroup"
	"violetthread/schema/fb"
)

const (
	largeBytes = 4 << 20
	// pollTimeoutUS is how long a proxy waits for the configuration (internal/app/proxy).
	pollTimeoutUS = 450_000
)

// TestLargeResponseFromBoundedPort guards against a response of some megabytes that takes seconds
// because of the small kernel buffers of a bounded port: proxies gave up waiting for a large
// configuration, and rejected all requests once the one that they had was too old.
func TestLargeResponseFromBoundedPort(t *testing.T) {
	g := newGroup(t)
	machine := limits.Machine{MemoryBytes: 280 << 20, Descriptors: 4096}
	listener, err := limits.Listen("127.0.0.1:0", machine.NewPort(PortName, 0.5, logr.Discard()))
	if err != nil {
		t.Fatal(err)
	}
	value := make([]byte, largeBytes)
	Serve(g, listener, func(context.Context, *fb.FrameT) *fb.FrameT {
		return &fb.FrameT{MapResponse: &fb.MapResponseT{Config: value}}
	})
	p := NewPeer(g, listener.Addr().String())
	for i := range 5 {
		response, err := p.Call(context.Background(), &fb.FrameT{MapRequest: &fb.MapRequestT{}}, pollTimeoutUS)
		if err != nil || len(response.MapResponse.Config) != largeBytes {
			t.Fatalf("call %d: %v", i, err)
		}
	}
}

// slowPeer returns a peer that writes its response in pieces, with a pause before each that is shorter
// than shortTimeoutUS, and stops after some of them.
func slowPeer(t *testing.T, g *taskgroup.Group, pieces, written int) *fakePeer {
	return newFakePeer(t, g, func(c *fakePeerConn, request *fb.FrameT, _ int) {
		response := codec.Encode(responseTo(request))
		pause := time.NewTicker(shortTimeoutUS / 2 * time.Microsecond)
		defer pause.Stop()
		for i := range written {
			<-pause.C
			c.writeRaw(response[i*len(response)/pieces : (i+1)*len(response)/pieces])
		}
	})
}

// TestResponseThatArrivesSlowly guards against giving up a response while it is arriving: a large
// configuration never reached a proxy behind a slow link.
func TestResponseThatArrivesSlowly(t *testing.T) {
	g := newGroup(t)
	if ok, err := call(NewPeer(g, slowPeer(t, g, 10, 10).addr), "slow", shortTimeoutUS); !ok || err != nil {
		t.Fatalf("no response: %v", err)
	}
}

// TestResponseThatStopsArriving guards against waiting for the rest of a response that does not come.
func TestResponseThatStopsArriving(t *testing.T) {
	g := newGroup(t)
	start := time.Now()
	if ok, err := call(NewPeer(g, slowPeer(t, g, 10, 4).addr), "stopped", shortTimeoutUS); ok || err != nil {
		t.Fatalf("%v %v", ok, err)
	}
	if waited := time.Since(start); waited >= writeTimeout {
		t.Fatalf("waited for %v", waited)
	}
}
