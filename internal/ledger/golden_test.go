package ledger

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/klauspost/compress/zstd"

	"cleathold/internal/audit"
	"cleathold/internal/golden"
)

// TestGoldenRun reads the folder of a run that 096da04 played, and writes its events as they stand there.
func TestGoldenRun(t *testing.T) {
	golden.JSON[Head](t, "head.json")
	run, err := Open(golden.Path("run"))
	if err != nil {
		t.Fatal(err)
	}
	if run.Head.Scenario == "" || len(run.Script) == 0 || len(run.Result) == 0 {
		t.Errorf("head %+v, %d bytes of script, %d of result", run.Head, len(run.Script), len(run.Result))
	}
	var again bytes.Buffer
	lines := json.NewEncoder(&again)
	whole, err := run.Events(func(e audit.Event) error { return lines.Encode(e) })
	if err != nil || !whole {
		t.Fatalf("whole %t, %v", whole, err)
	}
	packed, err := os.ReadFile(golden.Path("run/" + eventsName))
	if err != nil {
		t.Fatal(err)
	}
	unpack, err := zstd.NewReader(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer unpack.Close()
	text, err := unpack.DecodeAll(packed, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again.Bytes(), text) {
		t.Errorf("%d bytes of events written, want the %d that were read", again.Len(), len(text))
	}
}
