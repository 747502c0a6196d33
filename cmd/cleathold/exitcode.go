package main

import (
	"errors"
	"fmt"
	"os"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
)

// These are the program's exit codes besides 0, 1 and the codes of the command line parser. The meaning of codes 4 and
// 5 depends on the command: the held commands query a sender or its store, the fleet commands query the agents.
const (
	exitRejected    = 3 // some records, or the command to the fleet, were rejected
	exitUnreachable = 4 // held: neither a sender nor a store is available
	exitNoMajority  = 4 // fleet: no agent responded, or there is no majority; nothing was changed
	exitNotFound    = 5 // the record or plan does not exist
	exitUnknown     = 5 // fleet: the command may have been executed
	exitViolations  = 6 // lab: a run violated a rule
	exitIncomplete  = 7 // lab: a run was not completed
	exitDamaged     = 8 // store: the check found damage
	exitPlanStopped = 9 // fleet: the watched plan is halted or was rolled back
)

// exitError is an error with an exit code for the program. Kong gets the code from the method ExitCode.
type exitError struct {
	error
	code int
}

// ExitCode returns the program's exit code.
func (e exitError) ExitCode() int { return e.code }

// Unwrap returns the wrapped error, for errors.Is and errors.As.
func (e exitError) Unwrap() error { return e.error }

// withExitCode wraps errors of the dead-letter queue and the admin API with their exit codes. It returns other errors
// unchanged.
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

// violationsError returns an error with exitViolations for a number of violations, or nil if there are none.
func violationsError(count int) error {
	if count > 0 {
		return exitError{fmt.Errorf("%d rule violations", count), exitViolations}
	}
	return nil
}
