package rollout

import (
	"errors"
	"fmt"
	"time"
)

// Check tells what is wrong with terms, for a fleet of so many senders; 0 = not known.
func (t Terms) Check(senders int) error {
	b, w := t.Budget, t.Timing
	switch {
	case b.Fleet < 1:
		return fmt.Errorf("budget: fleet: %d senders out at once: 1 at the least", b.Fleet)
	case b.Building < 0 || b.Serving < 0 || b.Endpoints < 0 || b.Kind < 0:
		return errors.New("budget: building, serving, endpoints and kind: 0 or more")
	case senders > 0 && b.Fleet > senders:
		return fmt.Errorf("budget: fleet: %d senders out at once of %d there are", b.Fleet, senders)
	case senders > 0 && b.Serving >= senders:
		return fmt.Errorf("budget: serving: %d must serve of %d there are: nothing could ever go out", b.Serving, senders)
	case w.Fresh <= 0 || w.Accept <= 0 || w.Lease <= 0 || w.Error < 0:
		return errors.New("timing: fresh, accept and lease above 0, clock_error 0 or more")
	case w.Fresh > time.Minute || w.Accept > time.Minute || w.Lease > 10*time.Minute || w.Error > 10*time.Second:
		return errors.New("timing: fresh and accept of a minute, lease of ten, clock_error of 10 s at most")
	}
	return nil
}

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

// Budget is how many senders may be out at once, as package documentation of the design has it.
type Budget struct {
	Fleet    int `json:"fleet"`    // of all; 1 at the least
	Building int `json:"building"` // of one building; 0 = as many as of the fleet
	Serving  int `json:"serving"`  // so many must serve

	Endpoints int `json:"endpoints"` // of one destination's endpoints, how many may be out; 0 = none by order
	Kind      int `json:"kind"`      // of one kind's; 0 = any number
}

// Timing is what the promises rest on.
type Timing struct {
	Fresh  time.Duration `json:"fresh"`  // a sight that is older shows nothing
	Accept time.Duration `json:"accept"` // a grant is taken up within this, or never
	Lease  time.Duration `json:"lease"`  // a sender that hears nothing comes back after this
	Error  time.Duration `json:"error"`  // no clock is further from the true time
}

// Terms are what a fleet is run by.
type Terms struct {
	Budget Budget `json:"budget"`
	Timing Timing `json:"timing"`
}

// DefaultTerms are the terms where settings say nothing else.
var DefaultTerms = Terms{
	Budget: Budget{Fleet: 1},
	Timing: Timing{Fresh: time.Second, Accept: 2 * time.Second, Lease: 10 * time.Second, Error: 250 * time.Millisecond},
}
