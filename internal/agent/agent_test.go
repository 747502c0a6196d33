package agent

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/quorum"
	"cleathold/internal/rollout"
	"cleathold/internal/state"
)

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func TestRestartBackoff(t *testing.T) {
	var b restartBackoff
	now := start
	for i, want := range []time.Duration{600, 1200, 2400, 4800, 9600} { // milliseconds
		b.started(now)
		if got := b.nextStart(0, now).Sub(now); got != want*time.Millisecond {
			t.Errorf("start %d: delay %v", i+1, got)
		}
	}
	b.started(now)
	if got := b.nextStart(0, now); !got.Equal(start.Add(startWindow)) {
		t.Errorf("after %d starts at once: next start at %v", maxStarts, got)
	}
	now = now.Add(startWindow + time.Second)
	if got := b.nextStart(0, now).Sub(now); got != maxRestartDelay {
		t.Errorf("after the window: delay %v", got)
	}
	if got := b.nextStart(startWindow+1, now).Sub(now); got != minRestartDelay {
		t.Errorf("after a long run: delay %v", got)
	}
}

func TestCheckLogFormats(t *testing.T) {
	info := func(writes int, reads ...int) ProgramInfo { return ProgramInfo{Reads: reads, Writes: writes} }
	for _, c := range []struct {
		name      string
		old, next ProgramInfo
		want      string
	}{
		{"same format", info(2, 2), info(2, 2), ""},
		{"each reads the other's", info(2, 2, 3), info(3, 2, 3), ""},
		{"no way forward", info(2, 2, 3), info(3, 3), "new can't read the journal that old writes (form 2)"},
		{"no way back", info(2, 2), info(3, 2, 3), "no way back: old can't read the journal that new writes (form 3)"},
	} {
		got := ""
		if err := checkLogFormats(c.old, c.next, "old", "new"); err != nil {
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("%s: %q, not %q", c.name, got, c.want)
		}
	}
}

func TestExclusionsDue(t *testing.T) {
	const lease = 9 * time.Second
	sent := sentExclusions{epoch: 7, process: "p", at: start}
	for _, c := range []struct {
		name     string
		sent     sentExclusions
		epoch    uint64
		excluded []string
		process  string
		after    time.Duration
		want     bool
	}{
		{"unknown process", sent, 8, []string{"a"}, "", 0, false},
		{"never any", sentExclusions{}, 0, nil, "p", 0, false},
		{"first", sentExclusions{}, 7, []string{"a"}, "p", 0, true},
		{"already sent", sent, 7, []string{"a"}, "p", lease/3 - 1, false},
		{"to be repeated", sent, 7, []string{"a"}, "p", lease / 3, true},
		{"changed", sent, 8, []string{"a", "b"}, "p", 0, true},
		{"all included again", sent, 8, nil, "p", 0, true},
		{"an empty list is not repeated", sent, 7, nil, "p", lease, false},
		{"another process", sent, 7, []string{"a"}, "q", 0, true},
	} {
		assigned := assignment{exclusionEpoch: c.epoch, excluded: c.excluded, timing: rollout.Timing{Lease: lease}}
		if got := c.sent.due(assigned, c.process, start.Add(c.after)); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestObservationsAreOrderedByTime(t *testing.T) {
	f := newFleetState()
	f.observe(rollout.Observation{Sender: "a", At: start.Add(1), Phase: "second"})
	f.observe(rollout.Observation{Sender: "a", At: start, Phase: "first"},
		rollout.Observation{Sender: "a", At: start.Add(1), Phase: "repeated"})
	if got := f.observations["a"].Phase; got != "second" {
		t.Errorf("kept: %s", got)
	}
	for i := len(f.observations); i <= 2*rollout.MaxSenders; i++ {
		f.observe(rollout.Observation{Sender: fmt.Sprint(i), At: start})
	}
	f.observe(rollout.Observation{Sender: "a", At: start.Add(2), Phase: "third"})
	if n := len(f.observations); n != 2*rollout.MaxSenders || f.observations["a"].Phase != "third" {
		t.Errorf("%d senders, the known one %q", n, f.observations["a"].Phase)
	}
}

func TestEndpointListsAreMerged(t *testing.T) {
	f := newFleetState()
	f.setEndpoints("a", []rollout.Endpoint{{ID: "2", Up: true}, {ID: "1", Up: true}})
	f.setEndpoints("b", []rollout.Endpoint{{ID: "2"}})
	f.endpointLists["c"] = endpointList{time.Now().Add(-2 * endpointListWindow), []rollout.Endpoint{{ID: "3", Up: true}}}
	if got := f.endpoints(); !slices.Equal(got, []rollout.Endpoint{{ID: "1", Up: true}, {ID: "2"}}) {
		t.Errorf("%+v", got)
	}
}

func TestErrorResult(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{rollout.ErrRejected, KindRejected},
		{errors.New("any other"), KindRejected},
		{fmt.Errorf("wrapped: %w", quorum.ErrNoMajority), KindNoMajority},
		{quorum.ErrStopped, KindNoMajority},
		{fmt.Errorf("%w (the leading agent a: %w)", ErrUnknown, errNoResponse), KindUnknown},
	} {
		if got := errorResult(c.err); got.Kind != c.want || got.Text != c.err.Error() {
			t.Errorf("%v: %+v", c.err, got)
		}
	}
}

func TestRecordFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	first := rollout.Version{Name: "first", Program: "/bin/first"}
	f, err := openRecord("s", path, first)
	if err != nil || f.get().Version != first {
		t.Fatalf("%+v, %v", f, err)
	}
	if err := f.update(func(r *record) { r.Pid, r.AdminIndex = 5, 1 }); err != nil {
		t.Fatal(err)
	}
	reopened, err := openRecord("s", path, rollout.Version{Name: "other"})
	if want := (record{Version: first, Pid: 5, AdminIndex: 1}); err != nil || reopened.get() != want {
		t.Fatalf("%+v, %v", reopened.get(), err)
	}
	f.path = filepath.Join(path, "no folder")
	if f.update(func(r *record) { r.Pid = 6 }) == nil || f.get().Pid != 5 {
		t.Errorf("a change took effect although it could not be written: %+v", f.get())
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := openRecord("s", path, first); err == nil {
		t.Error("a damaged record was accepted")
	}
}

func TestObservationOfStatus(t *testing.T) {
	for _, c := range []struct {
		phase            string
		lease            bool
		serving, drained bool
	}{
		{"starting", false, false, false}, {"serving", false, true, false}, {"serving", true, false, false},
		{"drained", true, false, true}, {"leaving", false, false, false},
	} {
		got := observationOf(admin.Status{Phase: c.phase, LeaseActive: c.lease, Counts: state.Counts{Open: 3}})
		if got.Serving != c.serving || got.Drained != c.drained || got.Phase != c.phase || got.Open != 3 {
			t.Errorf("%+v: %+v", c, got)
		}
	}
}
