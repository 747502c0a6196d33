package harness

import (
	"math/rand/v2"
	"net"
	"time"
)

// startIdleClients starts the goroutines of the idle clients, one for each sender and entry of Faults.IdleClients.
func (env *Environment) startIdleClients(addresses []string) {
	for _, c := range env.faults.IdleClients {
		for _, addr := range addresses {
			env.wg.Go(func() { env.holdIdleClients(c, addr) })
		}
	}
}

// holdIdleClients opens idle connections to one sender at c.From and closes them at c.To. A connection that the sender
// closes is not replaced.
func (env *Environment) holdIdleClients(c IdleClients, addr string) {
	if !env.sleepUntil(c.From) {
		return
	}
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			conn.Close()
		}
	}()
	for range c.Connections {
		conn, err := net.DialTimeout("tcp4", addr, time.Second)
		if err == nil {
			open = append(open, conn)
		}
		if !env.sleep(rand.N(4 * time.Millisecond)) {
			return
		}
	}
	env.sleepUntil(c.To)
}
