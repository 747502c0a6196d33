package partner

import "time"

// ConnectionResult is how an endpoint takes a new connection.
type ConnectionResult uint8

// The results.
const (
	ConnectionOpened       ConnectionResult = iota
	ConnectionRefused                       // the endpoint does not listen
	ConnectionOverCapacity                  // it is opened, and calls on it are rejected
)

// Connect opens a connection. One over capacity is not counted: it needs no Disconnect, and a Call on it has
// OverCapacity set.
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

// Disconnect closes a connection without a call in flight.
func (m *Model) Disconnect(now time.Duration, id string) {
	m.Advance(now)
	if e := m.endpoints[id]; e != nil && e.conns > 0 {
		e.conns--
	}
}

// Listens reports whether an endpoint takes connections at all.
func (m *Model) Listens(id string) bool {
	e := m.endpoints[id]
	return e != nil && !e.removed && e.fault.Mode != Down && e.fault.Mode != Overloaded
}
