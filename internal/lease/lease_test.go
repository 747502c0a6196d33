package lease

import (
	"errors"
	"testing"
	"time"
)

var startTime = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

func order(epoch uint64, by, until float64) Order {
	return Order{Process: "p", Epoch: epoch, AcceptBy: at(by), Until: at(until), Drain: true}
}

// Each case is a sequence of steps on a Holder, with the error of the last step and whether a lease is active after it.
func TestHolder(t *testing.T) {
	type step func(h *Holder) error
	take := func(epoch uint64, by, until, now float64) step {
		return func(h *Holder) error { return h.Accept(order(epoch, by, until), "p", at(now)) }
	}
	end := func(epoch uint64) step { return func(h *Holder) error { return h.End(epoch) } }
	renew := func(epoch uint64, until, now float64) step {
		return func(h *Holder) error { return h.Renew(epoch, at(until), at(now)) }
	}
	expire := func(now float64) step { return func(h *Holder) error { h.Expire(at(now)); return nil } }
	for name, c := range map[string]struct {
		steps  []step
		err    error
		active bool
	}{
		"in time":                            {[]step{take(5, 2, 10, 1)}, nil, true},
		"at the last instant":                {[]step{take(5, 2, 10, 2)}, nil, true},
		"too late":                           {[]step{take(5, 2, 10, 2.001)}, ErrExpired, false},
		"twice":                              {[]step{take(5, 2, 10, 1), take(5, 2, 10, 3)}, nil, true},
		"repeated after its end":             {[]step{take(5, 2, 10, 1), end(5), take(5, 2, 10, 1)}, ErrEnded, false},
		"ended before it arrived":            {[]step{end(5), take(5, 2, 10, 1)}, ErrEnded, false},
		"after a newer one":                  {[]step{take(6, 2, 10, 1), take(5, 2, 10, 1)}, ErrStaleEpoch, true},
		"after a newer one's end":            {[]step{end(6), take(5, 2, 10, 1)}, ErrStaleEpoch, false},
		"a newer one":                        {[]step{take(5, 2, 10, 1), take(6, 3, 12, 2)}, nil, true},
		"an older end":                       {[]step{take(6, 2, 10, 1), end(5)}, ErrStaleEpoch, true},
		"a later end":                        {[]step{take(5, 2, 10, 1), end(6)}, nil, false},
		"expired":                            {[]step{take(5, 2, 10, 1), expire(10)}, nil, false},
		"not yet expired":                    {[]step{take(5, 2, 10, 1), expire(9.999)}, nil, true},
		"renewed":                            {[]step{take(5, 2, 10, 1), renew(5, 20, 9), expire(15)}, nil, true},
		"renewed after its expiry":           {[]step{take(5, 2, 10, 1), expire(10), renew(5, 20, 11)}, ErrEnded, false},
		"an earlier epoch renewed":           {[]step{take(6, 2, 10, 1), renew(5, 20, 2)}, ErrStaleEpoch, true},
		"an unknown epoch renewed":           {[]step{renew(5, 20, 2)}, ErrStaleEpoch, false},
		"end too far in the future":          {[]step{take(5, 2, 3602, 1)}, ErrInvalidEnd, false},
		"end in the past":                    {[]step{take(5, 2, 0.5, 1)}, ErrInvalidEnd, false},
		"renewed with an end in the past":    {[]step{take(5, 2, 10, 1), renew(5, 3, 4)}, ErrInvalidEnd, true},
		"no epoch":                           {[]step{take(0, 2, 10, 1)}, ErrEnded, false},
		"ended by the operator, a new order": {[]step{take(5, 2, 10, 1), end(5), take(7, 9, 20, 8)}, nil, true},
	} {
		var h Holder
		var err error
		for _, s := range c.steps {
			err = s(&h)
		}
		if !errors.Is(err, c.err) || h.Active() != c.active {
			t.Errorf("%s: %v, active %t; want %v, %t", name, err, h.Active(), c.err, c.active)
		}
	}
	var h Holder
	if err := h.Accept(order(5, 2, 10), "another", at(1)); !errors.Is(err, ErrWrongProcess) || h.Epoch != 0 {
		t.Errorf("for another process: %v, %+v", err, h)
	}
}
