// Package netfault puts links between processes on loopback addresses: TCP and datagrams pass through them, and each way
// of each pair can be cut, silent, slow, lossy, doubling or out of order, and healed. What passes is not read.
package netfault

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// State is what ails one way between two parties. The zero value is a sound one.
type State struct {
	Cut       bool          `json:"Cut"`     // connections break and none comes up; datagrams are lost
	Silent    bool          `json:"Silent"`  // connections stay open and nothing passes; datagrams are lost
	Delay     time.Duration `json:"Delay"`   // each piece, each datagram
	Jitter    time.Duration `json:"Jitter"`  // up to so much more; datagrams overtake one another by it
	Loss      float64       `json:"Loss"`    // part of the datagrams; a piece of a connection comes later by a retransmission
	Duplicate float64       `json:"Double"`  // part of the datagrams that come twice
	Reorder   float64       `json:"Reorder"` // part of the datagrams that come later by ten times the jitter
}

// retransmission is about how long TCP takes to make up for a loss.
const retransmission = 200 * time.Millisecond

type way struct{ from, to string }

// Net is a number of links. What is not set is sound.
type Net struct {
	mu     sync.Mutex
	rng    *rand.Rand
	states map[way]State
	rule   func(from, to string) State // of ways that are not set; nil: they are sound
	conns  map[*pipe]bool
	change chan struct{} // closed and made anew with each change
	open   []interface{ Close() error }
	closed bool
	wg     sync.WaitGroup
	passed map[way]Count
}

// Count is what has passed one way.
type Count struct{ Bytes, Pieces, Lost int64 }

// New returns links that draw their losses from a seed.
func New(seed uint64) *Net {
	return &Net{
		rng: rand.New(rand.NewPCG(seed, 0)), states: map[way]State{}, conns: map[*pipe]bool{}, change: make(chan struct{}), passed: map[way]Count{},
	}
}

// Set ails one way, or heals it by a zero state. Connections that a cut hits break at once.
func (n *Net) Set(from, to string, s State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[way{from, to}] = s
	n.rouse()
}

// SetBoth is Set in both directions.
func (n *Net) SetBoth(a, b string, s State) {
	n.Set(a, b, s)
	n.Set(b, a, s)
}

// Partition cuts off a group from all others among the names, both ways, by the given state.
func (n *Net) Partition(group, all []string, s State) {
	in := map[string]bool{}
	for _, g := range group {
		in[g] = true
	}
	for _, a := range all {
		for _, b := range all {
			if in[a] != in[b] {
				n.Set(a, b, s)
			}
		}
	}
}

// Heal makes all ways sound.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.states)
	n.rouse()
}

// Follow has a rule say what ails the ways that are not set. Whoever makes it calls Turn when it says something else.
func (n *Net) Follow(rule func(from, to string) State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
	n.rouse()
}

// Refresh looks at all ways anew. Connections that a cut hits break at once.
func (n *Net) Refresh() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rouse()
}

// of is the state of a way; under the lock.
func (n *Net) of(w way) State {
	s, set := n.states[w]
	if !set && n.rule != nil {
		return n.rule(w.from, w.to)
	}
	return s
}

func (n *Net) rouse() {
	close(n.change)
	n.change = make(chan struct{})
	for p := range n.conns {
		if n.of(way{p.from, p.to}).Cut || n.of(way{p.to, p.from}).Cut {
			p.reset()
		}
	}
}

// state is that of a way, with what tells of the next change.
func (n *Net) state(w way) (State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.of(w), n.change
}

// draw is true for a part of the calls.
func (n *Net) draw(part float64) bool {
	if part <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < part
}

func (n *Net) between(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(d)))
}

func (n *Net) count(w way, bytes int, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.passed[w]
	if lost {
		c.Lost++
	} else {
		c.Bytes, c.Pieces = c.Bytes+int64(bytes), c.Pieces+1
	}
	n.passed[w] = c
}

// Passed tells what has passed one way.
func (n *Net) Passed(from, to string) Count {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.passed[way{from, to}]
}

// keep has something closed with the links. False: they are closed already.
func (n *Net) keep(c interface{ Close() error }) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return false
	}
	n.open = append(n.open, c)
	return true
}

// Close ends all links and waits for what passes through them.
func (n *Net) Close() {
	n.mu.Lock()
	n.closed = true
	for _, c := range n.open {
		c.Close()
	}
	for p := range n.conns {
		p.reset()
	}
	n.states, n.rule = map[way]State{}, nil
	close(n.change)
	n.change = make(chan struct{})
	n.mu.Unlock()
	n.wg.Wait()
}

// A Block is a range of loopback addresses that no other process of this machine uses.
type Block struct {
	prefix string
	hold   net.Listener
}

// holdPort of a block's first address says that the block is taken.
const holdPort = 7

// NewBlock takes a block. The platform's ports can then be used on each of its addresses, as on machines of their own.
func NewBlock() (*Block, error) {
	for i := range 1000 {
		k := (os.Getpid() + i*257) % (100 * 256)
		b := &Block{prefix: fmt.Sprintf("127.%d.%d.", 20+k/256, k%256)}
		var err error
		if b.hold, err = net.Listen("tcp4", fmt.Sprintf("%s1:%d", b.prefix, 20000+holdPort)); err == nil {
			return b, nil
		}
	}
	return nil, fmt.Errorf("fault: no free block of loopback addresses")
}

// Host is an address of the block, by a number from 2 to 254.
func (b *Block) Host(n int) string { return fmt.Sprintf("%s%d", b.prefix, n) }

// Close gives the block back.
func (b *Block) Close() { b.hold.Close() }
