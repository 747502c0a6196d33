package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
)

// Hundreds of held messages go to a partner that returns cold: no double, the
// partner is never overwhelmed, live traffic keeps its service, and all that
// may be sent is delivered.
func TestRedeliveryToRecoveringPartner(t *testing.T) {
	const records, mayHaveRun = 600, 30
	served := map[bool]float64{}
	for _, resends := range []bool{false, true} {
		p := newPartner(150)
		env := newDeadLetterEnvironment(t, p, holdAllSettings)
		noticed := env.collectNotices()
		env.start()
		plane := env.adminAPI()
		// First some whose call breaks after it took effect; then the partner is shut.
		p.resetCalls = true
		c := env.client()
		for n := range mayHaveRun {
			if status, err := c.submit("unsafe", fmt.Sprint("u-ran", n), "", 1); status != 202 {
				t.Fatalf("%d %v", status, err)
			}
		}
		env.awaitStats(plane, "those that may have run", func(s map[string]int, _ deadletter.Stats) bool { return s["held"] == mayHaveRun })
		p.mu.Lock()
		p.resetCalls = false
		broken := len(p.effects) // the others found the route taken for an outage, and never ran
		p.mu.Unlock()
		if broken == 0 {
			t.Fatal("no call broke")
		}
		for n := range records {
			name, id, key := testMessage(n)
			if status, err := c.submit(name, id, key, 1); status != 202 {
				t.Fatalf("%s: %d %v", id, status, err)
			}
		}
		env.awaitStats(plane, "all held", func(s map[string]int, x deadletter.Stats) bool { return s["held"] == records+mayHaveRun && x.Owed == 0 })
		for n := range records {
			if _, id, _ := testMessage(n); !noticed(id) || p.effects[id] > 0 {
				t.Fatalf("%s: told %t, effects %d", id, noticed(id), p.effects[id])
			}
		}
		if resends {
			got, err := plane.Act(context.Background(), "resend", admin.Order{Selection: deadletter.Selection{Limit: deadletter.MaxPageSize}, WithinS: 60})
			for next := got.Next; err == nil && next > 0; {
				var more deadletter.Outcome
				more, err = plane.Act(context.Background(), "resend", admin.Order{Selection: deadletter.Selection{Limit: deadletter.MaxPageSize, After: next}, WithinS: 60})
				got.Done, got.Rejected, next = got.Done+more.Done, append(got.Rejected, more.Rejected...), more.Next
			}
			if err != nil || got.Done != records+mayHaveRun-broken || len(got.Rejected) != broken || !strings.Contains(got.Rejected[0].Reason, "must never take effect twice") {
				t.Fatalf("ordered %d, refused %d, %v", got.Done, len(got.Rejected), err)
			}
		}
		p.mu.Lock()
		p.openedAt = time.Now()
		p.calls = nil
		p.mu.Unlock()
		// Live traffic beside it: 25 a second, arrivals fixed ahead.
		start := time.Now()
		const live = 300
		for n := range live {
			time.Sleep(time.Until(start.Add(time.Duration(n) * 40 * time.Millisecond)))
			if status, err := c.submit("safe", fmt.Sprint("slive", n), "", 4); status != 202 {
				t.Errorf("live %d: %d %v", n, status, err)
			}
		}
		if resends {
			env.awaitStats(plane, "all delivered", func(s map[string]int, _ deadletter.Stats) bool { return s["delivered"] == records+mayHaveRun-broken })
		}
		env.awaitStats(plane, "nothing out", func(s map[string]int, _ deadletter.Stats) bool { return s["out"]+s["ordered"] == 0 })
		time.Sleep(time.Until(start.Add(live*40*time.Millisecond + 4*time.Second)))
		overload := p.maxOverload(overloadWindow)
		p.mu.Lock()
		for n := range live {
			// Full worth within the aim of 400 ms, falling to a half at the deadline of 4 s.
			if at, came := p.firstEffect[fmt.Sprint("slive", n)]; came {
				lateness := at.Sub(start.Add(time.Duration(n)*40*time.Millisecond)) - 400*time.Millisecond
				served[resends] += 1 - max(0, lateness.Seconds()/3.6)/2
			}
		}
		for n := range records {
			// A safe one may be repeated, and is where a call is slow: a busy machine does that.
			if name, id, _ := testMessage(n); resends && (p.effects[id] < 1 || p.effects[id] > 1 && name != "safe") {
				t.Errorf("%s took effect %d times", id, p.effects[id])
			}
		}
		for n := range mayHaveRun {
			if id := fmt.Sprint("u-ran", n); p.effects[id] > 1 {
				t.Errorf("%s took effect %d times", id, p.effects[id])
			}
		}
		if len(p.doubles) > 0 {
			t.Errorf("doubles: %v", p.doubles)
		}
		p.mu.Unlock()
		t.Logf("resends %t: worth of live traffic %.1f of %d, at most %.2f times the capacity in %v, partner opened %v ago",
			resends, served[resends], live, overload, overloadWindow, time.Since(start).Round(time.Second))
		if overload > 2 {
			t.Errorf("pushed: %.2f times its capacity", overload)
		}
	}
	if served[true] < 0.95*served[false] {
		t.Errorf("worth of live traffic %.1f beside resends, %.1f without", served[true], served[false])
	}
}

