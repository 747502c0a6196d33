package audit

import (
	"fmt"
	"time"
)

// A routeKey identifies a route: a destination, or one endpoint of a destination whose endpoints have separate routes.
type routeKey struct {
	dest     int
	endpoint string
}

// A route is the unit that outages and overloads apply to.
type route struct {
	inOutage   bool
	sawFailure map[int]bool // senders that observed a failure during the latest outage
}

// routeKeyFor returns the key of the route to an endpoint.
func (a *Auditor) routeKeyFor(dest int, endpoint string) routeKey {
	if a.rules.SeparateRoutes[dest] {
		return routeKey{dest, endpoint}
	}
	return routeKey{dest: dest}
}

// route returns the route with a key and creates it if necessary.
func (a *Auditor) route(k routeKey) *route {
	r := a.routes[k]
	if r == nil {
		r = &route{sawFailure: map[int]bool{}}
		a.routes[k] = r
	}
	return r
}

// outageBegan records that an outage of the route began. It does nothing if the route is already in an outage.
func (r *route) outageBegan() {
	if !r.inOutage {
		r.inOutage, r.sawFailure = true, map[int]bool{}
	}
}

// checkOverload reports a violation if most calls that overloaded a partner during its warm-up came from senders that
// had observed its outage.
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
