package gossip

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"cleathold/control"
)

// What is told is read as told; what can't be read gives an error, and what a later version says is left out.
func TestDecode(t *testing.T) {
	good := Encode([]Observation{{7, control.ObservedRejection, 50 * time.Millisecond}, {8, control.ObservedRejection, time.Hour}})
	for _, c := range []struct {
		name  string
		in    []byte
		facts int
		fails bool
	}{
		{"as it is", good, 2, false},
		{"nothing in it", good[:1], 0, false},
		{"empty", nil, 0, true},
		{"cut short", good[:9], 0, true},
		{"another version", append([]byte{9}, good[1:]...), 0, true},
		{"too long", make([]byte, MaxSize+1), 0, true},
		{"a kind not known", append(bytes.Clone(good), 1, 2, 3, 4, 200, 0), 2, false},
	} {
		facts, err := Decode(c.in)
		if len(facts) != c.facts || (err != nil) != c.fails {
			t.Errorf("%s: %v, %v", c.name, facts, err)
		}
	}
	if facts, _ := Decode(good); facts[1].Age != oldest || facts[0] != (Observation{7, control.ObservedRejection, 50 * time.Millisecond}) {
		t.Errorf("read as %v", facts)
	}
	if n := len(Encode(make([]Observation, 1000))); n > MaxSize {
		t.Errorf("%d bytes", n)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode([]Observation{{1, control.ObservedRejection, time.Second}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		facts, err := Decode(b)
		if err != nil {
			return
		}
		if again, err := Decode(Encode(facts)); err != nil || len(again) != len(facts) || len(facts) > 0 && !reflect.DeepEqual(again, facts) {
			t.Fatalf("%v read again as %v, %v", facts, again, err)
		}
	})
}
