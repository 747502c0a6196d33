package quorum

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cleathold/internal/netfault"
	"cleathold/internal/store"
)

// recordingMachine is a Machine that records the entries applied to it.
type recordingMachine struct {
	mu      sync.Mutex
	List    []string
	changed chan struct{}
}

func newRecordingMachine() *recordingMachine { return &recordingMachine{changed: make(chan struct{})} }

func (t *recordingMachine) Apply(_ uint64, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.List = append(t.List, string(data))
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *recordingMachine) Snapshot() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return json.Marshal(t.List)
}

func (t *recordingMachine) Restore(_ uint64, data []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.List = nil
	return json.Unmarshal(data, &t.List)
}

func (t *recordingMachine) all() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.List)
}

// waitFor waits until an entry is applied. It returns false if that does not happen within the timeout.
func (t *recordingMachine) waitFor(text string, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		t.mu.Lock()
		applied, changed := slices.Contains(t.List, text), t.changed
		t.mu.Unlock()
		if applied {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		}
	}
}

// testAgent is an agent under test with its folder and its address.
type testAgent struct {
	name, dir string
	peers     map[string]string
	listener  net.Listener
	log       *recordingMachine
	node      *Node
	server    *http.Server
	cancel    context.CancelFunc
	done      chan error
}

func (h *testAgent) stop() error {
	if h.cancel == nil {
		return nil
	}
	h.cancel()
	h.cancel = nil
	h.server.Close()
	return <-h.done
}

// testCluster is a set of agents and the network between them.
type testCluster struct {
	t      *testing.T
	net    *netfault.Net
	agents []*testAgent
	names  []string
}

func newTestCluster(t *testing.T, n int) *testCluster {
	t.Helper()
	x := &testCluster{t: t, net: netfault.New(1)}
	t.Cleanup(func() {
		for _, h := range x.agents {
			h.stop()
			h.listener.Close()
		}
		x.net.Close()
	})
	for i := range n {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		x.names = append(x.names, fmt.Sprint("a", i))
		x.agents = append(x.agents, &testAgent{name: x.names[i], dir: t.TempDir(), listener: listener,
			peers: map[string]string{}})
	}
	for _, a := range x.agents {
		for _, b := range x.agents {
			addr := b.listener.Addr().String()
			if a != b {
				var err error
				if addr, err = x.net.TCP(a.name, b.name, "127.0.0.1", addr); err != nil {
					t.Fatal(err)
				}
			}
			a.peers[b.name] = addr
		}
		if err := Bootstrap(store.Dir(a.dir), a.name, x.names); err != nil {
			t.Fatal(err)
		}
	}
	for _, h := range x.agents {
		x.start(h)
	}
	return x
}

func (x *testCluster) start(h *testAgent) {
	x.t.Helper()
	h.log = newRecordingMachine()
	node, err := Open(Config{Name: h.name, FS: store.Dir(h.dir), Peers: h.peers, Machine: h.log,
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		x.t.Fatal(err)
	}
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	h.node, h.done = node, make(chan error, 1)
	go func() { h.done <- node.Run(ctx) }()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, node.Receive)
	h.server = &http.Server{Handler: mux}
	file, err := h.listener.(*net.TCPListener).File()
	if err != nil {
		x.t.Fatal(err)
	}
	defer file.Close()
	listener, err := net.FileListener(file)
	if err != nil {
		x.t.Fatal(err)
	}
	go h.server.Serve(listener)
}

// propose proposes an entry repeatedly until its proposer has applied it. It returns false after the timeout.
func (x *testCluster) propose(h *testAgent, text string, timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); {
		if h.node.Propose(x.t.Context(), []byte(text)) == nil && h.log.waitFor(text, time.Second) {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func (x *testCluster) leader(among ...int) *testAgent {
	x.t.Helper()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, i := range among {
			if s := x.agents[i].node.Status(); s.Leads {
				return x.agents[i]
			}
		}
	}
	x.t.Fatal("no agent leads")
	return nil
}
