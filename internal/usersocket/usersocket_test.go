package usersocket

import (
	"net"
	"os"
	"path/filepath"
	"testing"
)

// A socket takes the place of one that was there, is its owner's alone, and outlasts Close.
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
		t.Error("a socket in a folder that does not exist")
	}
	if uid := PeerUID(&net.TCPConn{}); uid != -1 {
		t.Errorf("the peer on TCP is user %d", uid)
	}
}
