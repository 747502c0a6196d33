package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"cleathold/internal/deadletter"
)

// commandCase is a command line with its expected exit code and a part of its expected output.
type commandCase struct {
	args string
	code int
	want string
}

// requireCommands runs commands and checks their exit codes and outputs.
func (env *environment) requireCommands(situation string, cases []commandCase) {
	env.t.Helper()
	for _, c := range cases {
		out, code := env.runCommand(strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(out, c.want) {
			env.t.Errorf("%s, %s: exit code %d\n%s", situation, c.args, code, out)
		}
	}
}

// TestDeadLetterCommands runs the held commands against a running sender, against the folder of a stopped sender, and
// against another sender that imports exported records.
func TestDeadLetterCommands(t *testing.T) {
	p := newPartner(150)
	env := newDeadLetterEnvironment(t, p, holdAllSettings)
	env.collectReports()
	process := env.start()
	clientConn := env.client()
	for n := range 6 {
		name, id, key := testMessage(n)
		clientConn.submit(name, id, key, 0.3)
	}
	env.awaitStats(env.adminAPI(), "held", heldAndReported(6))
	file := filepath.Join(t.TempDir(), "out.jsonl")
	env.requireCommands("running", []commandCase{
		{"held list --class unsafe --limit 1", 0, "more: --after"},
		{"held list --json --since 1h", 0, `"state":"held"`},
		{"held list --since what", 1, "neither RFC 3339 nor a duration"},
		{"held show 1", 0, "attempts:"},
		{"held show 99", exitNotFound, "no such record"},
		{"held drop 1 --dry-run", 0, "1 done, 0 refused (dry run"},
		{"held drop 1", 0, "1 done"},
		{"held drop 1", exitRejected, "it has ended: dropped"},
		{"held drop", 1, "specify record numbers, a filter, or --all"},
		{"held resend --destination 7 --dry-run --json", 0, `"done": 5`},
		{"held export --state held --out " + file, 0, ""},
		{"held import " + file, exitRejected, "a record with its id is here"},
		{"held stats", 0, "dropped"},
		{"held audit", 0, "drop  done 1, refused 0"},
		{"check --settings " + env.settingsScript, 0, "holds up to"},
	})
	process.Process.Signal(syscall.SIGTERM)
	if err := process.Wait(); err != nil {
		t.Error(err)
	}
	env.requireCommands("stopped", []commandCase{
		{"held list", 0, "dropped"},
		{"held show 2", 0, "record 2"},
		{"held stats --json", 0, `"records": 6`},
		{"held resend 2", exitUnreachable, "can be read only"},
		{"held list --folder /nowhere", exitUnreachable, "no such file"},
	})
	// In the store of another sender, imported records count as ones that may have run.
	importingEnv := newDeadLetterEnvironment(t, p, holdAllSettings)
	importingEnv.collectReports()
	importingEnv.start()
	importingEnv.awaitStats(importingEnv.adminAPI(), "open", func(map[string]int, deadletter.Stats) bool { return true })
	importingEnv.requireCommands("another sender", []commandCase{
		{"held import " + file, 0, "5 done"},
		{"held resend --class unsafe", exitRejected, "not whole"},
	})
}

// TestSettingsReload checks that SIGHUP reloads the settings script. An invalid script must neither change the settings
// nor end the process, and a valid one must take effect.
func TestSettingsReload(t *testing.T) {
	env := newDeadLetterEnvironment(t, newPartner(150), holdAllSettings)
	env.collectReports()
	process := env.start()
	clientConn := env.client()
	reload := func(text string) {
		must(t, os.WriteFile(env.settingsScript, []byte(text), 0o600))
		process.Process.Signal(syscall.SIGHUP)
	}
	clientConn.submit("safe", "s1", "", 0.2)
	api := env.adminAPI()
	env.awaitStats(api, "held", heldAndReported(1))
	check := "check --settings " + env.settingsScript
	env.requireCommands("valid script", []commandCase{{check, 0, ""}})
	reload(holdAllSettings + "\nheld(\n")
	env.requireCommands("invalid script", []commandCase{{check, 1, "s.star:9:1"}})
	clientConn.submit("safe", "s2", "", 0.2)
	env.awaitStats(api, "held by the old script", heldAndReported(2))
	reload(holdAllSettings + "\ndef after(record, partner):\n    return drop()\n")
	env.awaitStats(api, "dropped by the new one", func(states map[string]int, _ deadletter.Stats) bool {
		return states["dropped"] == 2
	})
}
