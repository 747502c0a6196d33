// Package golden compares what this program reads and writes with files that an earlier version of it made. It is for
// tests: a form that goes to disk, to another process or to operators must stay as it is while the code around it
// changes.
//
// The files under testdata/golden were made by commit 096da04. They are not made anew to have a test pass.
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

// write makes the files in place of comparing with them; for a form that is new.
var write = flag.Bool("golden.write", false, "write the golden files of forms that have none yet")

// maxDepth bounds the nesting of values that Fill makes.
const maxDepth = 8

// epoch is the first of the times that Fill makes; the others are a second apart.
var epoch = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func path(name string) string { return filepath.Join("testdata", "golden", name) }

// Path returns the path of a golden file or folder of the package under test.
func Path(name string) string { return path(name) }

// Bytes fails the test if the golden file holds other bytes. The file is text: in hexadecimal where asHex is set.
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

// JSON fills a value of the type T with distinct values and fails the test unless it is written as the golden file has
// it, and the file is read as that value. Names, forms and values count; the order of the keys does not.
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
		t.Errorf("%s: written in another form:\n got %s\nwant %s", name, text, want)
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
		t.Errorf("%s: read as %s, want %s", name, text, want)
	}
}

// Folder copies a golden folder to a temporary one, for a test that opens it.
func Folder(t *testing.T, name string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(path(name))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// create writes a golden file that is not there yet, if the flag asks for it.
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

// Fill returns a value in which each field that JSON shows has a value of its own, by the order of the fields.
func Fill[T any]() T {
	var v T
	n := 0
	fill(reflect.ValueOf(&v).Elem(), &n, 0)
	return v
}

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
