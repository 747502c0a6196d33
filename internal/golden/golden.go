// Package golden compares data that this program reads and writes with files that an earlier version wrote. It is used
// by tests of formats that are stored on disk, sent to other processes or shown to operators, which must not change
// when the code changes.
//
// The files under testdata/golden were written by commit 096da04. They must not be regenerated to make a test pass.
package golden

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// write creates missing golden files instead of comparing with them. It is for new formats.
var write = flag.Bool("golden.write", false, "write the golden files of forms that have none yet")

// maxDepth is the maximum nesting depth of the values that Fill creates.
const maxDepth = 8

// epoch is the base of the times that Fill creates. The n-th value, if it is a time, is n seconds after it.
var epoch = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func path(name string) string { return filepath.Join("testdata", "golden", name) }

// Path returns the path of a golden file or folder, relative to the folder of the package under test.
func Path(name string) string { return path(name) }

// Bytes fails the test if got differs from the golden file. If asHex is set, the file contains the bytes in
// hexadecimal.
func Bytes(t *testing.T, name string, got []byte, asHex bool) {
	t.Helper()
	if asHex {
		got = []byte(hex.EncodeToString(got) + "\n")
	}
	if create(t, name, got) {
		return
	}
	want, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\n got %s\nwant %s", name, got, want)
	}
}

// JSON creates a value of type T with Fill. It fails the test unless the value is encoded as in the golden file and the
// file is decoded to the same value. It compares keys, types and values, but not the order of the keys.
func JSON[T any](t *testing.T, name string) {
	t.Helper()
	filled := Fill[T]()
	text, err := json.MarshalIndent(filled, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if create(t, name, append(text, '\n')) {
		return
	}
	want, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatal(err)
	}
	var gotTree, wantTree any
	if err := json.Unmarshal(text, &gotTree); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(want, &wantTree); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(gotTree, wantTree) {
		t.Errorf("%s: encoded differently:\n got %s\nwant %s", name, text, want)
	}
	decoder := json.NewDecoder(bytes.NewReader(want))
	decoder.DisallowUnknownFields()
	var read T
	if err := decoder.Decode(&read); err != nil {
		t.Errorf("%s: %v", name, err)
	}
	text, err = json.Marshal(read)
	if err != nil {
		t.Fatal(err)
	}
	var readTree any
	if err := json.Unmarshal(text, &readTree); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(readTree, wantTree) {
		t.Errorf("%s: decoded as %s, want %s", name, text, want)
	}
}

// Folder copies a golden folder to a temporary folder, which the test may modify, and returns its path.
func Folder(t *testing.T, name string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(path(name))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// create writes a golden file if it does not exist and the flag is set. It reports whether it wrote the file.
func create(t *testing.T, name string, text []byte) bool {
	t.Helper()
	if _, err := os.Stat(path(name)); err == nil || !*write {
		return false
	}
	err := os.MkdirAll(filepath.Dir(path(name)), 0o755)
	if err == nil {
		err = os.WriteFile(path(name), text, 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
	return true
}

// Fill returns a value in which all exported fields that JSON encodes are set. Strings, numbers and times get distinct
// values, numbered in the order of the fields.
func Fill[T any]() T {
	var v T
	n := 0
	fill(reflect.ValueOf(&v).Elem(), &n, 0)
	return v
}

// fill sets v and its fields and elements up to maxDepth. n is the number of the last value that was set.
func fill(v reflect.Value, n *int, depth int) {
	if depth > maxDepth {
		return
	}
	if v.Type() == reflect.TypeFor[time.Time]() {
		*n++
		v.Set(reflect.ValueOf(epoch.Add(time.Duration(*n) * time.Second)))
		return
	}
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		*n++
		v.SetBytes(fmt.Appendf(nil, "%d", *n))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if field.IsExported() && !strings.HasPrefix(field.Tag.Get("json"), "-") {
				fill(v.Field(i), n, depth+1)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n, depth+1)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n, depth+1)
		fill(value, n, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		*n++
		v.SetString(fmt.Sprintf("text %d", *n))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		*n++
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		*n++
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		*n++
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n, depth+1)
		}
	}
}
