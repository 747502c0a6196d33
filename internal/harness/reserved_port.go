package harness

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// reservePort takes a free port for as long as the socket is open that it returns.
// Nobody but the process that is meant listens there: the port is bound for us alone
// first, so that another rig gets another, and only then opened to those that bind
// with SO_REUSEADDR, as every listener of net does. A bound socket that does not
// listen refuses connections, as the port of a dead process does.
func reservePort() (fd int, addr string, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, "", fmt.Errorf("rig: %w", err)
	}
	err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	if err == nil {
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	}
	var name unix.Sockaddr
	if err == nil {
		name, err = unix.Getsockname(fd)
	}
	if err != nil {
		unix.Close(fd)
		return -1, "", fmt.Errorf("rig: a port for a sender: %w", err)
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port), nil
}
