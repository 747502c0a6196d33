package main

import (
	"errors"
	"fmt"
	"os"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
)

// The exit codes of the held commands, besides 0 and 1.
const (
	exitRejected    = 3 // some records were refused what was asked
	exitUnreachable = 4 // no sender, or no store, to ask
	exitNotFound    = 5
)

// An exitError is an error with the code that the program ends with.
type exitError struct {
	error
	code int
}

func (e exitError) ExitCode() int { return e.code }

func (e exitError) Unwrap() error { return e.error }

// withExitCode gives an error its exit code.
func withExitCode(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, deadletter.ErrNotFound):
		return exitError{err, exitNotFound}
	case errors.Is(err, admin.ErrUnreachable), errors.Is(err, admin.ErrReadOnly), errors.Is(err, deadletter.ErrInUse), errors.Is(err, os.ErrNotExist):
		return exitError{err, exitUnreachable}
	}
	return err
}

// The exit codes of the fleet's commands, besides 0 and 1. exitRefused is that of the held commands, too: nothing was changed.
const (
	exitNoMajority  = 4 // no agent answers, or no majority of them agrees: nothing was changed
	exitUnknown     = 5 // it is not known whether anything was changed
	exitPlanStopped = 9 // the plan that was watched is halted, or went back
)

// exitViolations is the exit code of a rehearsal in which a rule was broken.
const exitViolations = 6

// exitIncomplete is the exit code of one that did not come to its end.
const exitIncomplete = 7

func violationsError(broken int) error {
	if broken > 0 {
		return exitError{fmt.Errorf("%d breaks of rules", broken), exitViolations}
	}
	return nil
}

// exitDamaged is the exit code of a check that found damage.
const exitDamaged = 8
