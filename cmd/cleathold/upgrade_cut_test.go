package main

import (
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
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

// everyByte has a hand-over cut at each byte, and not only at some of the estate's.
var everyByte = flag.Bool("every-byte", false, "cut a hand-over at each byte of the estate, too")

// relay passes what two processes of a sender tell each other on, descriptors included, until so many bytes have passed
// one way: then both of them see the end.
type relay struct {
	sock *net.UnixListener
	way  int // 0 = from the heir, 1 = from the giver
	left int // bytes that may pass this way; below 0 = any number
	mu   sync.Mutex
	sum  [2]int
	head []byte // the first bytes from the giver: how long its estate is
	done chan struct{}
}

// whole tells whether the estate has passed.
func (r *relay) whole() bool {
	return len(r.head) == 4 && r.sum[1] >= 4+int(binary.BigEndian.Uint32(r.head))
}

func newRelay(t *testing.T, at, to string, way, left int) *relay {
	t.Helper()
	sock, err := ownsock.Listen(at)
	must(t, err)
	r := &relay{sock: sock, way: way, left: left, done: make(chan struct{})}
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

func (r *relay) pump(way int, in, out *net.UnixConn) {
	b, oob := make([]byte, 64<<10), make([]byte, unix.CmsgSpace(4))
	for {
		if r.way == way && r.left == 0 {
			return
		}
		n, rights, _, _, err := in.ReadMsgUnix(b, oob)
		if n > 0 && r.way == way && r.left > 0 {
			n = min(n, r.left)
			r.left -= n
		}
		if n > 0 {
			r.mu.Lock()
			r.sum[way] += n
			if way == 1 && len(r.head) < 4 {
				r.head = append(r.head, b[:min(n, 4-len(r.head))]...)
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
type succession struct {
	t     *testing.T
	w     *world
	block *netfault.Block
	temp  string // each process has a folder of its own in it, where its desk stands
	now   *exec.Cmd
	at    string // its second address
	desk  string
	n     int

	mu    sync.Mutex
	calls map[string]int
	hold  map[string]chan struct{} // an unsafe message's call is answered when it is closed
	notes map[string]string
}

// callSpan is what calls take that are not held back.
const callSpan = 100 * time.Millisecond

func newSuccession(t *testing.T) *succession {
	temp, err := os.MkdirTemp("", "cs") // a Unix address is short
	must(t, err)
	t.Cleanup(func() { os.RemoveAll(temp) })
	block, err := netfault.NewBlock()
	must(t, err)
	t.Cleanup(block.Close)
	s := &succession{t: t, w: newWorld(t, nil), temp: temp, block: block, calls: map[string]int{}, hold: map[string]chan struct{}{}, notes: map[string]string{}}
	s.w.listen = block.Host(2) + ":8080" // nobody else of this machine has it
	s.w.configure(s.w.first)
	s.w.raw = func(r *http.Request) string {
		id := r.Header.Get("X-Request-Id")
		s.mu.Lock()
		s.calls[id]++
		hold := s.hold[id]
		s.mu.Unlock()
		if hold != nil {
			<-hold
		} else {
			time.Sleep(callSpan) // or the sender would soon think that no call takes so long as a hand-over does
		}
		return socktest.Status(200)
	}
	go func() {
		for {
			select {
			case <-t.Context().Done():
				return
			case <-s.w.asked:
			case text := <-s.w.told:
				s.mu.Lock()
				for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
					var id string
					fmt.Sscanf(line, `{"id":%q`, &id)
					s.notes[id] += line
				}
				s.mu.Unlock()
			}
		}
	}()
	return s
}

// next starts a process whose desk stands in a folder of its own.
func (s *succession) next() (c *exec.Cmd, at, desk string) {
	s.n++
	dir := filepath.Join(s.temp, fmt.Sprint(s.n))
	must(s.t, os.MkdirAll(dir, 0o700))
	at = fmt.Sprintf("%s:%d", s.block.Host(3), 9000+s.n)
	c = exec.Command(os.Args[0], "serve")
	c.Env = append(os.Environ(), "CLEATHOLD_CHILD=1", "LB_CONFIG="+s.w.config, "LB_ADMIN="+at, "TMPDIR="+dir)
	return c, at, filepath.Join(dir, filepath.Base(handover.Path(s.w.dir)))
}

func (s *succession) count(id string) (calls int, note string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[id], s.notes[id]
}

func (s *succession) until(what string, is func() bool) {
	s.t.Helper()
	for until := time.Now().Add(20 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			s.t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// open is how many messages the one that serves still owes an end; below 0: it does not say.
func (s *succession) open() int {
	r, err := http.Get("http://" + s.at + admin.StatusPath)
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
func (s *succession) handOver(way, left int) (sum [2]int, heir bool) {
	t := s.t
	t.Helper()
	name := fmt.Sprintf("%d.%d", way, left)
	out, more := "out-"+name, "more-"+name
	s.mu.Lock()
	s.hold[out] = make(chan struct{})
	s.mu.Unlock()
	s.w.handIn("unsafe", out)
	s.until("the call is out", func() bool { n, _ := s.count(out); return n == 1 })
	c, at, desk := s.next()
	r := newRelay(t, desk, s.desk, way, left)
	must(t, c.Start())
	t.Cleanup(func() { c.Process.Kill() })
	go c.Wait()
	s.until("what they say is cut, or the heir is ready", func() bool {
		select {
		case <-r.done:
			return true
		default:
			return order(http.MethodGet, at, "/v1/readyz") == http.StatusOK
		}
	})
	s.mu.Lock()
	close(s.hold[out])
	s.mu.Unlock()
	<-r.done
	lives := func(c *exec.Cmd) bool { return c.Process.Signal(unix.Signal(0)) == nil }
	s.until("one of them has ended", func() bool { return lives(s.now) != lives(c) })
	if heir = lives(c); heir {
		s.now, s.at, s.desk = c, at, desk
	}
	if heir && !r.whole() {
		t.Errorf("%s: an heir without the whole estate serves", name)
	}
	ready(t, s.at)
	s.w.handIn("unsafe", more)
	s.until("nothing is open", func() bool { return s.open() == 0 })
	return r.sum, heir
}

// Two processes of a sender tell each other what a hand-over needs, and are cut off from each other at each byte of it,
// while both live. As long as the estate is not whole the giver serves on. From then on both may believe that they have it,
// and whoever comes first to the journal does; the other finds it locked and ends. One of them serves in any case, nothing
// unsafe is sent twice, and what was out ends once: by its call's answer, or undeliverable where that could not be passed on.
func TestHandOverCutAtEachByte(t *testing.T) {
	t.Parallel()
	const shards = 6
	var sum [2]int
	t.Run("whole", func(t *testing.T) {
		s := newSuccession(t)
		s.begin()
		var heir bool
		if sum, heir = s.handOver(0, -1); !heir {
			t.Error("the heir did not take over")
		}
		s.judge(map[string]bool{"out-0.-1": false})
	})
	var cuts [][2]int
	for way, n := range sum {
		for k := range n {
			if way == 0 || *everyByte || k < 6 || k > n-200 && k%3 == 0 || k%61 == 0 {
				cuts = append(cuts, [2]int{way, k})
			}
		}
	}
	var heirs, givers atomic.Int64
	t.Run("cut", func(t *testing.T) {
		for i := range shards {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				s := newSuccession(t)
				s.begin()
				cut := map[string]bool{}
				for k := i; k < len(cuts); k += shards {
					_, heir := s.handOver(cuts[k][0], cuts[k][1])
					if cut[fmt.Sprintf("out-%d.%d", cuts[k][0], cuts[k][1])] = heir; heir {
						heirs.Add(1)
					} else {
						givers.Add(1)
					}
				}
				s.judge(cut)
			})
		}
	})
	t.Logf("the heir says %d bytes, the giver %d; %d cuts: %d heirs and %d givers served", sum[0], sum[1], len(cuts), heirs.Load(), givers.Load())
	if heirs.Load() < 30 || givers.Load() < 30 {
		t.Errorf("%d heirs and %d givers served", heirs.Load(), givers.Load())
	}
}

func (s *succession) begin() {
	c, at, desk := s.next()
	must(s.t, c.Start())
	s.t.Cleanup(func() { c.Process.Kill() })
	go c.Wait()
	ready(s.t, at)
	s.now, s.at, s.desk = c, at, desk
}

// judge goes through all messages in the end. What was out when an heir took over may have ended undeliverable where the
// answer could not be passed on; nothing else may.
func (s *succession) judge(heirs map[string]bool) {
	s.t.Helper()
	time.Sleep(300 * time.Millisecond) // a notice that should not come would be under way now
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.calls {
		if n != 1 {
			s.t.Errorf("%s was sent %d times", id, n)
		}
		if note := s.notes[id]; note != "" && !(heirs[id] && strings.Count(note, id) == 1 && strings.Contains(note, "undeliverable")) {
			s.t.Errorf("%s: %s", id, note)
		}
	}
	if len(s.calls) != 2*len(heirs) {
		s.t.Errorf("%d messages were sent, %d hand-overs", len(s.calls), len(heirs))
	}
}
