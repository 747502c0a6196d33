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
	"cleathold/internal/ownsock"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

// relay passes what two processes of a sender tell each other on, descriptors included, until so many bytes have passed
// one way: then both of them see the end.
type relay struct {
	listener     *net.UnixListener
	direction    int // 0 = from the heir, 1 = from the giver
	remaining    int // bytes that may pass this way; below 0 = any number
	mu           sync.Mutex
	passed       [2]int
	lengthPrefix []byte // the first bytes from the giver: how long its estate is
	done         chan struct{}
}

func newRelay(t *testing.T, at, to string, way, left int) *relay {
	t.Helper()
	sock, err := ownsock.Listen(at)
	must(t, err)
	r := &relay{listener: sock, direction: way, remaining: left, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		c, err := sock.AcceptUnix()
		if err != nil {
			return
		}
		sock.Close()
		d, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: to, Net: "unix"})
		if err != nil {
			c.Close()
			return
		}
		shut := sync.OnceFunc(func() { c.Close(); d.Close() })
		var wg sync.WaitGroup
		wg.Go(func() { r.pump(0, c, d); shut() })
		wg.Go(func() { r.pump(1, d, c); shut() })
		wg.Wait()
	}()
	return r
}

// stateComplete tells whether the estate has passed.
func (r *relay) stateComplete() bool {
	return len(r.lengthPrefix) == 4 && r.passed[1] >= 4+int(binary.BigEndian.Uint32(r.lengthPrefix))
}

