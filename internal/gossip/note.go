// Package gossip puts what senders tell one another of targets into datagrams.
// A note states what one sender saw, and how long ago; it orders nothing.
package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"cleathold/control"
)

// MaxSize is the most that a datagram between senders may hold.
const MaxSize = 256

const (
	version  = 1
	headSize = 1
	factSize = 6                     // name, what, age
	unit     = 10 * time.Millisecond // of the age
	oldest   = 255 * unit            // an older fact is told as this old
)

// MaxObservations is how many facts one note holds.
const MaxObservations = (MaxSize - headSize) / factSize

// A Observation is a note of one target, under a name that is the same at all senders.
type Observation struct {
	EndpointHash uint32
	Kind         control.ObservationKind
	Age          time.Duration
}

// HashID shortens a target's id. Two targets of one name, one of four billion
// pairs, would only make senders more careful with the one for the other.
func HashID(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

// Encode writes the first Most facts of a list.
func Encode(facts []Observation) []byte {
	facts = facts[:min(len(facts), MaxObservations)]
	b := make([]byte, headSize, headSize+factSize*len(facts))
	b[0] = version
	for _, f := range facts {
		b = binary.LittleEndian.AppendUint32(b, f.EndpointHash)
		b = append(b, byte(f.Kind), byte(min(max(f.Age, 0), oldest)/unit))
	}
	return b
}

// ErrVersion tells of a note in a form not known here.
var ErrVersion = errors.New("note: unknown version")

// Decode reads a note. What it states of kinds not known here is left out, so
// that senders of a later version can say more.
func Decode(b []byte) ([]Observation, error) {
	switch {
	case len(b) < headSize || len(b) > MaxSize:
		return nil, fmt.Errorf("note: %d bytes", len(b))
	case b[0] != version:
		return nil, ErrVersion
	case (len(b)-headSize)%factSize != 0:
		return nil, fmt.Errorf("note: cut short at %d bytes", len(b))
	}
	var facts []Observation
	for b = b[headSize:]; len(b) > 0; b = b[factSize:] {
		f := Observation{binary.LittleEndian.Uint32(b), control.ObservationKind(b[4]), time.Duration(b[5]) * unit}
		if f.Kind.Known() {
			facts = append(facts, f)
		}
	}
	return facts, nil
}
