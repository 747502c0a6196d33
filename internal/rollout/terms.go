package rollout

import (
	"errors"
	"fmt"
	"time"
)

// Check returns an error if the terms are invalid, or unsuitable for a fleet of the given number of senders. The number
// is 0 if it is not known.
func (t Terms) Check(senders int) error {
	budget, timing := t.Budget, t.Timing
	switch {
	case budget.Fleet < 1:
		return fmt.Errorf("budget: fleet: %d senders out at once: 1 at the least", budget.Fleet)
	case budget.Building < 0 || budget.Serving < 0 || budget.Endpoints < 0 || budget.Kind < 0:
		return errors.New("budget: building, serving, endpoints and kind: 0 or more")
	case senders > 0 && budget.Fleet > senders:
		return fmt.Errorf("budget: fleet: %d senders out at once of %d there are", budget.Fleet, senders)
	case senders > 0 && budget.Serving >= senders:
		return fmt.Errorf("budget: serving: %d must serve of %d there are: nothing could ever go out",
			budget.Serving, senders)
	case timing.MaxObservationAge <= 0 || timing.TakeTimeout <= 0 || timing.Lease <= 0 || timing.MaxClockError < 0:
		return errors.New("timing: fresh, accept and lease above 0, clock_error 0 or more")
	case timing.MaxObservationAge > time.Minute || timing.TakeTimeout > time.Minute || timing.Lease > 10*time.Minute ||
		timing.MaxClockError > 10*time.Second:
		return errors.New("timing: fresh and accept of a minute, lease of ten, clock_error of 10 s at most")
	}
	return nil
}

// setTerms replaces the terms, unless they are invalid.
func (s *State) setTerms(c Command) (string, error) {
	if c.Terms == nil {
		return "", reject("no terms")
	}
	if err := c.Terms.Check(len(s.Members)); err != nil {
		return "", reject("%v", err)
	}
	s.Terms = *c.Terms
	b := s.Terms.Budget
	return fmt.Sprintf("terms: %d out at once, %d of a building, %d must serve", b.Fleet, b.Building, b.Serving), nil
}

// Budget limits how many senders and endpoints may be out at once.
type Budget struct {
	Fleet    int `json:"fleet"`    // maximum number of senders out; at least 1
	Building int `json:"building"` // maximum number of senders out of one building; 0: no separate limit
	Serving  int `json:"serving"`  // minimum number of senders that serve

	Endpoints int `json:"endpoints"` // maximum number of endpoints out of one destination; 0: none may be excluded
	Kind      int `json:"kind"`      // maximum number of endpoints out of one kind; 0: no limit
}

// Timing has the time limits on which the safety of grants depends.
type Timing struct {
	MaxObservationAge time.Duration `json:"fresh"`  // an older observation is not evidence that a sender serves
	TakeTimeout       time.Duration `json:"accept"` // a sender takes up a grant within this time or not at all
	Lease             time.Duration `json:"lease"`  // a lease that is not renewed ends after this time
	MaxClockError     time.Duration `json:"error"`  // upper bound of the error of any clock
}

// Terms are the settings of a fleet. They are part of the replicated state.
type Terms struct {
	Budget Budget `json:"budget"`
	Timing Timing `json:"timing"`
}

// DefaultTerms are the terms of a fleet for which none are configured.
var DefaultTerms = Terms{
	Budget: Budget{Fleet: 1},
	Timing: Timing{MaxObservationAge: time.Second, TakeTimeout: 2 * time.Second, Lease: 10 * time.Second,
		MaxClockError: 250 * time.Millisecond},
}
