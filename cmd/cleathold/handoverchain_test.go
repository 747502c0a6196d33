package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/internal/admin"
	"cleathold/internal/handover"
	"cleathold/internal/netfault"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
	"cleathold/internal/usersocket"
)

// These are the directions of a relay.
const (
	fromSuccessor   = 0
	fromPredecessor = 1
)

// relay forwards the data and descriptors between two processes of a sender. After a number of bytes in one direction
// it closes both connections.
type relay struct {
	listener     *net.UnixListener
	direction    int
	remaining    int // bytes that may still pass in this direction; unlimited if negative
	mu           sync.Mutex
	passed       [2]int // bytes forwarded, by direction
	lengthPrefix []byte // the first bytes from the predecessor, which hold the length of its state
	done         chan struct{}
}

// newRelay listens at the socket path that the successor connects to, and closes the connections after remaining bytes
// in a direction.
func newRelay(t *testing.T, path, predecessorPath string, direction, remaining int) *relay {
	t.Helper()
	listener, err := usersocket.Listen(path)
	must(t, err)
	r := &relay{listener: listener, direction: direction, remaining: remaining, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		successor, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		listener.Close()
		predecessor, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: predecessorPath, Net: "unix"})
		if err != nil {
			successor.Close()
			return
		}
		closeBoth := sync.OnceFunc(func() { successor.Close(); predecessor.Close() })
		var wg sync.WaitGroup
		wg.Go(func() { r.pump(fromSuccessor, successor, predecessor); closeBoth() })
		wg.Go(func() { r.pump(fromPredecessor, predecessor, successor); closeBoth() })
		wg.Wait()
	}()
	return r
}

// stateComplete reports whether the complete state of the hand-over was forwarded.
func (r *relay) stateComplete() bool {
	return len(r.lengthPrefix) == 4 && r.passed[fromPredecessor] >= 4+int(binary.BigEndian.Uint32(r.lengthPrefix))
}

// pump forwards bytes and descriptors in one direction.
func (r *relay) pump(direction int, in, out *net.UnixConn) {
	data, control := make([]byte, 64<<10), make([]byte, unix.CmsgSpace(4))
	for {
		if r.direction == direction && r.remaining == 0 {
			return
		}
		n, rights, _, _, err := in.ReadMsgUnix(data, control)
		if n > 0 && r.direction == direction && r.remaining > 0 {
			n = min(n, r.remaining)
			r.remaining -= n
		}
		if n > 0 {
			r.mu.Lock()
			r.passed[direction] += n
			if direction == fromPredecessor && len(r.lengthPrefix) < 4 {
				r.lengthPrefix = append(r.lengthPrefix, data[:min(n, 4-len(r.lengthPrefix))]...)
			}
			r.mu.Unlock()
			out.WriteMsgUnix(data[:n], control[:rights], nil)
		}
		if rights > 0 { // the receiver has its own copies
			list, _ := unix.ParseSocketControlMessage(control[:rights])
			for _, m := range list {
				fds, _ := unix.ParseUnixRights(&m)
				for _, fd := range fds {
					unix.Close(fd)
				}
			}
		}
		if err != nil || n == 0 {
			return
		}
	}
}

// handoverChain is a sender whose processes take over from one another. It holds the process that currently serves.
type handoverChain struct {
	t            *testing.T
	env          *environment
	block        *netfault.Block
	temp         string // contains a folder for each process with its socket
	current      *exec.Cmd
	adminAddr    string
	socket       string // path of the current process's hand-over socket
	processCount int

	mu          sync.Mutex
	calls       map[string]int           // number of calls by message
	heldAnswers map[string]chan struct{} // by unsafe message; closing the channel answers its call
	reports     map[string]string        // delivery reports by message
}

// callTime is the response time of calls whose answer is not held back.
const callTime = 100 * time.Millisecond

// newHandoverChain returns a chain without a process.
func newHandoverChain(t *testing.T) *handoverChain {
	temp, err := os.MkdirTemp("", "cs") // the length of a Unix socket address is limited
	must(t, err)
	t.Cleanup(func() { os.RemoveAll(temp) })
	block, err := netfault.NewBlock()
	must(t, err)
	t.Cleanup(block.Close)
	chain := &handoverChain{
		t: t, env: newEnvironment(t, nil), temp: temp, block: block,
		calls: map[string]int{}, heldAnswers: map[string]chan struct{}{}, reports: map[string]string{},
	}
	chain.env.listen = block.Host(2) + ":8080" // not used by any other process of this machine
	chain.env.configure(chain.env.firstAddr)
	chain.env.respond = func(r *http.Request) string {
		id := r.Header.Get("X-Request-Id")
		chain.mu.Lock()
		chain.calls[id]++
		answered := chain.heldAnswers[id]
		chain.mu.Unlock()
		if answered != nil {
			<-answered
		} else {
			time.Sleep(callTime) // with shorter calls, the call timeout would fall below the duration of a hand-over
		}
		return socktest.Status(200)
	}
	go func() {
		for {
			select {
			case <-t.Context().Done():
				return
			case <-chain.env.polls:
			case text := <-chain.env.reports:
				chain.mu.Lock()
				for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
					var id string
					fmt.Sscanf(line, `{"id":%q`, &id)
					chain.reports[id] += line
				}
				chain.mu.Unlock()
			}
		}
	}()
	return chain
}

