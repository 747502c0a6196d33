package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/netfault"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

const (
	tailSpan     = 30 * time.Second // a run goes on for so long after the last arrival, at most
	progressSpan = 5 * time.Second
	lagMost      = 5.0 // ms at the 99th percentile; a run that was later is marked
)

// Setup is what a run on sockets needs.
type Setup struct {
	Plan     *scenario.Plan
	Program  string // the senders'
	Folder   string // their configurations, states and logs
	Settings string // script of our own for them; may be empty
	Log      *slog.Logger
	Progress io.Writer
	Sink     func(audit.Event) error
	MemoryMB float64       // each sender's limit; 0 = 192
	ReadyIn  time.Duration // a sender must be ready so long after its start; 0 = 30 s
	Faults   Faults
}

// Result is what a run on sockets showed.
type Result struct {
	simulation.Result
	Rig      Lag         `json:"rig_lag"` // of the partners' answers, against the model
	Clients  ClientStats `json:"clients"`
	Crashes  int         `json:"crashes"`
	PeakMB   float64     `json:"peak_mb"`         // the most memory that a sender had which ran to the end
	Warnings []string    `json:"marks,omitempty"` // why the run is to be read with care
}

// A stage is a run under way.
type stage struct {
	Setup
	world     *Environment
	clients   *Clients
	addresses []string // of the senders, as clients reach them
	processes []*Process
	net       *netfault.Net
	blocks    []*netfault.Block
	mu        sync.Mutex
	crashes   int
	restarts  int
	keepers   sync.WaitGroup
}

// errOver is the cause of an end that was meant.
var errOver = errors.New("over")

// Run plays a plan on sockets, to its end or until the context ends. No process is
// left behind in any case.
func Run(ctx context.Context, s Setup) (Result, error) {
	w, err := NewEnvironment(ctx, s.Plan, s.Log, s.Sink)
	if err != nil {
		return Result{}, err
	}
	w.faults = s.Faults
	g := &stage{Setup: s, world: w}
	err = g.begin()
	if err == nil {
		err = g.play()
	}
	orderly := err == nil && context.Cause(w.ctx) == nil
	peak := 0.0
	for _, x := range g.processes {
		peak = max(peak, x.PeakMB())
	}
	g.stop(orderly)
	cause := context.Cause(w.ctx)
	seen := ClientStats{}
	if g.clients != nil {
		seen = g.clients.Stats()
		defer g.clients.Close()
	}
	r := Result{Result: w.Close(), Rig: lagOf(w.lag), Clients: seen, Crashes: g.crashes, PeakMB: peak}
	r.Restarts = g.restarts
	if err == nil && !errors.Is(cause, errOver) {
		err = cause
	}
	if errors.Is(err, context.Canceled) {
		err = errors.New("broken off")
	}
	r.mark()
	return r, err
}

// mark says why a result is to be read with care.
func (r *Result) mark() {
	add := func(on bool, format string, args ...any) {
		if on {
			r.Warnings = append(r.Warnings, fmt.Sprintf(format, args...))
		}
	}
	add(r.Rig.P99 > lagMost, "the rig's partners were late themselves: %.1f ms at the 99th percentile, %.1f at most", r.Rig.P99, r.Rig.Max)
	add(r.Clients.Lag.P99 > lagMost, "the rig's clients were late themselves: %.1f ms at the 99th percentile, %.1f at most", r.Clients.Lag.P99, r.Clients.Lag.Max)
	add(r.Clients.Skipped > 0, "%d hand-ins were left out: too many were under way", r.Clients.Skipped)
	add(r.Crashes > 0, "senders ended %d times without being told to", r.Crashes)
}

// begin opens the world and starts the senders.
func (g *stage) begin() error {
	if err := g.world.OpenEndpoints(); err != nil {
		return err
	}
	platform, err := g.world.OpenPlatform()
	if err != nil {
		return err
	}
	places, err := g.places(platform)
	if err != nil {
		return err
	}
	var addresses []string
	for i, at := range places {
		x, err := NewProcess(g.Setup, i, filepath.Join(g.Folder, fmt.Sprint("n", i)), at)
		if err != nil {
			return err
		}
		g.processes = append(g.processes, x)
		addr := x.addr
		if len(g.Plan.Links) > 0 {
			if addr, err = g.net.TCP(scenario.Clients, scenario.Sender(i), "127.0.0.1", addr); err != nil {
				return err
			}
		}
		addresses = append(addresses, addr)
	}
	for _, x := range g.processes {
		if err := x.Start(); err != nil {
			return err
		}
	}
	for _, x := range g.processes {
		if err := x.Ready(g.world.ctx, g.readyBy()); err != nil {
			return err
		}
	}
	g.clients = g.world.NewClients(addresses)
	g.clients.keep = g.Faults.KeepConnections
	g.addresses = addresses
	return nil
}

// hostsMost senders have their addresses in one block.
const hostsMost = 250

