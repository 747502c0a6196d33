// Package usersocket opens Unix sockets that only the program's own user can connect to, and returns the user ID of a
// peer.
//
// It keeps no state: the caller of Listen owns the socket and its path. It must not decide on permissions; callers
// apply their own rules to the result of PeerUID.
package usersocket

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// ownerOnly is the file mode of a socket: read and write for its owner alone. Connecting requires write permission.
const ownerOnly = 0o600

// Listen binds a Unix socket that only its owner can connect to, and replaces an existing socket at the path. The path
// remains after Close. Errors are those of net.ListenUnix, os.Chmod and os.Rename.
func Listen(path string) (*net.UnixListener, error) {
	// The socket has a temporary name until its mode is set, so that other users can't connect before.
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

// PeerUID returns the user ID of a connection's peer. It returns -1 if the connection is not a Unix socket or the
// kernel does not provide the ID.
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