func TestDeadLetterCommands(t *testing.T) {
	p := newPartner(150)
	env := newDeadLetterEnvironment(t, p, holdAllSettings)
	env.collectNotices()
	c := env.start()
	clientConn := env.client()
	for n := range 6 {
		name, id, key := testMessage(n)
		clientConn.submit(name, id, key, 0.3)
	}
	env.awaitStats(env.adminAPI(), "held", func(s map[string]int, x deadletter.Stats) bool { return s["held"] == 6 && x.Owed == 0 })
	file := filepath.Join(t.TempDir(), "out.jsonl")
	for _, x := range []struct {
		args string
		code int
		want string
	}{
		{"held list --class unsafe --limit 1", 0, "more: --after"},
		{"held list --json --since 1h", 0, `"state":"held"`},
		{"held list --since what", 1, "neither RFC 3339 nor a duration"},
		{"held show 1", 0, "attempts:"},
		{"held show 99", exitNotFound, "no such record"},
		{"held drop 1 --dry-run", 0, "1 done, 0 refused (dry run"},
		{"held drop 1", 0, "1 done"},
		{"held drop 1", exitRejected, "it has ended: dropped"},
		{"held drop", 1, "name numbers, a filter, or --all"},
		{"held resend --destination 7 --dry-run --json", 0, `"done": 5`},
		{"held export --state held --out " + file, 0, ""},
		{"held import " + file, exitRejected, "a record with its id is here"},
		{"held stats", 0, "dropped"},
		{"held audit", 0, "drop  done 1, refused 0"},
		{"check --settings " + env.settingsScript, 0, "holds up to"},
	} {
		if out, code := env.runCommand(strings.Fields(x.args)...); code != x.code || !strings.Contains(out, x.want) {
			t.Errorf("%s: exit %d\n%s", x.args, code, out)
		}
	}
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
	for _, x := range []struct {
		args string
		code int
		want string
	}{
		{"held list", 0, "dropped"}, {"held show 2", 0, "record 2"}, {"held stats --json", 0, `"records": 6`},
		{"held resend 2", exitUnreachable, "can be read only"},
		{"held list --folder /nowhere", exitUnreachable, "no such file"},
	} {
		if out, code := env.runCommand(strings.Fields(x.args)...); code != x.code || !strings.Contains(out, x.want) {
			t.Errorf("stopped, %s: exit %d\n%s", x.args, code, out)
		}
	}
	// In another sender's store the exported ones are in doubt.
	o := newDeadLetterEnvironment(t, p, holdAllSettings)
	o.collectNotices()
	o.start()
	o.awaitStats(o.adminAPI(), "open", func(map[string]int, deadletter.Stats) bool { return true })
	if out, code := o.runCommand("held", "import", file); code != 0 || !strings.Contains(out, "5 done") {
		t.Errorf("import: %d %s", code, out)
	}
	if out, code := o.runCommand("held", "resend", "--class", "unsafe"); code != exitRejected || !strings.Contains(out, "not whole") {
		t.Errorf("resend of imported: %d %s", code, out)
	}
}

// SIGHUP reads the script again: one with a fault changes nothing and ends nothing,
// a good one rules from then on.
func TestSettingsReload(t *testing.T) {
	env := newDeadLetterEnvironment(t, newPartner(150), holdAllSettings)
	env.collectNotices()
	c := env.start()
	clientConn := env.client()
	write := func(text string) {
		if err := os.WriteFile(env.settingsScript, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.Process.Signal(syscall.SIGHUP)
	}
	clientConn.submit("safe", "s1", "", 0.2)
	plane := env.adminAPI()
	env.awaitStats(plane, "held", func(s map[string]int, x deadletter.Stats) bool { return s["held"] == 1 && x.Owed == 0 })
	if out, code := env.runCommand("check", "--settings", env.settingsScript); code != 0 {
		t.Errorf("%d %s", code, out)
	}
	write(holdAllSettings + "\nheld(\n")
	if out, code := env.runCommand("check", "--settings", env.settingsScript); code != 1 || !strings.Contains(out, "s.star:9:1") {
		t.Errorf("%d %s", code, out)
	}
	clientConn.submit("safe", "s2", "", 0.2)
	env.awaitStats(plane, "held by the old rules", func(s map[string]int, x deadletter.Stats) bool { return s["held"] == 2 && x.Owed == 0 })
	write(holdAllSettings + "\ndef after(record, partner):\n    return drop()\n")
	env.awaitStats(plane, "dropped by the new ones", func(s map[string]int, _ deadletter.Stats) bool { return s["dropped"] == 2 })
}