func (r *relay) pump(way int, in, out *net.UnixConn) {
	b, oob := make([]byte, 64<<10), make([]byte, unix.CmsgSpace(4))
	for {
		if r.direction == way && r.remaining == 0 {
			return
		}
		n, rights, _, _, err := in.ReadMsgUnix(b, oob)
		if n > 0 && r.direction == way && r.remaining > 0 {
			n = min(n, r.remaining)
			r.remaining -= n
		}
		if n > 0 {
			r.mu.Lock()
			r.passed[way] += n
			if way == 1 && len(r.lengthPrefix) < 4 {
				r.lengthPrefix = append(r.lengthPrefix, b[:min(n, 4-len(r.lengthPrefix))]...)
			}
			r.mu.Unlock()
			out.WriteMsgUnix(b[:n], oob[:rights], nil)
		}
		if rights > 0 { // they are the heir's now
			list, _ := unix.ParseSocketControlMessage(oob[:rights])
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

// A line of processes: the one that serves, and its folder for temporary files.
type handoverChain struct {
	t         *testing.T
	w         *environment
	block     *netfault.Block
	temp      string // each process has a folder of its own in it, where its desk stands
	current   *exec.Cmd
	adminAddr string // its second address
	socket    string
	started   int

	mu          sync.Mutex
	calls       map[string]int
	heldAnswers map[string]chan struct{} // an unsafe message's call is answered when it is closed
	notices     map[string]string
}

// callTime is what calls take that are not held back.
const callTime = 100 * time.Millisecond

func newHandoverChain(t *testing.T) *handoverChain {
	temp, err := os.MkdirTemp("", "cs") // a Unix address is short
	must(t, err)
	t.Cleanup(func() { os.RemoveAll(temp) })
	block, err := netfault.NewBlock()
	must(t, err)
	t.Cleanup(block.Close)
	chain := &handoverChain{t: t, w: newEnvironment(t, nil), temp: temp, block: block, calls: map[string]int{}, heldAnswers: map[string]chan struct{}{}, notices: map[string]string{}}
	chain.w.listen = block.Host(2) + ":8080" // nobody else of this machine has it
	chain.w.configure(chain.w.firstAddr)
	chain.w.respond = func(r *http.Request) string {
		id := r.Header.Get("X-Request-Id")
		chain.mu.Lock()
		chain.calls[id]++
		answered := chain.heldAnswers[id]
		chain.mu.Unlock()
		if answered != nil {
			<-answered
		} else {
			time.Sleep(callTime) // or the sender would soon think that no call takes so long as a hand-over does
		}
		return socktest.Status(200)
	}
	go func() {
		for {
			select {
			case <-t.Context().Done():
				return
			case <-chain.w.polls:
			case text := <-chain.w.notices:
				chain.mu.Lock()
				for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
					var id string
					fmt.Sscanf(line, `{"id":%q`, &id)
					chain.notices[id] += line
				}
				chain.mu.Unlock()
			}
		}
	}()
	return chain
}

// newProcess starts a process whose desk stands in a folder of its own.
func (chain *handoverChain) newProcess() (c *exec.Cmd, at, socket string) {
	chain.started++
	dir := filepath.Join(chain.temp, fmt.Sprint(chain.started))
	must(chain.t, os.MkdirAll(dir, 0o700))
	at = fmt.Sprintf("%s:%d", chain.block.Host(3), 9000+chain.started)
	c = exec.Command(os.Args[0], "serve")
	c.Env = append(os.Environ(), "CLEATHOLD_CHILD=1", "LB_CONFIG="+chain.w.config, "LB_ADMIN="+at, "TMPDIR="+dir)
	return c, at, filepath.Join(dir, filepath.Base(handover.Path(chain.w.stateFolder)))
}

func (chain *handoverChain) count(id string) (calls int, note string) {
	chain.mu.Lock()
	defer chain.mu.Unlock()
	return chain.calls[id], chain.notices[id]
}

func (chain *handoverChain) await(what string, is func() bool) {
	chain.t.Helper()
	for until := time.Now().Add(20 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			chain.t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// openMessages is how many messages the one that serves still owes an end; below 0: it does not say.
func (chain *handoverChain) openMessages() int {
	r, err := http.Get("http://" + chain.adminAddr + admin.StatusPath)
	if err != nil {
		return -1
	}
	defer r.Body.Close()
	x := admin.Status{Counts: state.Counts{Open: -1}}
	if json.NewDecoder(r.Body).Decode(&x) != nil {
		return -1
	}
	return x.Counts.Open
}

// handOver has another process take over, and what the two tell each other end after so many bytes one way. An unsafe
// message is out meanwhile; its call is answered once it is clear who serves.
func (chain *handoverChain) handOver(way, left int) (sum [2]int, succeeded bool) {
	t := chain.t
	t.Helper()
	name := fmt.Sprintf("%d.%d", way, left)
	out, more := "out-"+name, "more-"+name
	chain.mu.Lock()
	chain.heldAnswers[out] = make(chan struct{})
	chain.mu.Unlock()
	chain.w.submit("unsafe", out)
	chain.await("the call is out", func() bool { n, _ := chain.count(out); return n == 1 })
	c, at, socket := chain.newProcess()
	r := newRelay(t, socket, chain.socket, way, left)
	must(t, c.Start())
	t.Cleanup(func() { c.Process.Kill() })
	go c.Wait()
	chain.await("what they say is cut, or the heir is ready", func() bool {
		select {
		case <-r.done:
			return true
		default:
			return callAdmin(http.MethodGet, at, "/v1/readyz") == http.StatusOK
		}
	})
	chain.mu.Lock()
	close(chain.heldAnswers[out])
	chain.mu.Unlock()
	<-r.done
	alive := func(c *exec.Cmd) bool { return c.Process.Signal(unix.Signal(0)) == nil }
	chain.await("one of them has ended", func() bool { return alive(chain.current) != alive(c) })
	if succeeded = alive(c); succeeded {
		chain.current, chain.adminAddr, chain.socket = c, at, socket
	}
	if succeeded && !r.stateComplete() {
		t.Errorf("%s: an heir without the whole estate serves", name)
	}
	awaitReady(t, chain.adminAddr)
	chain.w.submit("unsafe", more)
	chain.await("nothing is open", func() bool { return chain.openMessages() == 0 })
	return r.passed, succeeded
}

func (chain *handoverChain) start() {
	c, at, socket := chain.newProcess()
	must(chain.t, c.Start())
	chain.t.Cleanup(func() { c.Process.Kill() })
	go c.Wait()
	awaitReady(chain.t, at)
	chain.current, chain.adminAddr, chain.socket = c, at, socket
}

// checkOutcomes goes through all messages in the end. What was out when an heir took over may have ended undeliverable where the
// answer could not be passed on; nothing else may.
func (chain *handoverChain) checkOutcomes(succeeded map[string]bool) {
	chain.t.Helper()
	time.Sleep(300 * time.Millisecond) // a notice that should not come would be under way now
	chain.mu.Lock()
	defer chain.mu.Unlock()
	for id, n := range chain.calls {
		if n != 1 {
			chain.t.Errorf("%s was sent %d times", id, n)
		}
		if notice := chain.notices[id]; notice != "" && !(succeeded[id] && strings.Count(notice, id) == 1 && strings.Contains(notice, "undeliverable")) {
			chain.t.Errorf("%s: %s", id, notice)
		}
	}
	if len(chain.calls) != 2*len(succeeded) {
		chain.t.Errorf("%d messages were sent, %d hand-overs", len(chain.calls), len(succeeded))
	}
}
