package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

// Write replaces a file. If that fails, the path must be unchanged and no temporary file may be left.
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
		t.Error("Write replaced a folder")
	}
	if _, err := os.Stat(folder + ".new"); !os.IsNotExist(err) {
		t.Errorf("temporary file was not removed: %v", err)
	}
}