// places chooses where senders have their other addresses, and how they reach one another and discovery. What the plan
// lets fail passes through links; what it does not goes straight.
func (g *stage) places(platform []string) ([]ProcessSpec, error) {
	n := g.Plan.Scenario.Senders
	g.net = netfault.New(g.Plan.Seed)
	g.world.UseLinks(g.net)
	for range 1 + (n-1)/hostsMost {
		b, err := netfault.NewBlock()
		if err != nil {
			return nil, err
		}
		g.blocks = append(g.blocks, b)
	}
	places := make([]ProcessSpec, n)
	var names, listens []string
	for i := range places {
		host := g.blocks[i/hostsMost].Host(2 + i%hostsMost)
		places[i] = ProcessSpec{Discovery: platform[i], Admin: host + ":9001"}
		if len(g.Plan.Links) > 0 {
			var err error
			if places[i].Discovery, err = g.net.TCP(scenario.Sender(i), scenario.Discovery, "127.0.0.1", platform[i]); err != nil {
				return nil, err
			}
		}
		names, listens = append(names, scenario.Sender(i)), append(listens, host+":7946")
	}
	if n == 1 {
		return places, nil
	}
	ways, err := g.net.UDP("127.0.0.1", names, listens)
	if err != nil {
		return nil, err
	}
	for i := range places {
		places[i].PeerListen, places[i].PeersAll, places[i].Peers = listens[i], ways.All(i), ways.Peers()
	}
	return places, nil
}

// readyBy is when a sender that starts now must be ready.
func (g *stage) readyBy() time.Time {
	if g.ReadyIn > 0 {
		return time.Now().Add(g.ReadyIn)
	}
	return time.Now().Add(readySpan)
}

// play plays the plan.
func (g *stage) play() error {
	w := g.world
	w.Begin()
	w.crowds(g.addresses)
	for i := range g.processes {
		g.keepers.Go(func() { g.keep(i) })
	}
	handed := make(chan struct{})
	w.wg.Go(func() { defer close(handed); g.clients.Run() })
	tick := time.NewTicker(progressSpan)
	defer tick.Stop()
	end := time.NewTimer(g.Plan.Scenario.Length + tailSpan)
	defer end.Stop()
	look := time.NewTicker(200 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return context.Cause(w.ctx)
		case <-tick.C:
			g.progress()
		case <-end.C:
			return nil
		case <-look.C:
			select {
			case <-handed:
				if w.now() > g.Plan.Scenario.Length+time.Second && w.Open() == 0 && g.clients.Idle() {
					return nil
				}
			default:
			}
		}
	}
}

// Idle tells whether no hand-in is under way or to come.
func (c *Clients) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0
}

func (g *stage) progress() {
	if g.Progress == nil {
		return
	}
	s := g.world.Score()
	fmt.Fprintf(g.Progress, "%v of %v: %d messages, service so far %.3f, %d without an end\n",
		g.world.nowOf().Truncate(100*time.Millisecond), g.Plan.Scenario.Length, s.Messages, s.Service, g.world.Open())
}

// keep does what the plan does to one sender, and starts it again after each end.
func (g *stage) keep(num int) {
	w, x := g.world, g.processes[num]
	deeds := make(chan scenario.PlannedAction)
	w.wg.Go(func() {
		defer close(deeds)
		for _, d := range g.Plan.Actions {
			if d.Sender != num {
				continue
			}
			if !w.at(d.At) {
				return
			}
			select {
			case deeds <- d:
			case <-w.ctx.Done():
				return
			}
		}
	})
	for w.ctx.Err() == nil {
		told := false
		select {
		case <-w.ctx.Done():
			return
		case d, some := <-deeds:
			if !some {
				deeds = nil
				continue
			}
			if !g.strike(x, d) {
				continue
			}
			told = true
		case <-x.Ended():
			w.Record(audit.Event{Kind: audit.Died, Sender: num})
			g.clients.SetDown(num, true)
		}
		g.mu.Lock()
		g.restarts++
		if !told {
			g.crashes++
		}
		g.mu.Unlock()
		if !w.sleep(restartSpan) {
			return
		}
		g.clients.SetDraining(num, false) // what is ordered by hand ends with the process
		if err := x.Start(); err != nil {
			w.end(err)
			return
		}
		if err := x.Ready(w.ctx, g.readyBy()); err != nil {
			if w.ctx.Err() == nil {
				w.end(err)
			}
			return
		}
		w.Record(audit.Event{Kind: audit.Ready, Sender: num})
		g.clients.SetDown(num, false)
	}
}

