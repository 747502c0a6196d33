package audit

import (
	"fmt"
	"time"
)

// A routeKey is a destination, or an endpoint with a separate route.
type routeKey struct {
	dest     int
	endpoint string
}

// A route is what outages and overloads hold for.
type route struct {
	inOutage   bool
	sawFailure map[int]bool // senders that saw a failure during the latest outage
}

// routeKeyFor returns the route of an endpoint.
func (a *Auditor) routeKeyFor(dest int, endpoint string) routeKey {
	if a.rules.SeparateRoutes[dest] {
		return routeKey{dest, endpoint}
	}
	return routeKey{dest: dest}
}

// route returns a route, which is made if it is new.
func (a *Auditor) route(k routeKey) *route {
	r := a.routes[k]
	if r == nil {
		r = &route{sawFailure: map[int]bool{}}
		a.routes[k] = r
	}
	return r
}

func (r *route) outageBegan() {
	if !r.inOutage {
		r.inOutage, r.sawFailure = true, map[int]bool{}
	}
}

// checkOverload judges who overloaded a partner that was warming up: senders that saw its outage must not.
func (a *Auditor) checkOverload(e Event) {
	r := a.route(a.routeKeyFor(e.Dest, e.Endpoint))
	totalCalls, witnessCalls, maxCalls, worst := 0, 0, 0, 0
	for sender, n := range e.CallsBySender {
		totalCalls += n
		if !r.sawFailure[sender] {
			continue
		}
		if witnessCalls += n; n > maxCalls || n == maxCalls && sender < worst {
			maxCalls, worst = n, sender
		}
	}
	if totalCalls == 0 || float64(witnessCalls) < a.rules.OverloadShare*float64(totalCalls) {
		return
	}
	a.addViolation(Violation{
		Rule: RuleOverload, At: e.At, Sender: worst, Times: []time.Duration{e.At},
		Text: fmt.Sprintf(
			"destination %d was pushed over: %d of %d calls came from senders that had seen it fail, most from sender %d",
			e.Dest, witnessCalls, totalCalls, worst),
	})
}
