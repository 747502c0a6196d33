package partner

import (
	"time"
)

// ConnectionResult is how a connection is received.
type ConnectionResult uint8

// The receptions.
const (
	ConnectionOpened       ConnectionResult = iota
	ConnectionRefused                       // nobody listens
	ConnectionOverCapacity                  // it comes up, and what is sent on it is turned away
)

// Connect opens a connection. One that crowds is not counted: it needs no
// Disconnect, and a Call on it is Crowded.
func (m *Model) Connect(now time.Duration, id string) ConnectionResult {
	m.Advance(now)
	e := m.endpoints[id]
	switch {
	case e == nil || e.removed || e.fault.Mode == Down || e.fault.Mode == Overloaded:
		return ConnectionRefused
	case e.dest.MaxConnections > 0 && e.conns >= e.dest.MaxConnections:
		return ConnectionOverCapacity
	}
	e.conns++
	return ConnectionOpened
}

// Disconnect closes a connection on which no call is out.
func (m *Model) Disconnect(now time.Duration, id string) {
	m.Advance(now)
	if e := m.endpoints[id]; e != nil && e.conns > 0 {
		e.conns--
	}
}

// Listens tells whether an endpoint takes connections at all.
func (m *Model) Listens(id string) bool {
	e := m.endpoints[id]
	return e != nil && !e.removed && e.fault.Mode != Down && e.fault.Mode != Overloaded
}