// strike does a deed to a sender, and tells whether its process has ended by it.
func (g *stage) strike(x *Process, d scenario.PlannedAction) (ended bool) {
	w := g.world
	died := func(cause string) {
		w.Record(audit.Event{Kind: audit.Died, Sender: x.num, Cause: cause})
		g.clients.SetDown(x.num, true)
	}
	// later does something at the deed's end, unless the process has ended by then.
	later := func(do func()) {
		if d.Until == 0 {
			return
		}
		over := x.Ended()
		w.wg.Go(func() {
			if !w.at(d.Until) {
				return
			}
			select {
			case <-over:
			default:
				do()
			}
		})
	}
	order := func(verb string, away bool) {
		if err := x.order(verb); err != nil {
			w.log.Warn("an order of the plan is not taken", "sender", x.num, "order", verb, "err", err)
			return
		}
		g.clients.SetDraining(x.num, away)
	}
	switch d.What {
	case "hup":
		x.Signal(syscall.SIGHUP)
	case "kill":
		died("")
		x.Stop(false)
		return true
	case "wipe":
		died(audit.Wiped)
		x.Stop(false)
		if err := x.wipe(); err != nil {
			w.end(err)
		}
		return true
	case "term":
		died("")
		x.Stop(true)
		return true
	case "signals":
		died("")
		x.StopBySeries()
		return true
	case "stop":
		died("")
		x.Signal(syscall.SIGSTOP)
		later(func() {
			x.Signal(syscall.SIGCONT)
			w.Record(audit.Event{Kind: audit.Ready, Sender: x.num})
			g.clients.SetDown(x.num, false)
		})
	case "drain":
		order("drain", true)
		later(func() { order("activate", false) })
	case "activate":
		order("activate", false)
	case "retune":
		if err := x.retune(d); err != nil {
			w.end(err)
		}
	}
	return false
}

// stop ends the run and all senders.
func (g *stage) stop(orderly bool) {
	if orderly {
		g.world.end(errOver)
	}
	g.world.end(context.Canceled) // the first cause stands
	g.keepers.Wait()              // nobody starts one any more
	var wg sync.WaitGroup
	for _, x := range g.processes {
		wg.Go(func() {
			x.Signal(syscall.SIGCONT)
			x.Stop(orderly)
			x.Release()
		})
	}
	wg.Wait()
	if g.net != nil {
		g.net.Close()
	}
	for _, b := range g.blocks {
		b.Close()
	}
}

// Serve puts a plan's partners, discovery and notices behind loopback addresses,
// writes a configuration for each sender, and stays until the context ends. The
// plan's clock starts at once.
func Serve(ctx context.Context, s Setup, out io.Writer) (Result, error) {
	w, err := NewEnvironment(ctx, s.Plan, s.Log, s.Sink)
	if err != nil {
		return Result{}, err
	}
	err = w.OpenEndpoints()
	var platform []string
	if err == nil {
		platform, err = w.OpenPlatform()
	}
	for i := 0; err == nil && i < s.Plan.Scenario.Senders; i++ {
		var x *Process
		dir := filepath.Join(s.Folder, fmt.Sprint("n", i))
		if x, err = NewProcess(s, i, dir, ProcessSpec{Discovery: platform[i]}); err == nil {
			defer x.Release()
			fmt.Fprintf(out, "sender %d: listens on %s, discovery %s, start it by: LB_CONFIG=%s cleathold serve\n", i, x.addr, platform[i], x.config())
		}
	}
	if err == nil {
		w.Begin()
		<-w.ctx.Done()
		if err = context.Cause(w.ctx); errors.Is(err, context.Canceled) {
			err = nil
		}
	}
	r := Result{Result: w.Close(), Rig: lagOf(w.lag)}
	r.mark()
	// Who handed in what is not seen here, and most of the rules rest on it.
	r.Violations = nil
	r.Warnings = append(r.Warnings, "service and rules are not judged: what clients elsewhere hand in is not seen here")
	return r, err
}

// Load hands a plan's arrivals in to senders that run elsewhere, and judges nothing
// but the clients' side.
func Load(ctx context.Context, p *scenario.Plan, addresses []string, log *slog.Logger, progress io.Writer) (ClientStats, error) {
	if len(addresses) == 0 {
		return ClientStats{}, errors.New("load: no address to hand in to")
	}
	w, err := NewEnvironment(ctx, p, log, nil)
	if err != nil {
		return ClientStats{}, err
	}
	c := w.NewClients(addresses)
	defer c.Close()
	w.Begin()
	done := make(chan struct{})
	go func() { defer close(done); c.Run() }()
	tick := time.NewTicker(progressSpan)
	defer tick.Stop()
	for running := true; running; {
		select {
		case <-done:
			running = !c.Idle() && w.sleep(50*time.Millisecond)
		case <-tick.C:
			if progress != nil {
				fmt.Fprintf(progress, "%v of %v: %d asked\n", w.nowOf().Truncate(100*time.Millisecond), p.Scenario.Length, c.count())
			}
		}
	}
	cause := context.Cause(w.ctx)
	w.Close()
	if errors.Is(cause, context.Canceled) {
		cause = errors.New("broken off")
	}
	return c.Stats(), cause
}

func (c *Clients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked
}
