package wigeoningress

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Address is the address of a client. It also tells of the request that its connection is handling, because handlers get no more of a
// connection than the address.
type Address struct {
	net.Addr
	conn *Conn
}

// RemoteAddr returns an Address.
func (c *Conn) RemoteAddr() net.Addr { return Address{c.Conn.RemoteAddr(), c} }

// RequestBegan returns the time at which the first byte of the current request was read.
func (a Address) RequestBegan() time.Time { return a.conn.begunAt }

// RequestArrived returns the latest time at which the current request can have arrived. That is earlier than RequestBegan if the process
// was paused, or was late to accept the connection, while the request waited in the buffers of the system.
func (a Address) RequestArrived() time.Time {
	began := a.RequestBegan()
	if last := time.Now().Add(-sinceLastData(a.conn.Conn)); last.Before(began) {
		return last
	}
	return began
}

// sinceLastData returns the time since the last bytes arrived on a connection; 0 if the system doesn't tell.
func sinceLastData(conn net.Conn) time.Duration {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) //nolint:gosec // a descriptor
	})
	if err != nil || info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
