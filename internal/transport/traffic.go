package transport

import (
	"net"
	"sync/atomic"
)

// Traffic counts what this process sent and received over all of its connections.
type Traffic struct{ FramesReceived, FramesSent, BytesReceived, BytesSent int64 }

var framesReceived, framesSent, bytesReceived, bytesSent atomic.Int64

// TotalTraffic is the traffic since the process began.
func TotalTraffic() Traffic {
	return Traffic{
		FramesReceived: framesReceived.Load(),
		FramesSent:     framesSent.Load(),
		BytesReceived:  bytesReceived.Load(),
		BytesSent:      bytesSent.Load(),
	}
}

// countedConn counts the bytes that are read from a connection.
type countedConn struct{ net.Conn }

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesReceived.Add(int64(n))
	return n, err
}
