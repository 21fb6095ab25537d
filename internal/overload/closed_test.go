package overload

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// tcpInfoEstablished is the state of a connection that neither side has closed.
const tcpInfoEstablished = 1

// isClosedByPeer reports whether the peer has closed or reset a connection, without reading from it.
func isClosedByPeer(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State != tcpInfoEstablished
	})
	return closed || errors.Is(err, net.ErrClosed) || err != nil
}
