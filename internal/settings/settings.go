// Package settings loads the project's own settings from a Starlark script. Calls at the top level set limits, and
// functions define rules that the program calls later. The package owns the interpreter and its limits; no other
// package loads scripts by itself. The platform's configuration is a separate JSON file that package lifecycle reads.
//
// A script has no I/O, no clock and no randomness. Its steps and the size of the values that it creates are limited,
// and errors contain file, line and column.
package settings

import (
	"fmt"
	"os"
	"time"

	"go.starlark.net/starlark"
)

// Settings are the settings of a script. They are immutable once loaded. Rules may be called concurrently.
type Settings struct {
	Path            string
	DeadLetterQueue *DeadLetterQueue // nil: no dead-letter queue
	Admin           *Admin           // nil: no admin API
	Agent           *Agent           // nil: settings of a sender
	Redelivery      Redelivery
	WriteAheadLog   WriteAheadLog
	agentDraft      *Agent // agent as configured before agent() is called
	holdRule        starlark.Callable
	afterRule       starlark.Callable
}

// DeadLetterQueue holds the limits of the dead-letter queue.
type DeadLetterQueue struct {
	Folder     string
	MaxBytes   int64         // of bodies and records, without the overhead of the file's pages
	MaxRecords int           // records, ended ones included
	MaxAge     time.Duration // a record is dropped at this age, open or ended
	KeepEnded  time.Duration // an ended record is dropped after this
	MaxQueued  int           // maximum number of messages that wait for the store
}

// Admin is the address of the admin API.
type Admin struct{ Socket string }

// WriteAheadLog configures the durability of the write-ahead log.
type WriteAheadLog struct {
	Durability string        // "process", "group" or "each"; see docs/operate/store.md
	Wait       time.Duration // group: the longest time until a sync
}

// Redelivery holds the limits of redelivery.
type Redelivery struct {
	Share  float64       // fraction of a partner's capacity that redeliveries may use
	Within time.Duration // default time for which an order to redeliver stays in force
	MaxOut int           // maximum number of redeliveries in flight, over all destinations
}

const (
	maxLoadSteps  = 1_000_000 // interpreter steps at the top level
	maxRuleSteps  = 20_000    // interpreter steps of one call of a rule; about a millisecond
	maxScriptSize = 1 << 20   // bytes
)

// defaults returns settings with the default values.
func defaults(path string) *Settings {
	return &Settings{
		Path: path, Redelivery: Redelivery{Share: 0.5, Within: 10 * time.Minute, MaxOut: 8},
		WriteAheadLog: WriteAheadLog{Durability: "process", Wait: 5 * time.Millisecond},
	}
}

// Load loads a script file. Errors of the script itself are of type *Error.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if info.Size() > maxScriptSize {
		return nil, &Error{
			File: path, Text: fmt.Sprintf("script of %d bytes exceeds the limit of %d", info.Size(), maxScriptSize),
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, text)
}

// Parse runs the top level of a script and returns its settings. The path is used in errors and to resolve relative
// paths.
func Parse(path string, text []byte) (*Settings, error) {
	s := defaults(path)
	globals, err := Exec(path, text, s.predeclared())
	if err != nil {
		return nil, err
	}
	if s.holdRule, err = findRule(path, globals, "hold"); err != nil {
		return nil, err
	}
	if s.afterRule, err = findRule(path, globals, "after"); err != nil {
		return nil, err
	}
	if s.Agent == nil && s.agentDraft != nil {
		return nil, &Error{File: path, Text: "sender, budget and timing require an agent: call agent(name = ...)"}
	}
	if s.DeadLetterQueue == nil && (s.holdRule != nil || s.afterRule != nil) {
		return nil, &Error{File: path, Text: "rules hold and after require a dead-letter queue: call held(folder = ...)"}
	}
	return s, nil
}

// Summary describes the settings in one line for operators.
func (s *Settings) Summary() string {
	if a := s.Agent; a != nil {
		return fmt.Sprintf("%s: agent %s of %d at %s, beside %d senders that run %s; "+
			"%d of the fleet out at once, %d of a building, %d must serve",
			s.Path, a.Name, len(a.Agents), a.Listen, len(a.Senders), a.Version, a.Budget.Fleet, a.Budget.Building,
			a.Budget.Serving)
	}
	if s.DeadLetterQueue == nil {
		return s.Path + ": nothing is held; journal durable over " + s.WriteAheadLog.survivedFailures()
	}
	text := fmt.Sprintf("%s: holds up to %d records and %d bytes for %v in %s; resends use %g of a partner's limit",
		s.Path, s.DeadLetterQueue.MaxRecords, s.DeadLetterQueue.MaxBytes, s.DeadLetterQueue.MaxAge, s.DeadLetterQueue.Folder,
		s.Redelivery.Share)
	for i, rule := range []starlark.Callable{s.holdRule, s.afterRule} {
		if rule == nil {
			text += "; no rule " + []string{"hold", "after"}[i]
		}
	}
	if s.Admin != nil {
		text += "; admin socket " + s.Admin.Socket
	}
	return text + "; journal durable over " + s.WriteAheadLog.survivedFailures()
}

// survivedFailures describes the failures that an accepted message survives.
func (j WriteAheadLog) survivedFailures() string {
	switch j.Durability {
	case "group":
		return fmt.Sprintf("kills, and power cuts but for the last %v", j.Wait)
	case "each":
		return "kills and power cuts"
	}
	return "kills"
}
