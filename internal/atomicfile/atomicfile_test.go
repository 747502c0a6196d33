package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

// A file is replaced; where that fails it stays as it was, and nothing stands beside it.
func TestWrite(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "file")
	for _, text := range []string{"first", "second"} {
		if err := Write(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(path); string(got) != text || err != nil {
			t.Errorf("%q, %v; want %q", got, err, text)
		}
	}
	folder := filepath.Join(dir, "folder")
	if err := os.MkdirAll(filepath.Join(folder, "full"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Write(folder, []byte("text")); err == nil {
		t.Error("a folder was replaced")
	}
	if _, err := os.Stat(folder + ".new"); !os.IsNotExist(err) {
		t.Errorf("the replacement is left: %v", err)
	}
}
