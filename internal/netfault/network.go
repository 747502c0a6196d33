package netfault

import (
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// Net is a network of links between named parties. A direction that is not set is sound. It is safe for concurrent use.
type Net struct {
	wg sync.WaitGroup // of all goroutines that serve links

	mu      sync.Mutex
	rng     *rand.Rand
	states  map[direction]State
	rule    func(from, to string) State // of directions that are not set; nil: they are sound
	conns   map[*proxiedConn]bool
	changed chan struct{} // closed and replaced at each change of states
	closers []io.Closer   // closed with the network
	closed  bool
	counts  map[direction]Count
}

// New returns a network that draws delays and losses from a seed. The caller closes it.
func New(seed uint64) *Net {
	return &Net{
		rng:     rand.New(rand.NewPCG(seed, 0)),
		states:  map[direction]State{},
		conns:   map[*proxiedConn]bool{},
		changed: make(chan struct{}),
		counts:  map[direction]Count{},
	}
}

// Set sets the state of one direction; a zero state heals it. Connections that a cut hits break at once.
func (n *Net) Set(from, to string, s State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[direction{from, to}] = s
	n.applyChange()
}

// SetBoth is Set in both directions.
func (n *Net) SetBoth(a, b string, s State) {
	n.Set(a, b, s)
	n.Set(b, a, s)
}

// Partition sets the state between a group and all others among the names, in both directions.
func (n *Net) Partition(group, all []string, s State) {
	inGroup := map[string]bool{}
	for _, name := range group {
		inGroup[name] = true
	}
	for _, a := range all {
		for _, b := range all {
			if inGroup[a] != inGroup[b] {
				n.Set(a, b, s)
			}
		}
	}
}

// Heal undoes all Set calls. A rule goes on.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.states)
	n.applyChange()
}

// SetRule has a rule give the states of the directions that are not set. The rule is called under the network's lock.
// Who gives it calls Refresh whenever its states change.
func (n *Net) SetRule(rule func(from, to string) State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
	n.applyChange()
}

// Refresh applies the states of the rule anew. Connections that a cut hits break at once.
func (n *Net) Refresh() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyChange()
}

// Counts returns what has passed in one direction.
func (n *Net) Counts(from, to string) Count {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts[direction{from, to}]
}

// Close ends all links and waits for the goroutines that serve them. A datagram that is delayed beyond it is lost.
func (n *Net) Close() {
	n.mu.Lock()
	n.closed = true
	for _, c := range n.closers {
		c.Close()
	}
	for c := range n.conns {
		c.reset()
	}
	n.states, n.rule = map[direction]State{}, nil
	n.wakeWaiters()
	n.mu.Unlock()
	n.wg.Wait()
}

// stateOf is the state of a direction. The caller holds the lock.
func (n *Net) stateOf(d direction) State {
	s, set := n.states[d]
	if !set && n.rule != nil {
		return n.rule(d.from, d.to)
	}
	return s
}

// currentState is the state of a direction, with a channel that is closed at the next change of any.
func (n *Net) currentState(d direction) (State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stateOf(d), n.changed
}

// applyChange breaks connections that are cut now, and wakes all that wait for a change. The caller holds the lock.
func (n *Net) applyChange() {
	n.wakeWaiters()
	for c := range n.conns {
		if n.stateOf(c.forward()).Cut || n.stateOf(c.back()).Cut {
			c.reset()
		}
	}
}

func (n *Net) wakeWaiters() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// randomBool is true with a probability.
func (n *Net) randomBool(probability float64) bool {
	if probability <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < probability
}

// randomDelay draws a delay that is shorter than a bound.
func (n *Net) randomDelay(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(bound)))
}

func (n *Net) recordPassed(d direction, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.counts[d]
	c.Bytes, c.Chunks = c.Bytes+int64(bytes), c.Chunks+1
	n.counts[d] = c
}

func (n *Net) recordLost(d direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.counts[d]
	c.Lost++
	n.counts[d] = c
}

// track has something closed with the network. If that is closed already, it closes it at once and returns false.
func (n *Net) track(c io.Closer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return false
	}
	n.closers = append(n.closers, c)
	return true
}
