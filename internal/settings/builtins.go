package settings

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"go.starlark.net/starlark"
)

// predeclared returns the names that are available to a script in addition to those of the language.
func (s *Settings) predeclared() starlark.StringDict {
	return starlark.StringDict{
		holdResult: ruleResult{name: holdResult}, giveBackResult: ruleResult{name: giveBackResult},
		"held":    starlark.NewBuiltin("held", s.heldBuiltin),
		"admin":   starlark.NewBuiltin("admin", s.adminBuiltin),
		"resend":  starlark.NewBuiltin("resend", s.resendBuiltin),
		"journal": starlark.NewBuiltin("journal", s.journalBuiltin),
		"agent":   starlark.NewBuiltin("agent", s.agentBuiltin),
		"sender":  starlark.NewBuiltin("sender", s.senderBuiltin),
		"budget":  starlark.NewBuiltin("budget", s.budgetBuiltin),
		"timing":  starlark.NewBuiltin("timing", s.timingBuiltin),
		"keep":    starlark.NewBuiltin("keep", keepBuiltin),
		"drop":    starlark.NewBuiltin("drop", dropBuiltin),
		"again":   starlark.NewBuiltin("again", againBuiltin),
	}
}

// checkTopLevel returns an error unless the script is being loaded, because a rule must not change settings in force.
func checkTopLevel(t *starlark.Thread, name string) error {
	if t.Name != "load" {
		return fmt.Errorf("%s: must not be called within a rule", name)
	}
	return nil
}

// heldBuiltin implements held(folder, ...), which enables the dead-letter queue and sets its limits.
func (s *Settings) heldBuiltin(
	t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	h := &DeadLetterQueue{}
	age, ended := number(7*86400), number(86400)
	maxBytes, maxRecords, queue := int64(256_000_000), 100_000, 256
	var folder string
	if err := starlark.UnpackArgs(b.Name(), nil, kwargs, "folder", &folder, "max_bytes?", &maxBytes,
		"max_records?", &maxRecords, "max_age?", &age, "keep_ended?", &ended, "queue?", &queue); err != nil {
		return nil, err
	}
	var err error
	if h.MaxAge, err = duration("max_age", age); err != nil {
		return nil, err
	}
	if h.KeepEnded, err = duration("keep_ended", ended); err != nil {
		return nil, err
	}
	switch {
	case len(args) > 0:
		return nil, errors.New("held: arguments must be passed by name")
	case checkTopLevel(t, "held") != nil:
		return nil, checkTopLevel(t, "held")
	case s.DeadLetterQueue != nil:
		return nil, errors.New("held: called twice")
	case folder == "":
		return nil, errors.New("held: folder must not be empty")
	case maxBytes < 1_000_000:
		return nil, errors.New("held: max_bytes must be at least 1 MB")
	case maxRecords < 1 || maxRecords > 10_000_000:
		return nil, errors.New("held: max_records must be 1 to 10,000,000")
	case queue < 1 || queue > 65_536:
		return nil, errors.New("held: queue must be 1 to 65,536")
	}
	h.Folder, h.MaxBytes, h.MaxRecords, h.MaxQueued = s.resolvePath(folder), maxBytes, maxRecords, queue
	s.DeadLetterQueue = h
	return starlark.None, nil
}

// adminBuiltin implements admin(socket), which sets the Unix socket of the admin API.
func (s *Settings) adminBuiltin(
	t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	var socket string
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "socket", &socket); err != nil {
		return nil, err
	}
	const maxPathLength = 100 // the kernel limits the address of a Unix socket to 107 bytes
	switch {
	case checkTopLevel(t, "admin") != nil:
		return nil, checkTopLevel(t, "admin")
	case s.Admin != nil:
		return nil, errors.New("admin: called twice")
	case socket == "":
		return nil, errors.New("admin: socket must not be empty")
	case len(s.resolvePath(socket)) > maxPathLength:
		return nil, fmt.Errorf("admin: the path of the socket must have at most %d bytes", maxPathLength)
	}
	s.Admin = &Admin{Socket: s.resolvePath(socket)}
	return starlark.None, nil
}

// resendBuiltin implements resend(share, within, max_out), which sets the limits of redelivery.
func (s *Settings) resendBuiltin(
	t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	share, within, out := number(s.Redelivery.Share), number(s.Redelivery.Within.Seconds()), s.Redelivery.MaxOut
	if err := starlark.UnpackArgs(b.Name(), nil, kwargs, "share?", &share, "within?", &within, "max_out?",
		&out); err != nil {
		return nil, err
	}
	withinDuration, err := duration("within", within)
	switch {
	case err != nil:
		return nil, err
	case len(args) > 0:
		return nil, errors.New("resend: arguments must be passed by name")
	case checkTopLevel(t, "resend") != nil:
		return nil, checkTopLevel(t, "resend")
	case !(share > 0 && share <= 1):
		return nil, errors.New("resend: share must be above 0 and at most 1")
	case out < 1 || out > 1024:
		return nil, errors.New("resend: max_out must be 1 to 1,024")
	}
	s.Redelivery = Redelivery{Share: float64(share), Within: withinDuration, MaxOut: out}
	return starlark.None, nil
}

// journalBuiltin implements journal(durability, wait), which sets when the write-ahead log is synced.
func (s *Settings) journalBuiltin(
	t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	durability, wait := "process", number(s.WriteAheadLog.Wait.Seconds())
	if err := starlark.UnpackArgs(b.Name(), nil, kwargs, "durability", &durability, "wait?", &wait); err != nil {
		return nil, err
	}
	waitDuration, err := duration("wait", wait)
	switch {
	case err != nil:
		return nil, err
	case len(args) > 0:
		return nil, errors.New("journal: arguments must be passed by name")
	case checkTopLevel(t, "journal") != nil:
		return nil, checkTopLevel(t, "journal")
	case durability != "process" && durability != "group" && durability != "each":
		return nil, fmt.Errorf("journal: durability: %q is not process, group or each", durability)
	case waitDuration > time.Second:
		return nil, errors.New("journal: wait must be at most one second")
	}
	s.WriteAheadLog = WriteAheadLog{Durability: durability, Wait: waitDuration}
	return starlark.None, nil
}

// resolvePath resolves a path in a script relative to the script's folder.
func (s *Settings) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(s.Path), path)
}

// number is an argument of type int or float.
type number float64

// Unpack implements starlark.Unpacker.
func (n *number) Unpack(v starlark.Value) error {
	f, ok := starlark.AsFloat(v)
	if !ok {
		return fmt.Errorf("got %s, want a number", v.Type())
	}
	*n = number(f)
	return nil
}

// maxDuration is the longest duration that a script may give.
const maxDuration = 10 * 365 * 24 * time.Hour

// duration converts a number of seconds above 0 to a time.Duration. Its error contains the name of the argument.
func duration(name string, seconds number) (time.Duration, error) {
	if !(seconds > 0 && float64(seconds) <= maxDuration.Seconds()) {
		return 0, fmt.Errorf("%s: got %v, want a number of seconds above 0", name, seconds)
	}
	return time.Duration(float64(seconds) * float64(time.Second)), nil
}
