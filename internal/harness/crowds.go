package harness

import (
	"context"
	"time"

	"cleathold/internal/abuse"
)

// crowdByteInterval is the time between the bytes of a client that sends single bytes. With a shorter one the crowds at
// all senders keep the harness itself from answering in time.
const crowdByteInterval = 20 * time.Millisecond

// startCrowds starts the clients that misuse the senders, for each sender and entry of Faults.Crowds.
func (env *Environment) startCrowds(addresses []string) {
	for _, crowd := range env.faults.Crowds {
		for _, addr := range addresses {
			env.wg.Go(func() { env.runCrowd(crowd, addr) })
		}
	}
}

// runCrowd runs a crowd at one sender from crowd.From until crowd.To. It stays while the sender restarts.
func (env *Environment) runCrowd(crowd Crowd, addr string) {
	if !env.sleepUntil(crowd.From) {
		return
	}
	ctx, cancel := context.WithTimeout(env.ctx, crowd.To-crowd.From)
	defer cancel()
	class := env.plan.Scenario.Traffic.Classes[0].Name
	clients := &abuse.Crowd{
		Addr: addr, Kind: crowd.Kind, Class: class, Count: crowd.Clients, ByteInterval: crowdByteInterval,
	}
	clients.Run(ctx)
}
