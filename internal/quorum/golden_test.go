package quorum

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"time"

	"cleathold/internal/golden"
	"cleathold/internal/store"
)

// TestGoldenQuorum checks that the data in an agent's folder, and the data sent to operators, is encoded and decoded as
// in commit 096da04.
func TestGoldenQuorum(t *testing.T) {
	golden.JSON[Member](t, "seat.json")
	golden.JSON[snapshot](t, "image.json")
	golden.JSON[Status](t, "status.json")
}

// TestGoldenFolder opens an agent's folder written by commit 096da04, with its name, its vote and three entries.
func TestGoldenFolder(t *testing.T) {
	log := newRecordingMachine()
	node, err := Open(goldenConfig(store.Dir(golden.Folder(t, "folder")), log))
	if err != nil {
		t.Fatal(err)
	}
	if s := node.Status(); s.Member.Name != "a" || s.Member.Number != initialMemberNumber("a") {
		t.Errorf("%+v", s.Member)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- node.Run(ctx) }()
	defer func() { cancel(); <-done }()
	want := []string{"one", "two", "three"}
	for end := time.Now().Add(20 * time.Second); !slices.Equal(log.all(), want); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%q, want %q", log.all(), want)
		}
	}
}

func goldenConfig(fs store.FS, m Machine) Config {
	return Config{Name: "a", FS: fs, Peers: map[string]string{"a": "127.0.0.1:1"}, Machine: m,
		Log: slog.New(slog.DiscardHandler)}
}
