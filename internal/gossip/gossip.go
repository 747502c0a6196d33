// Package gossip encodes and decodes the datagrams with which senders exchange observations of targets. It defines
// their wire format, and neither sends datagrams nor acts on them. An observation states what one sender observed and
// how long ago; it is not an instruction to the receiver.
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

// A datagram has one byte with the version, followed by the observations. Each observation has four bytes with
// EndpointHash (little-endian), one byte with Kind and one byte with Age.
const (
	version         = 1
	headerSize      = 1
	observationSize = 6
	ageUnit         = 10 * time.Millisecond
	maxAge          = 255 * ageUnit // larger ages are encoded as maxAge
)

// MaxObservations is the maximum number of observations in a datagram.
const MaxObservations = (MaxSize - headerSize) / observationSize

// Observation is what one sender observed of one target. The target is identified by a hash of its ID, which is the
// same for all senders.
type Observation struct {
	EndpointHash uint32 // HashID of the target's ID
	Kind         control.ObservationKind
	Age          time.Duration // time since the observed call was sent; encoded in steps of 10 ms up to 2.55 s
}

// HashID returns a 32-bit hash of a target's ID. The hashes of two targets collide with a probability of one in four
// billion; senders would then apply observations of one to the other as well, which only makes them more cautious.
func HashID(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

// Encode returns a datagram with the observations, of which it uses at most the first MaxObservations.
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

// ErrVersion is returned for a datagram of an unknown version.
var ErrVersion = errors.New("gossip: unknown version")

// Decode decodes a datagram. It skips observations of unknown kinds, so that later versions of the sender can add
// kinds. It returns ErrVersion for an unknown version, and another error if the size is invalid.
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
