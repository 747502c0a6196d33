package main

import (
	"errors"
	"fmt"
	"os"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
)

// The program's exit codes besides 0, 1 and those of the command line's parser. Codes 4 and 5 mean one thing for the
// commands that ask a sender or its store, and another for those that ask the agents.
const (
	exitRejected    = 3 // some records, or the order to the fleet, were refused
	exitUnreachable = 4 // held: neither a sender nor a store to ask
	exitNoMajority  = 4 // fleet: no agent answers, or no majority of them agrees: nothing was changed
	exitNotFound    = 5 // no such record or plan
	exitUnknown     = 5 // fleet: it is not known whether anything was changed
	exitViolations  = 6 // lab: a run broke a rule
	exitIncomplete  = 7 // lab: a run did not reach its end
	exitDamaged     = 8 // store: the check found damage
	exitPlanStopped = 9 // fleet: the plan that was watched is halted, or was rolled back
)

// exitError is an error with the exit code that the program ends with. Kong finds the code by the method ExitCode.
type exitError struct {
	error
	code int
}

// ExitCode returns the program's exit code.
func (e exitError) ExitCode() int { return e.code }

// Unwrap returns the error itself, for errors.Is and errors.As.
func (e exitError) Unwrap() error { return e.error }

// withExitCode gives errors of the dead-letter queue and the admin API their exit codes. Others stay as they are.
func withExitCode(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, deadletter.ErrNotFound):
		return exitError{err, exitNotFound}
	case errors.Is(err, admin.ErrUnreachable), errors.Is(err, admin.ErrReadOnly),
		errors.Is(err, deadletter.ErrInUse), errors.Is(err, os.ErrNotExist):
		return exitError{err, exitUnreachable}
	}
	return err
}

// violationsError returns the error of a run that broke so many rules, or nil for 0.
func violationsError(count int) error {
	if count > 0 {
		return exitError{fmt.Errorf("%d breaks of rules", count), exitViolations}
	}
	return nil
}
