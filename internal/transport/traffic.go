package transport

import (
	"net"
	"sync/atomic"
)

// Traffic is the number of frames and bytes that this process has sent and received over all
// connections of this package.
type Traffic struct{ FramesReceived, FramesSent, BytesReceived, BytesSent int64 }

var framesReceived, framesSent, bytesReceived, bytesSent atomic.Int64

// TotalTraffic returns the traffic since the process started.
func TotalTraffic() Traffic {
	return Traffic{
		FramesReceived: framesReceived.Load(),
		FramesSent:     framesSent.Load(),
		BytesReceived:  bytesReceived.Load(),
		BytesSent:      bytesSent.Load(),
	}
}

// countingConn counts the bytes that are read from a connection.
type countingConn struct{ net.Conn }

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesReceived.Add(int64(n))
	return n, err
}
