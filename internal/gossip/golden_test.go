package gossip

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/golden"
)

// TestGoldenDatagrams checks that datagrams with each kind of observation are encoded and decoded as in commit 096da04.
func TestGoldenDatagrams(t *testing.T) {
	var b strings.Builder
	var all []Observation
	for kind := control.ObservedNothing + 1; kind.Known(); kind++ {
		o := Observation{EndpointHash: HashID("target-1"), Kind: kind, Age: 130 * time.Millisecond}
		all = append(all, o)
		fmt.Fprintf(&b, "%d %x\n", kind, Encode([]Observation{o}))
	}
	fmt.Fprintf(&b, "all %x\n", Encode(all))
	golden.Bytes(t, "datagrams.txt", []byte(b.String()), false)

	text, err := os.ReadFile(golden.Path("datagrams.txt"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	var datagram []byte
	if _, err := fmt.Sscanf(lines[len(lines)-1], "all %x", &datagram); err != nil {
		t.Fatal(err)
	}
	observations, err := Decode(datagram)
	if err != nil || len(observations) != len(all) {
		t.Fatalf("%d observations, %v", len(observations), err)
	}
	for i, o := range observations {
		if o != all[i] {
			t.Errorf("read %+v, want %+v", o, all[i])
		}
	}
}
