package harness

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// reservePort reserves a free port on loopback for as long as the returned socket is open. The port is first bound
// exclusively, so that other harness processes get different ports. SO_REUSEADDR is set only afterwards, so that the
// sender can bind the port, too: listeners of package net always set SO_REUSEADDR. While the sender does not listen,
// connections are refused, as on the port of a process that has ended.
func reservePort() (fd int, addr string, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, "", fmt.Errorf("harness: %w", err)
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
		return -1, "", fmt.Errorf("harness: reserving a port for a sender: %w", err)
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port), nil
}
