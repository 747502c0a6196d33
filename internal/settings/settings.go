// Package settings reads the project's own settings, a Starlark script: bounds are given in calls at the top level,
// and rules are functions that the program calls later. It owns the interpreter and its limits; no other package
// loads a script by itself. The platform's configuration is another file, the JSON that package lifecycle reads.
//
// A script has no I/O, no clock and no randomness. Its steps and the size of the values that it builds are bounded,
// and an error names file, line and column.
package settings

import (
	"fmt"
	"os"
	"time"

	"go.starlark.net/starlark"
)

// Settings are the content of a script. They are immutable once read. Rules may be called by several goroutines at a
// time.
type Settings struct {
	Path       string
	Held       *Held  // nil: there is no dead-letter queue
	Admin      *Admin // nil: there is no admin API
	Agent      *Agent // nil: these are a sender's settings
	Resend     Resend
	Journal    Journal
	agentDraft *Agent // what is known of it before agent() is called
	holdRule   starlark.Callable
	afterRule  starlark.Callable
}

// Held bounds the dead-letter queue.
type Held struct {
	Folder     string
	MaxBytes   int64         // of bodies and records, without the overhead of the file's pages
	MaxRecords int           // records, ended ones included
	MaxAge     time.Duration // a record is dropped at this age, open or ended
	KeepEnded  time.Duration // an ended record is dropped after this
	Queue      int           // messages that wait for the store at most
}

// Admin is the address of the admin API.
type Admin struct{ Socket string }

// Journal is the durability of the write-ahead log.
type Journal struct {
	Durability string        // "process", "group" or "each"; see docs/operate/store.md
	Wait       time.Duration // group: the longest time until a sync
}

// Resend bounds redelivery.
type Resend struct {
	Share  float64       // fraction of a partner's capacity that redeliveries may use
	Within time.Duration // how long an order to redeliver holds by default
	MaxOut int           // redeliveries in flight, over all destinations
}

const (
	maxLoadSteps  = 1_000_000 // interpreter steps at the top level
	maxRuleSteps  = 20_000    // interpreter steps of one call of a rule; about a millisecond
	maxScriptSize = 1 << 20   // bytes
)

// defaults returns the values of what a script leaves out.
func defaults(path string) *Settings {
	return &Settings{
		Path: path, Resend: Resend{Share: 0.5, Within: 10 * time.Minute, MaxOut: 8},
		Journal: Journal{Durability: "process", Wait: 5 * time.Millisecond},
	}
}

// Load reads a script file. An error of the script itself is an *Error.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if info.Size() > maxScriptSize {
		return nil, &Error{File: path, Text: fmt.Sprintf("%d bytes, %d at most", info.Size(), maxScriptSize)}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a script. The path is used in errors and to resolve relative paths.
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
		return nil, &Error{File: path, Text: "sender, budget and timing are an agent's: call agent(name = ...)"}
	}
	if s.Held == nil && (s.holdRule != nil || s.afterRule != nil) {
		return nil, &Error{File: path, Text: "rules hold and after need a store: call held(folder = ...)"}
	}
	return s, nil
}

// Summary describes the settings in a line, for operators.
func (s *Settings) Summary() string {
	if a := s.Agent; a != nil {
		return fmt.Sprintf("%s: agent %s of %d at %s, beside %d senders that run %s; "+
			"%d of the fleet out at once, %d of a building, %d must serve",
			s.Path, a.Name, len(a.Agents), a.Listen, len(a.Senders), a.Version, a.Budget.Fleet, a.Budget.Building,
			a.Budget.Serving)
	}
	if s.Held == nil {
		return s.Path + ": nothing is held; journal durable over " + s.Journal.survivedFailures()
	}
	text := fmt.Sprintf("%s: holds up to %d records and %d bytes for %v in %s; resends use %g of a partner's limit",
		s.Path,
		s.Held.MaxRecords, s.Held.MaxBytes, s.Held.MaxAge, s.Held.Folder, s.Resend.Share)
	for i, rule := range []starlark.Callable{s.holdRule, s.afterRule} {
		if rule == nil {
			text += "; no rule " + []string{"hold", "after"}[i]
		}
	}
	if s.Admin != nil {
		text += "; admin socket " + s.Admin.Socket
	}
	return text + "; journal durable over " + s.Journal.survivedFailures()
}

// survivedFailures says which failures an accepted message outlives.
func (j Journal) survivedFailures() string {
	switch j.Durability {
	case "group":
		return fmt.Sprintf("kills, and power cuts but for the last %v", j.Wait)
	case "each":
		return "kills and power cuts"
	}
	return "kills"
}
