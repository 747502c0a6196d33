package rollout

import (
	"errors"
	"fmt"
	"time"
)

// Check returns what is wrong with terms for a fleet of so many senders; 0: unknown.
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
	case timing.Fresh <= 0 || timing.Accept <= 0 || timing.Lease <= 0 || timing.Error < 0:
		return errors.New("timing: fresh, accept and lease above 0, clock_error 0 or more")
	case timing.Fresh > time.Minute || timing.Accept > time.Minute || timing.Lease > 10*time.Minute ||
		timing.Error > 10*time.Second:
		return errors.New("timing: fresh and accept of a minute, lease of ten, clock_error of 10 s at most")
	}
	return nil
}

// setTerms changes the terms.
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

// Budget bounds how many senders and endpoints may be out at once.
type Budget struct {
	Fleet    int `json:"fleet"`    // senders; 1 at least
	Building int `json:"building"` // senders of one building; 0: no bound of its own
	Serving  int `json:"serving"`  // senders that must serve

	Endpoints int `json:"endpoints"` // of one destination; 0: none may be excluded
	Kind      int `json:"kind"`      // of one kind; 0: no bound
}

// Timing is the timing on which the guarantees rest.
type Timing struct {
	Fresh  time.Duration `json:"fresh"`  // an older observation proves nothing
	Accept time.Duration `json:"accept"` // a grant is taken up within this, or never
	Lease  time.Duration `json:"lease"`  // a lease that is not renewed ends after this
	Error  time.Duration `json:"error"`  // the largest error of any clock
}

// Terms are the settings of a fleet, on which all agents agree.
type Terms struct {
	Budget Budget `json:"budget"`
	Timing Timing `json:"timing"`
}

// DefaultTerms are the terms without settings.
var DefaultTerms = Terms{
	Budget: Budget{Fleet: 1},
	Timing: Timing{Fresh: time.Second, Accept: 2 * time.Second, Lease: 10 * time.Second, Error: 250 * time.Millisecond},
}
