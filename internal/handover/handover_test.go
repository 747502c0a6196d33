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

// line is a message as it travels.
func line(t *testing.T, m message) []byte {
	t.Helper()
	text, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

func socketPath(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "ho") // a Unix address is short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return filepath.Join(dir, "s")
}

func anEstate() state.HandoverState {
	return state.HandoverState{Version: 7, Drained: true, Lease: lease.Holder{Epoch: 9, Until: time.Now().Add(time.Minute), Drain: true}, InFlight: []state.RemoteAttempt{{Message: 3, Attempt: 1, Call: 1}}}
}

// The heir says what it says up to each byte in turn, and is gone. Before the last byte of 'ready' the giver keeps all,
// and gives it to the next one that asks; after it the heir has it.
func TestHeirCutAtEachByte(t *testing.T) {
	path := socketPath(t)
	desk, err := Listen(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer desk.Close(false)
	sock, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer sock.Close()
	gave := make(chan error, 1)
	go func() {
		for ask := range desk.Requests() {
			gave <- ask.HandOver(sock.(*net.TCPListener), anEstate())
		}
	}()
	ask, ready := line(t, message{Version: version, Ask: true}), line(t, message{Ready: true})
	all := append(append([]byte{}, ask...), ready...)
	for k := range len(all) + 1 {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		c.Write(all[:min(k, len(ask))])
		if k >= len(ask) { // it is asked; the rest is said once the estate is there
			c.SetReadDeadline(time.Now().Add(20 * time.Second))
			var size [4]byte
			if _, err := io.ReadFull(c, size[:]); err != nil {
				t.Fatalf("%d bytes: no estate: %v", k, err)
			}
			if _, err := io.CopyN(io.Discard, c, int64(binary.BigEndian.Uint32(size[:]))); err != nil {
				t.Fatal(err)
			}
			c.Write(all[len(ask):k])
			if k == len(all) {
				if m, err := receive(c); err != nil || !m.Yours {
					t.Errorf("not acknowledged: %+v, %v", m, err)
				}
			}
		}
		c.Close()
		if k < len(ask) {
			continue
		}
		select {
		case err := <-gave:
			if (err == nil) != (k == len(all)) {
				t.Errorf("%d of %d bytes: the giver believes %v", k, len(all), err)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%d bytes: the giver waits on", k)
		}
	}
}

// posted are what an heir hears of the forwards that were out.
type posted struct{ list []state.Event }

func (p *posted) Post(e state.Event) { p.list = append(p.list, e) }

// The giver says what it says up to each byte in turn, and is gone. An heir without the whole estate takes nothing over. One
// that serves hears of each forward at most once, and that the rest is lost.
func TestGiverCutAtEachByte(t *testing.T) {
	path := socketPath(t)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	sock, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer sock.Close()
	file, err := sock.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	e := anEstate()
	estate := line(t, message{Version: version, Estate: &e})
	r := state.RemoteResult{Message: 3, Attempt: 1, Target: "s", Result: control.Served, Final: true}
	yours, rest := line(t, message{Yours: true}), line(t, message{Returned: &r, Last: true})
	total := len(estate) + len(yours) + len(rest)
	for k := range total + 1 {
		served := make(chan struct{})
		go func() { // the giver
			defer close(served)
			c, err := l.AcceptUnix()
			if err != nil {
				return
			}
			defer c.Close()
			if m, err := receive(c); err != nil || !m.Ask {
				t.Errorf("asked: %+v, %v", m, err)
			}
			if k == 0 {
				return
			}
			c.WriteMsgUnix(estate[:1], unix.UnixRights(int(file.Fd())), nil)
			c.Write(estate[1:max(1, min(k, len(estate)))])
			if k < len(estate) {
				return
			}
			if m, err := receive(c); err != nil || !m.Ready {
				t.Errorf("%d bytes: the heir is not ready: %+v, %v", k, m, err)
			}
			c.Write(yours[:min(k-len(estate), len(yours))])
			c.Write(rest[:max(0, min(k-len(estate)-len(yours), len(rest)))])
		}()
		i, err := RequestTakeover(path)
		if k < len(estate) {
			if err == nil || i != nil {
				t.Fatalf("%d of %d bytes of the estate were enough", k, len(estate))
			}
			<-served
			continue
		}
		if err != nil {
			t.Fatalf("%d bytes: %v", k, err)
		}
		if i.State.Version != e.Version || i.State.Lease.Epoch != 9 || !i.State.Lease.Active() || !i.State.Drained {
			t.Errorf("%+v", i.State)
		}
		// A giver that is gone can't take anything back: this process goes on.
		if err := i.ConfirmReady(); err != nil {
			t.Errorf("%d bytes: %v", k, err)
		}
		var p posted
		i.Run(context.Background(), &p)
		i.Listener.Close()
		returned, lost := 0, 0
		for _, e := range p.list {
			switch e.(type) {
			case state.RemoteResult:
				returned++
			case state.PredecessorLost:
				lost++
			}
		}
		if want := k == total; lost != 1 || (returned == 1) != want || returned > 1 {
			t.Errorf("%d of %d bytes: heard of %d forwards, %d times that the rest is lost", k, total, returned, lost)
		}
		<-served
	}
}
