package usersocket

import (
	"net"
	"os"
	"path/filepath"
	"testing"
)

// Listen replaces an existing socket, gives access to the owner alone, and leaves the path in place after Close.
func TestListen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	for range 2 {
		l, err := Listen(path)
		if err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(path)
		if err != nil || info.Mode().Perm() != 0o600 || info.Mode().Type() != os.ModeSocket {
			t.Fatalf("%v, %v", info, err)
		}
		client, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		server, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if uid := PeerUID(server); uid != os.Getuid() {
			t.Errorf("the peer is user %d, want %d", uid, os.Getuid())
		}
		server.Close()
		client.Close()
		l.Close()
	}
	if _, err := os.Stat(path); err != nil {
		t.Error(err)
	}
	if _, err := Listen(filepath.Join(t.TempDir(), "missing", "s")); err == nil {
		t.Error("Listen succeeded in a folder that does not exist")
	}
	if uid := PeerUID(&net.TCPConn{}); uid != -1 {
		t.Errorf("the peer of a TCP connection is user %d, want -1", uid)
	}
}
