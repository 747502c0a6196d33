// Package ownsock has Unix sockets that serve the program's own user.
package ownsock

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// Listen binds a socket for its owner alone, in the place of one that was there. Its path outlasts Close.
func Listen(path string) (*net.UnixListener, error) {
	// Under another name until its mode is set.
	fresh := path + ".new"
	os.Remove(fresh)
	sock, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, err
	}
	sock.SetUnlinkOnClose(false)
	if err = os.Chmod(fresh, 0o600); err == nil {
		err = os.Rename(fresh, path)
	}
	if err != nil {
		sock.Close()
		os.Remove(fresh)
		return nil, err
	}
	return sock, nil
}

// Peer is the user at the other end of a connection; -1 if the kernel won't tell.
func Peer(c net.Conn) int {
	u, ok := c.(*net.UnixConn)
	if !ok {
		return -1
	}
	raw, err := u.SyscallConn()
	if err != nil {
		return -1
	}
	uid := -1
	raw.Control(func(fd uintptr) {
		if cred, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED); err == nil {
			uid = int(cred.Uid)
		}
	})
	return uid
}
