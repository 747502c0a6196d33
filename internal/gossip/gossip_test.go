package gossip

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"cleathold/control"
)

// TestDecode checks that encoded observations are decoded unchanged, that invalid datagrams are rejected, and that
// observations of unknown kinds are skipped.
func TestDecode(t *testing.T) {
	valid := Encode([]Observation{{7, control.ObservedRejection, 50 * time.Millisecond},
		{8, control.ObservedRejection, time.Hour}})
	for _, c := range []struct {
		name         string
		in           []byte
		observations int
		fails        bool
	}{
		{"valid", valid, 2, false},
		{"no observations", valid[:1], 0, false},
		{"empty", nil, 0, true},
		{"truncated", valid[:9], 0, true},
		{"unknown version", append([]byte{9}, valid[1:]...), 0, true},
		{"too long", make([]byte, MaxSize+1), 0, true},
		{"unknown kind", append(bytes.Clone(valid), 1, 2, 3, 4, 200, 0), 2, false},
	} {
		observations, err := Decode(c.in)
		if len(observations) != c.observations || (err != nil) != c.fails {
			t.Errorf("%s: %v, %v", c.name, observations, err)
		}
	}
	if observations, _ := Decode(valid); observations[1].Age != maxAge ||
		observations[0] != (Observation{7, control.ObservedRejection, 50 * time.Millisecond}) {
		t.Errorf("read as %v", observations)
	}
	if n := len(Encode(make([]Observation, 1000))); n > MaxSize {
		t.Errorf("%d bytes", n)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode([]Observation{{1, control.ObservedRejection, time.Second}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		observations, err := Decode(b)
		if err != nil {
			return
		}
		if decoded, err := Decode(Encode(observations)); err != nil || len(decoded) != len(observations) ||
			len(observations) > 0 && !reflect.DeepEqual(decoded, observations) {
			t.Fatalf("%v decoded again as %v, %v", observations, decoded, err)
		}
	})
}
