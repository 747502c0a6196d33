// Package gossip encodes what senders tell one another of targets as datagrams. It owns their form on the wire, and
// neither sends them nor acts on them: an observation says what one sender saw, and how long ago; it orders nothing.
package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"cleathold/control"
)

// MaxSize is the size of the largest datagram in bytes.
const MaxSize = 256

// The form of a datagram: the version, then the observations of four bytes of EndpointHash (little-endian), one of Kind
// and one of Age each.
const (
	version         = 1
	headerSize      = 1
	observationSize = 6
	ageUnit         = 10 * time.Millisecond
	maxAge          = 255 * ageUnit // older observations are told as this old
)

// MaxObservations is the number of observations that one datagram holds.
const MaxObservations = (MaxSize - headerSize) / observationSize

// Observation is what one sender saw of one target, under a name that is the same at all senders.
type Observation struct {
	EndpointHash uint32 // HashID of the target's id
	Kind         control.ObservationKind
	Age          time.Duration // since the call that showed it was sent; on the wire in steps of 10 ms up to 2.55 s
}

// HashID shortens a target's id. Two targets with one hash, one of four billion pairs, would only make senders more
// careful with the one for the other.
func HashID(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

// Encode returns a datagram of the first MaxObservations of a list.
func Encode(observations []Observation) []byte {
	observations = observations[:min(len(observations), MaxObservations)]
	datagram := make([]byte, headerSize, headerSize+observationSize*len(observations))
	datagram[0] = version
	for _, o := range observations {
		datagram = binary.LittleEndian.AppendUint32(datagram, o.EndpointHash)
		datagram = append(datagram, byte(o.Kind), byte(min(max(o.Age, 0), maxAge)/ageUnit))
	}
	return datagram
}

// ErrVersion is returned for a datagram of a version that is not known here.
var ErrVersion = errors.New("gossip: unknown version")

// Decode reads a datagram. Observations of kinds that are not known here are left out, so that senders of a later
// version can tell more. The error is ErrVersion, or tells that the size is wrong.
func Decode(datagram []byte) ([]Observation, error) {
	switch {
	case len(datagram) < headerSize || len(datagram) > MaxSize:
		return nil, fmt.Errorf("gossip: datagram of %d bytes", len(datagram))
	case datagram[0] != version:
		return nil, ErrVersion
	case (len(datagram)-headerSize)%observationSize != 0:
		return nil, fmt.Errorf("gossip: datagram truncated at %d bytes", len(datagram))
	}
	var observations []Observation
	for rest := datagram[headerSize:]; len(rest) > 0; rest = rest[observationSize:] {
		o := Observation{
			EndpointHash: binary.LittleEndian.Uint32(rest),
			Kind:         control.ObservationKind(rest[4]),
			Age:          time.Duration(rest[5]) * ageUnit,
		}
		if o.Kind.Known() {
			observations = append(observations, o)
		}
	}
	return observations, nil
}
