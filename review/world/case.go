package world

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// A Case is the frame of a run: its world, its temporary folder and the processes to end.
type Case struct {
	*World
	Dir     string // temporary
	Trouble bool   // the disruption happens

	processes []*Process
}

// Main runs a case and ends this process with its status. The only argument is the folder for record.txt.
func Main(run func(*Case) (status int, err error)) {
	runtime.LockOSThread() // the thread that starts the senders ends with this process, and they with it
	os.Exit(runCase(run))
}

func runCase(run func(*Case) (int, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "the folder for the record is wanted")
		return NotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer os.RemoveAll(dir)
	c := &Case{World: New(filepath.Join(os.Args[1], "record.txt")), Dir: dir, Trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, p := range c.processes {
			p.Kill()
		}
	}()
	status, err := run(c)
	if err == nil {
		for _, p := range c.processes {
			if p.Crashed() {
				err = fmt.Errorf("a sender ended by itself")
			}
		}
	}
	if err != nil {
		c.Note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		status = NotRun
	}
	c.Note("exit status %d", status)
	if log := os.Getenv("SENDER_LOGS"); log != "" {
		c.keepLogs(log)
	}
	if err := c.Save(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	return status
}

// keepLogs copies what the senders wrote to a folder.
func (c *Case) keepLogs(folder string) {
	logs, _ := filepath.Glob(filepath.Join(c.Dir, "*", "log"))
	for _, path := range logs {
		if text, err := os.ReadFile(path); err == nil {
			os.WriteFile(filepath.Join(folder, filepath.Base(filepath.Dir(path))+".log"), text, 0o600)
		}
	}
}

// StartSender starts a sender whose settings and discovery are given, at a free address, and returns its clients.
func (c *Case) StartSender(name string, p *Platform, settings map[string]any) (*Sender, *Clients, error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, nil, err
	}
	admin, err := FreeAddr()
	if err != nil {
		return nil, nil, err
	}
	s, err := c.NewSender(c.Dir, Config{
		Name: name, Listen: addr, Admin: admin, Discovery: p.Addr, Seed: "8c1f30d27a5be964", Limits: Limits(), Known: p.Full(),
		Settings: settings,
	})
	if err != nil {
		return nil, nil, err
	}
	process, err := s.Start()
	if err != nil {
		return nil, nil, err
	}
	c.processes = append(c.processes, process)
	return s, c.NewClients(addr), nil
}

// Launch starts one more process of a sender, with a second address of its own.
func (c *Case) Launch(s *Sender) (*Process, error) {
	admin, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	s.Config.Admin = admin
	p, err := s.Launch()
	if err == nil {
		c.processes = append(c.processes, p)
	}
	return p, err
}

// Lost notes and counts the messages that were taken on, and neither delivered nor ended by a notice 350 ms after their
// time was up: 300 ms of the rule, and the 50 ms by which each time limit is longer.
func (c *Case) Lost(clients *Clients, platform *Platform, endpoints ...*Endpoint) (lost int) {
	const grace = 350 * time.Millisecond
	ended := map[string]time.Time{}
	end := func(id string, at time.Time) {
		if was, known := ended[id]; !known || at.Before(was) {
			ended[id] = at
		}
	}
	for _, n := range platform.Notices() {
		end(n.ID, n.At)
	}
	for _, e := range endpoints {
		for _, d := range e.Delivered() {
			end(d.ID, d.At)
		}
	}
	taken := 0
	for _, s := range clients.Sent() {
		if !s.Accepted {
			continue
		}
		taken++
		at, known := ended[s.ID]
		switch {
		case !known && time.Now().Before(s.Due().Add(grace)): // still under way
		case !known:
			lost++
			c.Note("LOST: %s, taken on, has not ended", s.ID)
		case at.After(s.Due().Add(grace)):
			lost++
			c.Note("LOST: %s, taken on, ended %v after its time was up", s.ID, at.Sub(s.Due()).Round(time.Millisecond))
		}
	}
	c.Note("%d messages taken on, %d lost", taken, lost)
	return lost
}