// newProcess prepares a process whose hand-over socket is in a separate folder.
func (chain *handoverChain) newProcess() (c *exec.Cmd, adminAddr, socket string) {
	chain.processCount++
	dir := filepath.Join(chain.temp, fmt.Sprint(chain.processCount))
	must(chain.t, os.MkdirAll(dir, 0o700))
	adminAddr = fmt.Sprintf("%s:%d", chain.block.Host(3), 9000+chain.processCount)
	c = exec.Command(os.Args[0], "serve")
	c.Env = append(os.Environ(), "CLEATHOLD_CHILD=1", "LB_CONFIG="+chain.env.config, "LB_ADMIN="+adminAddr, "TMPDIR="+dir)
	return c, adminAddr, filepath.Join(dir, filepath.Base(handover.Path(chain.env.stateFolder)))
}

// count returns the number of calls and the delivery reports of a message.
func (chain *handoverChain) count(id string) (calls int, report string) {
	chain.mu.Lock()
	defer chain.mu.Unlock()
	return chain.calls[id], chain.reports[id]
}

// await waits until a condition holds. It fails the test after 20 s.
func (chain *handoverChain) await(description string, condition func() bool) {
	chain.t.Helper()
	for until := time.Now().Add(20 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			chain.t.Fatalf("not within 20 s: %s", description)
		}
	}
}

// openMessages returns the number of messages without an outcome in the serving process, or a negative number if it is
// unknown.
func (chain *handoverChain) openMessages() int {
	r, err := http.Get("http://" + chain.adminAddr + admin.StatusPath)
	if err != nil {
		return -1
	}
	defer r.Body.Close()
	status := admin.Status{Counts: state.Counts{Open: -1}}
	if json.NewDecoder(r.Body).Decode(&status) != nil {
		return -1
	}
	return status.Counts.Open
}

// handOver starts another process that takes over, and cuts the connection between the two processes after remaining
// bytes in a direction. An unsafe message is in flight meanwhile. Its call is answered once it is clear which process
// serves.
func (chain *handoverChain) handOver(direction, remaining int) (passed [2]int, succeeded bool) {
	t := chain.t
	t.Helper()
	name := fmt.Sprintf("%d.%d", direction, remaining)
	inFlightID, followUpID := "out-"+name, "more-"+name
	chain.mu.Lock()
	chain.heldAnswers[inFlightID] = make(chan struct{})
	chain.mu.Unlock()
	chain.env.submit("unsafe", inFlightID)
	chain.await("the call is in flight", func() bool { n, _ := chain.count(inFlightID); return n == 1 })
	c, adminAddr, socket := chain.newProcess()
	proxy := newRelay(t, socket, chain.socket, direction, remaining)
	must(t, c.Start())
	t.Cleanup(func() { c.Process.Kill() })
	go c.Wait()
	chain.await("the connection is cut, or the successor is ready", func() bool {
		select {
		case <-proxy.done:
			return true
		default:
			return callAdmin(http.MethodGet, adminAddr, "/v1/readyz") == http.StatusOK
		}
	})
	chain.mu.Lock()
	close(chain.heldAnswers[inFlightID])
	chain.mu.Unlock()
	<-proxy.done
	alive := func(c *exec.Cmd) bool { return c.Process.Signal(unix.Signal(0)) == nil }
	chain.await("one of the processes has exited", func() bool { return alive(chain.current) != alive(c) })
	if succeeded = alive(c); succeeded {
		chain.current, chain.adminAddr, chain.socket = c, adminAddr, socket
	}
	if succeeded && !proxy.stateComplete() {
		t.Errorf("%s: the successor serves without the complete state", name)
	}
	awaitReady(t, chain.adminAddr)
	chain.env.submit("unsafe", followUpID)
	chain.await("all messages have ended", func() bool { return chain.openMessages() == 0 })
	return proxy.passed, succeeded
}

// start starts the first process of the chain.
func (chain *handoverChain) start() {
	c, adminAddr, socket := chain.newProcess()
	must(chain.t, c.Start())
	chain.t.Cleanup(func() { c.Process.Kill() })
	go c.Wait()
	awaitReady(chain.t, adminAddr)
	chain.current, chain.adminAddr, chain.socket = c, adminAddr, socket
}

// checkOutcomes checks the outcome of all messages. succeeded has the messages that were in flight during a hand-over,
// and whether the successor took over. If it did, such a message may be undeliverable, because the result of its call
// could not be passed on. All other messages must be delivered.
func (chain *handoverChain) checkOutcomes(succeeded map[string]bool) {
	chain.t.Helper()
	time.Sleep(300 * time.Millisecond) // time for unexpected delivery reports to arrive
	chain.mu.Lock()
	defer chain.mu.Unlock()
	for id, n := range chain.calls {
		if n != 1 {
			chain.t.Errorf("%s was sent %d times", id, n)
		}
		report := chain.reports[id]
		undeliverable := strings.Count(report, id) == 1 && strings.Contains(report, "undeliverable")
		if report != "" && !(succeeded[id] && undeliverable) {
			chain.t.Errorf("%s: %s", id, report)
		}
	}
	if len(chain.calls) != 2*len(succeeded) {
		chain.t.Errorf("%d messages were sent, %d hand-overs", len(chain.calls), len(succeeded))
	}
}
