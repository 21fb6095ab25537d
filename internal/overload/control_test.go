package overload

import (
	"encoding/binary"
	"io"
	"strings"
	"testing"
)

const maxChange = 8 << 20 // bytes of a change of the configuration

func repeated(text string, n int) string { return strings.Repeat(text, n) }

// partialFrame sends the header of a frame between nodes and a part of its body.
func partialFrame(length uint32, sent int) shape {
	return func(w io.Writer) error {
		if _, err := w.Write(binary.LittleEndian.AppendUint64(nil, uint64(length))); err != nil {
			return err
		}
		return writeZeros(w, sent)
	}
}

// transportCrowds are crowds at a port for traffic between nodes.
func transportCrowds() []namedCrowd {
	return []namedCrowd{
		{"frames without an end", 100, partialFrame(32<<20, 8<<20)},
		{"frame headers without a body", 1500, partialFrame(32<<20, 0)},
		{"idle connections", 2200, silent},
	}
}

// TestControlOperators sends crowds to a control node's port for operators and engines.
func TestControlOperators(t *testing.T) {
	f := newFleet(t)
	put := func(headers ...string) string {
		return "PUT" + strings.TrimPrefix(request("/configuration", append(headers, "If-Match: 1")...), "POST")
	}
	version := func(headers ...string) string { return request("/version-put", headers...) }
	cases := append(operationalCrowds("/readyz"),
		namedCrowd{"changes one byte short", 60, lengthBody(put, maxChange, maxChange-1)},
		namedCrowd{"changes in large chunks without an end", 60, chunkedBody(put, 64<<10, maxChange)},
		namedCrowd{"changes in tiny chunks without an end", 40, chunkedBody(put, 16, maxChange)},
		namedCrowd{"changes announced too long", 100, lengthBody(put, 1<<30, 32<<20)},
		namedCrowd{"versions without an end", 200, lengthBody(version, 1<<30, 8<<20)},
	)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { f.bearAtControl(t, controlPort, c) })
	}
	f.padding = 2 << 20
	t.Run("unread configurations", func(t *testing.T) {
		f.bearAtControl(t, controlPort, namedCrowd{"", 200, whole("GET /configuration HTTP/1.1\r\nHost: c\r\n\r\n", 0)})
	})
}

// TestControlTransport sends crowds to a control node's port for traffic between nodes.
func TestControlTransport(t *testing.T) {
	f := newFleet(t)
	for _, c := range transportCrowds() {
		t.Run(c.name, func(t *testing.T) { f.bearAtControl(t, f.port, c) })
	}
}

// bearAtControl sends a crowd to a port of a new process of the first control node.
func (f *fleet) bearAtControl(t *testing.T, port string, c namedCrowd) {
	f.restartControl(t)
	both := func() error {
		if err := f.putAtFirst(); err != nil {
			return err
		}
		return f.call()
	}
	x := target{f.controls[0], f.group, both, nil}
	x.bear(t, &crowd{addr: f.address(1) + ":" + port, connections: c.connections, send: c.send})
}
