package harness

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"cleathold/internal/partner"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// An endpointListener listens for one endpoint's calls from one sender: each sender has an address of its own for each
// endpoint, so that the address identifies the caller. The port stays reserved until the environment is closed; while
// the endpoint is down, connections to it are refused. The fields are protected by the environment's lock.
type endpointListener struct {
	env         *Environment
	sender      int
	addr        string
	endpoint    string // id of the endpoint that has this address now; a later endpoint may take the address over
	zone        int
	dest        int
	previous    string       // id of an endpoint of another destination that had this address before; empty: none
	listener    net.Listener // nil while the endpoint does not listen
	reservedFD  int          // socket that is bound but not listening, to reserve the port; negative = none
	connections map[net.Conn]bool
}

// reusePort sets SO_REUSEPORT, so that the listening socket and the socket that reserves the port can be bound to the
// same port.
var reusePort = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return cmp.Or(err, optErr)
}}

// OpenEndpoints opens a listener for each pair of sender and endpoint. Close closes them.
func (env *Environment) OpenEndpoints() error {
	env.mu.Lock()
	defer env.mu.Unlock()
	for i := range env.plan.Scenario.Senders {
		env.listeners = append(env.listeners, map[string]*endpointListener{})
		for _, d := range env.plan.Destinations {
			for _, e := range d.Endpoints {
				if err := env.addListener(i, d.Dest, e); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (env *Environment) addListener(sender, dest int, e partner.EndpointSpec) error {
	l := &endpointListener{
		env: env, sender: sender, addr: "127.0.0.1:0", endpoint: e.ID, zone: e.Zone, dest: dest,
		reservedFD: -1, connections: map[net.Conn]bool{},
	}
	if err := l.listen(); err != nil {
		return err
	}
	env.listeners[sender][e.ID] = l
	return nil
}

// addEndpoint opens the listeners of a new endpoint, or reassigns to it those of the endpoint whose address it takes
// over. The caller must hold env.mu.
func (env *Environment) addEndpoint(c scenario.Change) {
	for i, byAddress := range env.listeners {
		old := byAddress[c.Address]
		if c.Address == "" || old == nil {
			if err := env.addListener(i, c.Dest, *c.Added); err != nil {
				env.cancel(err)
			}
			continue
		}
		if old.dest != c.Dest {
			old.previous = old.endpoint
		}
		old.endpoint, old.zone, old.dest = c.Added.ID, c.Added.Zone, c.Dest
	}
}

// unreachableAddress is listed for an endpoint that has no listener. It is the port of the discard service, on which
// nothing listens.
const unreachableAddress = "127.0.0.1:9"

// addressOf returns the address at which a sender reaches a listed endpoint. The caller must hold env.mu.
func (env *Environment) addressOf(sender int, listed simulation.ListedEndpoint) string {
	if l := env.listeners[sender][listed.Address]; l != nil {
		return l.addr
	}
	return unreachableAddress
}

// updateListeners starts and stops listeners according to the states of the model and of the links. The caller must
// hold env.mu.
func (env *Environment) updateListeners() {
	for _, byAddress := range env.listeners {
		for _, l := range byAddress {
			forward, back := l.linkStates()
			listens := env.simulated.Model.Listens(l.endpoint) && !forward.Cut && !back.Cut
			if listens && l.listener == nil {
				if err := l.listen(); err != nil {
					env.cancel(err)
				}
			} else if !listens && l.listener != nil {
				l.stopListening()
			}
		}
	}
}

// endpointListens reports whether an endpoint accepts connections according to the model.
func (env *Environment) endpointListens(id string) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.simulated.Model.Listens(id)
}

// linkStates returns the states of the links from the sender to the endpoint and back. The caller must hold env.mu.
func (e *endpointListener) linkStates() (forward, back scenario.LinkState) {
	sender := scenario.Sender(e.sender)
	return e.env.linkState(sender, e.endpoint), e.env.linkState(e.endpoint, sender)
}

// listen starts listening, at the same address each time. The caller must hold env.mu.
func (e *endpointListener) listen() error {
	l, err := reusePort.Listen(context.Background(), "tcp4", e.addr)
	if err != nil {
		return fmt.Errorf("harness: listening for endpoint %s and sender %d: %w", e.endpoint, e.sender, err)
	}
	e.listener, e.addr = l, l.Addr().String()
	e.releasePort()
	e.env.wg.Go(func() { e.accept(l) })
	return nil
}

// releasePort closes the socket that reserves the port while the endpoint does not listen.
func (e *endpointListener) releasePort() {
	if e.reservedFD >= 0 {
		unix.Close(e.reservedFD)
		e.reservedFD = -1
	}
}

// stopListening resets the connections and closes the listener. It keeps the port reserved, since another process could
// bind it otherwise. The caller must hold env.mu.
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
		e.env.cancel(fmt.Errorf("harness: reserving the port of endpoint %s: %w", e.endpoint, err))
	}
	l := e.listener
	e.listener = nil
	l.Close()
	for c := range e.connections {
		resetConn(c)
	}
}

// close closes the listener and its connections, and releases the port. The caller must hold env.mu.
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

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcpConn, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		tcpConn.SetLinger(0)
	}
	c.Close()
}

// accept serves connections until the listener is closed. Any other failure of the listener ends the run.
func (e *endpointListener) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			e.env.mu.Lock()
			current := e.listener == l
			e.env.mu.Unlock()
			if current { // not closed by stopListening or close
				e.env.cancel(fmt.Errorf("harness: listener at %s of endpoint %s failed: %w", e.addr, e.endpoint, err))
			}
			return
		}
		e.env.wg.Go(func() { e.serve(c) })
	}
}
