package harness

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// reservePort reserves a free port on loopback for as long as the returned socket is open. Only the sender that is
// meant listens there: the port is bound exclusively first, so that another harness gets another one, and only then
// opened to those that bind with SO_REUSEADDR, as every listener of package net does. A bound socket that does not
// listen refuses connections, as the port of a process that has ended does.
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
