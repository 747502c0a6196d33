// Lost plays a partner system that hangs while a clump of large messages for it is on its way, beside small messages
// for all partner systems.
package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cleathold/review/world"
)

const (
	perSecond  = 8 // messages beside the clump: half of the full load, as on a quiet day
	quietTime  = 12 * time.Second
	afterTime  = 10 * time.Second // ordinary traffic goes on for so long after the clump
	hangTime   = 18 * time.Second
	clumpSize  = 30                     // 1.9 s of the limit of the partner system; 15 in 100 messages
	clumpBytes = 33 << 10               // of 64 KiB that a body may hold
	limit      = 16                     // of the partner system that hangs, in calls a second: 2.3 times its calls at full load
	slowCalls  = 550 * time.Millisecond // 470 ms of work at a large partner of speed 0.85
	fastCalls  = 390 * time.Millisecond // 470 ms of work at a small partner of speed 1.2
	callSpread = 0.8                    // sigma of the lognormal call time: a coefficient of variation of 0.95
	retries    = 0.25                   // of the status messages: handed in again after a refusal, with half of the time left
)

// destinations are those of the messages beside the clump, in turn. One partner system gets much of the traffic.
var destinations = []int{1, 2, 1, 3, 1, 4, 1, 5, 6}

var deadlines = map[string]time.Duration{
	"status": 8 * time.Second, "print-order": 20 * time.Second, "fee-payment": 16 * time.Second,
}

// class draws the class of a message beside the clump. With the clump, a fifth of all messages are fee payments.
func class(random *rand.Rand) string {
	switch x := random.Float64(); {
	case x < 0.62:
		return "status"
	case x < 0.94:
		return "print-order"
	}
	return "fee-payment"
}

func main() { world.Main(run) }

// work takes the time of a call.
func work(mean time.Duration) {
	spread := rand.NormFloat64()*callSpread - callSpread*callSpread/2
	time.Sleep(time.Duration(float64(mean) * math.Exp(spread)))
}

func run(c *world.Case) (int, error) {
	platform, err := c.NewPlatform()
	if err != nil {
		return 0, err
	}
	var hangs atomic.Bool
	struck, err := c.NewEndpoint("s-struck", 1, "large-partners", "bldg-a", limit, func(*world.Call) world.Answer {
		if hangs.Load() {
			return world.Answer{Silent: true}
		}
		work(slowCalls)
		return world.Answer{}
	})
	if err != nil {
		return 0, err
	}
	endpoints := []*world.Endpoint{struck}
	for dest := 2; dest <= 6; dest++ {
		e, err := c.NewEndpoint(fmt.Sprintf("s-well-%d", dest), dest, "small-partners", "bldg-b", 4,
			func(*world.Call) world.Answer { work(fastCalls); return world.Answer{} })
		if err != nil {
			return 0, err
		}
		endpoints = append(endpoints, e)
	}
	for _, e := range endpoints {
		platform.Set(e, "up")
	}
	_, clients, err := c.StartSender("n0", platform, world.HollowMain())
	if err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	submit := func(id, class string, dest, bytes int, again bool) {
		s := &world.Submission{
			ID: id, Class: class, Tenant: "school-bands", Dest: dest, Deadline: deadlines[class], Body: make([]byte, bytes),
		}
		if class == "print-order" {
			s.Key = "key-" + id
		}
		if again {
			s.Retry, s.Deadline = "1", s.Deadline/2
		}
		wg.Go(func() { clients.Submit(s) })
	}
	n, random := 0, rand.New(rand.NewPCG(1, 1))
	traffic := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); n++ {
			k := class(random)
			submit(fmt.Sprintf("%s-%d", k, n), k, destinations[n%len(destinations)], 200,
				k == "status" && random.Float64() < retries)
			time.Sleep(time.Second / perSecond)
		}
	}
	traffic(quietTime)
	if c.Trouble {
		c.Note("s-struck hangs from now on, for %v", hangTime)
		hangs.Store(true)
		time.AfterFunc(hangTime, func() { hangs.Store(false) })
	}
	for i := range clumpSize {
		submit(fmt.Sprintf("clump-%d", i), "fee-payment", 1, clumpBytes, false)
		time.Sleep(4 * time.Millisecond)
	}
	traffic(afterTime)
	wg.Wait()
	time.Sleep(21 * time.Second)
	if c.Lost(clients, platform, endpoints...) > 0 {
		return world.Broken, nil
	}
	return world.Held, nil
}
