package partner

import "time"

// ConnectionResult is the result of opening a connection to an endpoint.
type ConnectionResult uint8

// The results.
const (
	ConnectionOpened       ConnectionResult = iota
	ConnectionRefused                       // the endpoint does not listen
	ConnectionOverCapacity                  // the connection is opened, but calls on it are rejected
)

// Connect opens a connection. A connection over capacity is not counted: it must not be passed to Disconnect, and calls
// on it must set OverCapacity.
func (m *Model) Connect(now time.Duration, id string) ConnectionResult {
	m.Advance(now)
	e := m.endpoints[id]
	switch {
	case !m.Listens(id):
		return ConnectionRefused
	case e.dest.MaxConnections > 0 && e.conns >= e.dest.MaxConnections:
		return ConnectionOverCapacity
	}
	e.conns++
	return ConnectionOpened
}

// Disconnect closes a connection that has no call in flight.
func (m *Model) Disconnect(now time.Duration, id string) {
	m.Advance(now)
	if e := m.endpoints[id]; e != nil && e.conns > 0 {
		e.conns--
	}
}

// Listens reports whether an endpoint listens for connections.
func (m *Model) Listens(id string) bool {
	e := m.endpoints[id]
	return e != nil && !e.removed && e.fault.Mode != Down && e.fault.Mode != Overloaded
}
