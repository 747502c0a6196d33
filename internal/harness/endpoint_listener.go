package harness

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"cleathold/internal/partner"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// A endpointListener is the address of one endpoint for one sender: who calls is known by it.
// The port is held for as long as the world stands; while its endpoint is down
// nobody listens there, so that connections are refused.
type endpointListener struct {
	env         *Environment
	sender      int
	addr        string
	endpoint    string // whose address it is now
	zone        int
	dest        int
	listener    net.Listener // nil while nobody listens
	reservedFD  int          // a socket that is bound and does not listen; below 0 = none
	connections map[net.Conn]bool
}

// reusePort lets two sockets be bound to one port, of which one listens.
var reusePort = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if out := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); out != nil {
		return out
	}
	return err
}}

// OpenEndpoints opens an address for each endpoint and sender.
func (env *Environment) OpenEndpoints() error {
	env.mu.Lock()
	defer env.mu.Unlock()
	for i := range env.plan.Scenario.Senders {
		env.listeners = append(env.listeners, map[string]*endpointListener{})
		for j := range env.plan.Dests {
			for _, e := range env.plan.Dests[j].Endpoints {
				if _, err := env.addListener(i, env.plan.Dests[j].Dest, e); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (env *Environment) addListener(sender, dest int, e partner.EndpointSpec) (*endpointListener, error) {
	d := &endpointListener{env: env, sender: sender, addr: "127.0.0.1:0", endpoint: e.ID, zone: e.Zone, dest: dest, reservedFD: -1, connections: map[net.Conn]bool{}}
	if err := d.listen(); err != nil {
		return nil, err
	}
	env.listeners[sender][e.ID] = d
	return d, nil
}

// addEndpoint gives a new endpoint its doors: new ones, or those at another's address.
func (env *Environment) addEndpoint(c scenario.Change) {
	for i, doors := range env.listeners {
		old := doors[c.Address]
		if c.Address == "" || old == nil {
			if _, err := env.addListener(i, c.Dest, *c.Joins); err != nil {
				env.cancel(err)
			}
			continue
		}
		old.endpoint, old.zone, old.dest = c.Joins.ID, c.Joins.Zone, c.Dest
	}
}

// addressOf finds where a sender reaches an endpoint; under the lock.
func (env *Environment) addressOf(sender int, l simulation.ListedEndpoint) string {
	if d := env.listeners[sender][l.Address]; d != nil {
		return d.addr
	}
	return "127.0.0.1:9"
}

// updateListeners opens and shuts doors as the model has it; under the lock.
func (env *Environment) updateListeners() {
	for _, doors := range env.listeners {
		for _, d := range doors {
			there, back := d.linkStates()
			listens := env.simulated.Model.Listens(d.endpoint) && !there.Cut && !back.Cut
			if listens && d.listener == nil {
				if err := d.listen(); err != nil {
					env.cancel(err)
				}
			} else if !listens && d.listener != nil {
				d.stopListening()
			}
		}
	}
}

// linkStates are those between its sender and its endpoint; under the lock.
func (e *endpointListener) linkStates() (there, back scenario.LinkState) {
	return e.env.linkState(scenario.Sender(e.sender), e.endpoint), e.env.linkState(e.endpoint, scenario.Sender(e.sender))
}

// listen begins to listen; under the lock.
func (e *endpointListener) listen() error {
	l, err := reusePort.Listen(context.Background(), "tcp4", e.addr)
	if err != nil {
		return fmt.Errorf("rig: the address of %s for sender %d: %w", e.endpoint, e.sender, err)
	}
	e.listener, e.addr = l, l.Addr().String()
	e.releasePort()
	e.env.wg.Go(func() { e.accept(l) })
	return nil
}

func (e *endpointListener) releasePort() {
	if e.reservedFD >= 0 {
		unix.Close(e.reservedFD)
		e.reservedFD = -1
	}
}

// stopListening goes down: what is connected breaks, and nobody listens, though the port
// stays this door's.
func (e *endpointListener) stopListening() {
	port := e.listener.Addr().(*net.TCPAddr).Port
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		e.reservedFD = fd
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		e.env.cancel(fmt.Errorf("rig: the address of %s: %w", e.endpoint, err))
	}
	l := e.listener
	e.listener = nil
	l.Close()
	for c := range e.connections {
		resetConn(c)
	}
}

// close ends a door for good; under the lock.
func (e *endpointListener) close() {
	if l := e.listener; l != nil {
		e.listener = nil
		l.Close()
	}
	e.releasePort()
	for c := range e.connections {
		c.Close()
	}
}

func resetConn(c net.Conn) {
	if t, is := c.(*net.TCPConn); is {
		t.SetLinger(0)
	}
	c.Close()
}

func (e *endpointListener) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			e.env.mu.Lock()
			stands := e.listener == l
			e.env.mu.Unlock()
			if stands { // it was not the plan that ended it
				e.env.cancel(fmt.Errorf("rig: the partner at %s (%s) died: %w", e.addr, e.endpoint, err))
			}
			return
		}
		e.env.wg.Go(func() { e.serve(c) })
	}
}
