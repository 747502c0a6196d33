package handover

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cleathold/internal/golden"
	"cleathold/internal/state"
)

// TestGoldenMessages writes and reads each line of a hand-over as 096da04 did, with the length before it.
func TestGoldenMessages(t *testing.T) {
	handedOver, result := golden.Fill[state.HandoverState](), golden.Fill[state.RemoteResult]()
	for name, m := range map[string]message{
		"ask":      {Version: version, Request: true},
		"refused":  {Rejection: "why"},
		"estate":   {State: &handedOver},
		"ready":    {Ready: true},
		"yours":    {Confirmed: true},
		"returned": {Result: &result, Last: true},
		"last":     {Last: true},
	} {
		golden.Bytes(t, name+".txt", socketBytes(t, m), false)
		line, err := os.ReadFile(golden.Path(name + ".txt"))
		if err != nil {
			t.Fatal(err)
		}
		read, err := readMessage(bytes.NewReader(line))
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if again := socketBytes(t, read); !bytes.Equal(again, line) {
			t.Errorf("%s: read as %q, want %q", name, again, line)
		}
	}
}

// socketBytes is what goes over the socket for a message.
func socketBytes(t *testing.T, m message) []byte {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := writeMessage(c, m, nil, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	c.CloseWrite()
	other, err := l.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(other); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}
