package soak

import (
	"fmt"
	"strings"
)

// A deployment holds the parts of a scenario that differ between the sites that run the program: the settings of the
// senders, the partners, and the classes of messages. Deadlines are at most 10 s, so that cases stay short.
type deployment struct {
	name        string
	zones       []string
	pushedLists bool
	script      string
}

// tenants is the part of the scenario that all deployments share.
const tenants = `
tenant(name = "a", share = 0.6)
tenant(name = "b", share = 0.4)
`

// deployments holds a deployment for each combination of settings that a site has. Some batch up to twenty messages, some
// share a limit between the endpoints of a destination, some allow no second copy of a message.
var deployments = []deployment{
	{name: "rates and windows", zones: []string{"a", "b"}, script: `
kind(name = "large", limit = "rate", headroom = (1.3, 2.3), least = (4, 8), tells_wait = (0.6, 1), wait = (0.3, 1), batch = 5, apart = True, endpoints = 3)
kind(name = "small", limit = "window", headroom = (1.2, 1.7), least = (4, 8), span = 1, refused_count = True, tells_wait = (0.1, 0.6), conns = (2, 4), endpoints = 3)
message_class(name = "status", share = 0.55, service = (0.05, 0.2), aim = 0.8, deadline = 6, late = 0.1)
message_class(name = "order", share = 0.26, service = (0.05, 0.2), aim = 2, deadline = 8, effect = "keyed", memory = 5, late = 0.5)
message_class(name = "payment", share = 0.19, service = (0.05, 0.2), aim = 2, deadline = 8, effect = "unsafe", late = 0.5, worth = 3)
`},
	{name: "slow calls", zones: []string{"a", "b"}, script: `
kind(name = "large", limit = "rate", headroom = (1.3, 2.3), least = (4, 8), tells_wait = (0.6, 1), wait = (0.3, 1), batch = 5, apart = True, endpoints = 2)
kind(name = "small", limit = "window", headroom = (1.2, 1.7), least = (4, 8), span = 1, refused_count = True, tells_wait = (0.1, 0.6), conns = (2, 4), endpoints = 2)
message_class(name = "status", share = 0.55, service = (0.27, 0.47), aim = 0.8, deadline = 6, late = 0.1)
message_class(name = "order", share = 0.26, service = (0.18, 0.31), aim = 2, deadline = 10, effect = "keyed", memory = 7, late = 0.5)
message_class(name = "payment", share = 0.19, service = (0.27, 0.47), aim = 2, deadline = 10, effect = "unsafe", late = 0.5, worth = 3)
`},
	{name: "large batches, no second copies", zones: []string{"a", "b"}, script: `
settings(second_copies = False, peers = False, send_cap = 6, drain_grace = 1)
kind(name = "large", limit = "window", headroom = (1.3, 2), least = (3, 6), span = 1, tells_wait = (0.6, 1), wait = (0.3, 1), batch = 20, endpoints = 2)
kind(name = "small", limit = "none", conns = (2, 3.6), endpoints = 2)
message_class(name = "order", share = 0.44, service = (0.1, 0.3), aim = 1, deadline = 4, effect = "keyed", memory = 2, late = 0.3)
message_class(name = "status", share = 0.31, service = (0.1, 0.3), aim = 1, deadline = 5, worth = 3)
message_class(name = "fee", share = 0.25, service = (0.1, 0.3), aim = 1, deadline = 8, effect = "unsafe", late = 0.4, worth = 4)
`},
	{name: "pushed lists", zones: []string{"a", "b", "c"}, pushedLists: true, script: `
settings(lists = "push", second_copies = False, peers = False, send_cap = 8, drain_grace = 0.5)
kind(name = "large", limit = "window", headroom = (1.3, 2.7), least = (2, 4), span = 2, tells_wait = (0.59, 0.98), wait = (0.39, 0.92), batch = 20, apart = True, endpoints = 2)
kind(name = "small", limit = "rate", headroom = (1.6, 2.3), least = (1.6, 3.5), tells_wait = (0.05, 0.53), wait = (0.29, 0.72), apart = True, endpoints = 2)
message_class(name = "tile", share = 0.84, service = (0.15, 0.25), aim = 3, deadline = 10, effect = "keyed", key_scope = "zone", memory = 5, late = 0.5)
message_class(name = "status", share = 0.16, service = (0.15, 0.25), aim = 2.5, deadline = 10, late = 0.4, worth = 3)
`},
}

// fleets is the part of the scenario with the destinations. All deployments have two kinds of these names.
const fleets = `
fleet(kind = "large", destinations = 3, weight = 2)
fleet(kind = "small", destinations = 5)
`

// zoneList returns the zones as a Starlark list.
func (d deployment) zoneList() string { return `["` + strings.Join(d.zones, `", "`) + `"]` }

// maxBodyBytes is the size of the largest body that a client may submit.
const maxBodyBytes = 64 << 10

// traffic returns the script line of the traffic. In half of the cases there are bodies of all sizes.
func traffic(d partDraw, rate float64) string {
	body := "(100, 400)"
	if d.IntN(2) == 0 {
		body = fmt.Sprintf("(100, %d)", maxBodyBytes)
	}
	return fmt.Sprintf(`traffic(rate = %.1f, clumps = (0.1, 0.2), clump = (1, 3), retries = 2, body = %s)`, rate, body)
}
