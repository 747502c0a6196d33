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

// TestGoldenRun checks that the folder of a run that commit 096da04 wrote can be read, and that its events are written
// in the same form.
func TestGoldenRun(t *testing.T) {
	golden.JSON[Header](t, "head.json")
	run, err := Open(golden.Path("run"))
	if err != nil {
		t.Fatal(err)
	}
	if run.Head.Scenario == "" || len(run.Script) == 0 || len(run.Result) == 0 {
		t.Errorf("head %+v, %d bytes of script, %d of result", run.Head, len(run.Script), len(run.Result))
	}
	var written bytes.Buffer
	encoder := json.NewEncoder(&written)
	complete, err := run.Events(func(e audit.Event) error { return encoder.Encode(e) })
	if err != nil || !complete {
		t.Fatalf("complete %t, %v", complete, err)
	}
	compressed, err := os.ReadFile(golden.Path("run/" + eventsFile))
	if err != nil {
		t.Fatal(err)
	}
	decompressor, err := zstd.NewReader(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer decompressor.Close()
	text, err := decompressor.DecodeAll(compressed, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written.Bytes(), text) {
		t.Errorf("%d bytes of events written, want the %d that were read", written.Len(), len(text))
	}
}
