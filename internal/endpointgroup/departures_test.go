package endpointgroup

import (
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"cleathold/control"
)

// openDepartures opens the departures in a folder.
func openDepartures(dir string) *Departures {
	return OpenDepartures(dir, slog.New(slog.DiscardHandler))
}

// groupOf returns a group of ready targets, and its list.
func groupOf(ids ...string) (g *Group, list []Target) {
	for _, id := range ids {
		list = append(list, Target{ID: id, Endpoint: control.Endpoint{State: control.Ready}})
	}
	g = New(0)
	g.Update(control.ListCached, 3, list, time.Now())
	return g, list
}

// TestDeparturesAfterKill guards against a doubt that is read as knowledge, or knowledge that is read as a doubt, if a
// kill came between the writes of the two files or another version has written one of them.
func TestDeparturesAfterKill(t *testing.T) {
	dir := t.TempDir()
	g, list := groupOf("a", "b", "gone")
	g.MarkDeparted([]string{"gone"}, time.Now())
	file := func(name string) []byte {
		data, _ := os.ReadFile(filepath.Join(dir, name))
		return data
	}
	check := func(step string, ids []string, doubt Doubt, mayAllHaveLeft bool) {
		t.Helper()
		d := openDepartures(dir)
		if !slices.Equal(d.IDs(), ids) || d.Doubt() != doubt || d.MayAllHaveLeft(list) != mayAllHaveLeft {
			t.Errorf("%s: %v, %v, %t", step, d.IDs(), d.Doubt(), d.MayAllHaveLeft(list))
		}
	}
	d := openDepartures(dir)
	d.Update(g, Doubt{})
	check("one has left", []string{"gone"}, Doubt{}, false)
	doubt := Doubt{Since: 5, Latest: 7}
	d.Update(g, doubt)
	check("doubt", []string{"gone"}, doubt, false)
	if text := string(file(departuresFile)); text != `["gone","a","b"]` {
		t.Errorf("an earlier version reads %s", text)
	}
	stored := file(doubtFile)
	if want := `{"since_us":5,"latest_us":7,"known":1,"departures":"` + digest(file(departuresFile)) + `"}`; string(stored) != want {
		t.Errorf("stored doubt: %s, want %s", stored, want)
	}
	os.Remove(filepath.Join(dir, doubtFile))
	check("killed before the second write of a doubt", []string{"gone", "a", "b"}, Doubt{}, true)
	d.Update(g, Doubt{})
	os.WriteFile(filepath.Join(dir, doubtFile), stored, 0o600)
	check("killed before the second write of its end", []string{"gone"}, Doubt{}, false)
	d = openDepartures(dir)
	if !d.Update(g, Doubt{}) || file(doubtFile) != nil {
		t.Error("a doubt that does not count is left in the folder")
	}
}

// TestDeparturesNotRead guards against departures that are forgotten because a file can't be read, or is damaged: then any
// target may have left, until the files are written again.
func TestDeparturesNotRead(t *testing.T) {
	dir := t.TempDir()
	g, list := groupOf("a")
	if openDepartures(dir).MayAllHaveLeft(list) {
		t.Error("a new folder holds a doubt")
	}
	for _, name := range []string{departuresFile, doubtFile} {
		os.WriteFile(filepath.Join(dir, name), []byte(`["a`), 0o600)
		d := openDepartures(dir)
		if !d.MayAllHaveLeft(list) {
			t.Errorf("%s can't be read, and leaves no doubt", name)
		}
		if d.Update(g, Doubt{}); openDepartures(dir).MayAllHaveLeft(list) {
			t.Errorf("%s was not replaced", name)
		}
	}
}

// TestDeparturesNotWritten guards against a doubt that is lost because a write failed: Update reports it, and the next
// Update writes what is missing.
func TestDeparturesNotWritten(t *testing.T) {
	dir := t.TempDir()
	blocked := filepath.Join(dir, doubtFile+".new")
	g, _ := groupOf("a")
	d := openDepartures(dir)
	os.MkdirAll(filepath.Join(blocked, "full"), 0o700) // the replacement of the file can't be written
	doubt := Doubt{Since: 5, Latest: 7}
	if d.Update(g, doubt) {
		t.Error("the doubt counts as stored")
	}
	os.RemoveAll(blocked)
	if !d.Update(g, doubt) || openDepartures(dir).Doubt() != doubt {
		t.Error("the doubt was not stored by the next update")
	}
}
