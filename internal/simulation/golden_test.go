package simulation

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenResult checks that the JSON form of a run's result is read and written as in commit 096da04.
func TestGoldenResult(t *testing.T) {
	golden.JSON[Result](t, "result.json")
	text, err := os.ReadFile("../ledger/testdata/golden/run/result.json")
	if err != nil {
		t.Fatal(err)
	}
	var r Result
	if err := json.Unmarshal(text, &r); err != nil {
		t.Fatal(err)
	}
	written, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(written, '\n'), text) {
		t.Errorf("written as %s, want %s", written, text)
	}
}
