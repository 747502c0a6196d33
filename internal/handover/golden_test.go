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

// TestGoldenMessages encodes and decodes each message of a hand-over, including its length prefix, in the format of
// revision 096da04, and the doubt about the endpoint list, which came later.
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
		"list":     {ListDoubt: golden.Fill[*state.ListDoubt]()},
	} {
		golden.Bytes(t, name+".txt", socketBytes(t, m), false)
		encoded, err := os.ReadFile(golden.Path(name + ".txt"))
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := readMessage(bytes.NewReader(encoded))
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if again := socketBytes(t, decoded); !bytes.Equal(again, encoded) {
			t.Errorf("%s: encoded again as %q, want %q", name, again, encoded)
		}
	}
}

// socketBytes returns the bytes that writeMessage sends over a socket for a message.
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
