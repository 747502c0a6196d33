package cluster

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// TestDrawIsReproducible checks that Draw still generates the same histories, so that the histories of seeds that are
// recorded in journals can be played again.
func TestDrawIsReproducible(t *testing.T) {
	digest := sha256.New()
	for seed := range uint64(20) {
		text, err := json.Marshal(Draw(seed, 2+int(seed%7), 1+int(seed%5), time.Duration(10+seed)*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(digest, "%s\n", text)
	}
	const want = "dc517ba123f36708653cfd10a07a99badc7fd13554e4ed685777ab591b3b4eef"
	if got := fmt.Sprintf("%x", digest.Sum(nil)); got != want {
		t.Errorf("the histories have changed: %s, want %s", got, want)
	}
}
