package handover

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/control"
	"cleathold/internal/lease"
	"cleathold/internal/state"
)

// encodeMessage returns the encoding of a message with its length prefix.
func encodeMessage(t *testing.T, m message) []byte {
	t.Helper()
	text, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

func socketPath(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "ho") // the address of a Unix socket is limited to about 100 bytes
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return filepath.Join(dir, "s")
}

func testState() state.HandoverState {
	return state.HandoverState{
		Version: 7, Drained: true, Lease: lease.Holder{Epoch: 9, Until: time.Now().Add(time.Minute), Drain: true},
		InFlight: []state.RemoteAttempt{{Message: 3, Attempt: 1, Call: 1}},
	}
}

// The successor disconnects after each possible number of bytes. Before the last byte of its ready message the
// predecessor keeps its state and hands it over to the next successor; after it the successor owns the state.
func TestSuccessorDisconnectsAtEachByte(t *testing.T) {
	path := socketPath(t)
	listener, err := Listen(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close(false)
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	handedOver := make(chan error, 1)
	go func() {
		for request := range listener.Requests() {
			handedOver <- request.HandOver(socket.(*net.TCPListener), testState())
		}
	}()
	request, ready := encodeMessage(t, message{Version: version, Request: true}), encodeMessage(t, message{Ready: true})
	all := append(append([]byte{}, request...), ready...)
	for k := range len(all) + 1 {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		c.Write(all[:min(k, len(request))])
		if k >= len(request) { // the request is complete; the ready message follows the state
			c.SetReadDeadline(time.Now().Add(20 * time.Second))
			var size [4]byte
			if _, err := io.ReadFull(c, size[:]); err != nil {
				t.Fatalf("%d bytes: no state: %v", k, err)
			}
			if _, err := io.CopyN(io.Discard, c, int64(binary.BigEndian.Uint32(size[:]))); err != nil {
				t.Fatal(err)
			}
			c.Write(all[len(request):k])
			if k == len(all) {
				if m, err := readMessage(c); err != nil || !m.Confirmed {
					t.Errorf("not confirmed: %+v, %v", m, err)
				}
			}
		}
		c.Close()
		if k < len(request) {
			continue
		}
		select {
		case err := <-handedOver:
			if (err == nil) != (k == len(all)) {
				t.Errorf("%d of %d bytes: the predecessor's hand-over returned %v", k, len(all), err)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%d bytes: the predecessor still waits", k)
		}
	}
}

// recordedEvents records the events posted to a successor about the attempts in flight.
type recordedEvents struct{ events []state.Event }

func (p *recordedEvents) Post(e state.Event) { p.events = append(p.events, e) }

// count returns the number of results, and the number of events that report the predecessor as lost.
func (p *recordedEvents) count() (results, lost int) {
	for _, e := range p.events {
		switch e.(type) {
		case state.RemoteResult:
			results++
		case state.PredecessorLost:
			lost++
		}
	}
	return results, lost
}

// truncatedPredecessor is a predecessor that disconnects after a given number of bytes.
type truncatedPredecessor struct {
	file                   *os.File // the listening socket
	state, confirmed, rest []byte
}

// serve answers one successor with the first k bytes of its messages and disconnects.
func (p *truncatedPredecessor) serve(t *testing.T, l *net.UnixListener, k int) {
	c, err := l.AcceptUnix()
	if err != nil {
		return
	}
	defer c.Close()
	if m, err := readMessage(c); err != nil || !m.Request {
		t.Errorf("requested: %+v, %v", m, err)
	}
	if k == 0 {
		return
	}
	c.WriteMsgUnix(p.state[:1], unix.UnixRights(int(p.file.Fd())), nil)
	c.Write(p.state[1:max(1, min(k, len(p.state)))])
	if k < len(p.state) {
		return
	}
	if m, err := readMessage(c); err != nil || !m.Ready {
		t.Errorf("%d bytes: the successor is not ready: %+v, %v", k, m, err)
	}
	c.Write(p.confirmed[:min(k-len(p.state), len(p.confirmed))])
	c.Write(p.rest[:max(0, min(k-len(p.state)-len(p.confirmed), len(p.rest)))])
}

// The predecessor disconnects after each possible number of bytes. A successor without the whole state takes over
// nothing. A successor that serves receives each result at most once, and one event that the predecessor is lost.
func TestPredecessorDisconnectsAtEachByte(t *testing.T) {
	path := socketPath(t)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	file, err := socket.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	handedOver := testState()
	result := state.RemoteResult{Message: 3, Attempt: 1, Target: "s", Result: control.Served, Final: true}
	p := &truncatedPredecessor{
		file: file, state: encodeMessage(t, message{Version: version, State: &handedOver}),
		confirmed: encodeMessage(t, message{Confirmed: true}), rest: encodeMessage(t, message{Result: &result, Last: true}),
	}
	total := len(p.state) + len(p.confirmed) + len(p.rest)
	for k := range total + 1 {
		served := make(chan struct{})
		go func() {
			defer close(served)
			p.serve(t, l, k)
		}()
		takeover, err := RequestTakeover(path)
		if k < len(p.state) {
			if err == nil || takeover != nil {
				t.Fatalf("takeover succeeded with %d of %d bytes of the state", k, len(p.state))
			}
			<-served
			continue
		}
		if err != nil {
			t.Fatalf("%d bytes: %v", k, err)
		}
		if takeover.State.Version != handedOver.Version || takeover.State.Lease.Epoch != 9 ||
			!takeover.State.Lease.Active() || !takeover.State.Drained {
			t.Errorf("%+v", takeover.State)
		}
		// A predecessor that has disconnected can't take back its state, so this process continues.
		if err := takeover.ConfirmReady(); err != nil {
			t.Errorf("%d bytes: %v", k, err)
		}
		var events recordedEvents
		takeover.Run(context.Background(), &events)
		takeover.Listener.Close()
		results, lost := events.count()
		if want := k == total; lost != 1 || (results == 1) != want || results > 1 {
			t.Errorf("%d of %d bytes: received %d results and %d events that the predecessor is lost", k, total, results, lost)
		}
		<-served
	}
}
