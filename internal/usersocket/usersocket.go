// Package usersocket opens Unix sockets that only the program's own user can connect to, and tells which user a peer is.
//
// It owns nothing: a socket and its path belong to whoever called Listen. It must not decide who may do what: callers
// compare Peer's result with their own rules.
package usersocket

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// ownerOnly is the mode of a socket's path: read and write, which connecting needs, for its owner alone.
const ownerOnly = 0o600

// Listen binds a socket at a path for its owner alone, in the place of one that was there. The path outlasts Close. Its
// errors are those of net.ListenUnix, os.Chmod and os.Rename.
func Listen(path string) (*net.UnixListener, error) {
	// The socket has another name until its mode is set: nobody else may connect before.
	tempPath := path + ".new"
	os.Remove(tempPath)
	sock, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return nil, err
	}
	sock.SetUnlinkOnClose(false)
	if err = os.Chmod(tempPath, ownerOnly); err == nil {
		err = os.Rename(tempPath, path)
	}
	if err != nil {
		sock.Close()
		os.Remove(tempPath)
		return nil, err
	}
	return sock, nil
}

// PeerUID returns the user id at the other end of a connection; -1 if it is no Unix socket or the kernel does not tell.
func PeerUID(c net.Conn) int {
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
