package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
	"cleathold/internal/settings"
)

type heldCmd struct {
	Source deadLetterSource `embed:""`
	List   heldListCmd      `cmd:"" help:"List held messages, a page at a time."`
	Show   heldShowCmd      `cmd:"" help:"Show one record whole: its history, its body, and what was done with it."`
	Resend heldResendCmd    `cmd:"" help:"Order records to be sent again, by their numbers or by filter."`
	Drop   heldDropCmd      `cmd:"" help:"End records for good."`
	Export heldExportCmd    `cmd:"" help:"Write records as JSON lines, bodies in base64."`
	Import heldImportCmd    `cmd:"" help:"Read JSON lines that export wrote. Each counts as one that may have run."`
	Stats  heldStatsCmd     `cmd:"" help:"Count what is held."`
	Audit  heldAuditCmd     `cmd:"" help:"Show who did what, the latest first."`
}

// deadLetterSource says whom to ask.
type deadLetterSource struct {
	Socket   string `help:"Admin socket of a running sender." type:"path"`
	Folder   string `help:"Held folder of a stopped sender; to read only." type:"path"`
	Settings string `help:"Settings script that names both: the socket is asked if a sender answers there, else the folder." env:"CLEATHOLD_SETTINGS"`
	JSON     bool   `help:"JSON instead of text." name:"json"`
}

// connect finds whom to ask.
func (w *deadLetterSource) connect() (admin.API, error) {
	socket, folder := w.Socket, w.Folder
	if socket == "" && folder == "" {
		if w.Settings == "" {
			return nil, errors.New("name --socket, --folder or --settings: whom to ask")
		}
		s, err := settings.Load(w.Settings)
		if err != nil {
			return nil, err
		}
		if s.Admin != nil {
			socket = s.Admin.Socket
		}
		if s.Held != nil {
			folder = s.Held.Folder
		}
	}
	if socket != "" {
		p := admin.Dial(socket)
		_, err := p.Audit(context.Background(), 1)
		if err == nil || folder == "" || !errors.Is(err, admin.ErrUnreachable) {
			return p, withExitCode(err)
		}
	}
	if folder == "" {
		return nil, fmt.Errorf("%s names neither an admin socket nor a held folder", w.Settings)
	}
	p, err := admin.OpenFolder(folder)
	return p, withExitCode(err)
}

// run runs something on the plane. Ctrl-C ends it between two pages.
func (w *deadLetterSource) run(f func(context.Context, admin.API) error) error {
	p, err := w.connect()
	if err != nil {
		return err
	}
	defer p.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return withExitCode(f(ctx, p))
}

// filterFlags is a filter as options.
type filterFlags struct {
	Destination *int   `help:"Only this destination."`
	Class       string `help:"Only this class."`
	Tenant      string `help:"Only this tenant."`
	Reason      string `help:"Only those that ended for this reason: expired, may-have-run, memory-passed, attempts-spent, rejected."`
	State       string `help:"Only this state: held, ordered, out, delivered, dropped, superseded, over."`
	Since       string `help:"Held at this time or later: RFC 3339, or a duration back from now (2h)."`
	Before      string `help:"Held before this time."`
}

func (f *filterFlags) parse() (deadletter.Filter, error) {
	out := deadletter.Filter{Destination: f.Destination, Class: f.Class, Tenant: f.Tenant, Reason: f.Reason, State: deadletter.State(f.State)}
	var err error
	for _, t := range []struct {
		name, text string
		to         *time.Time
	}{{"--since", f.Since, &out.Since}, {"--before", f.Before, &out.Before}} {
		if t.text == "" {
			continue
		}
		if back, e := time.ParseDuration(t.text); e == nil {
			*t.to = time.Now().Add(-back)
		} else if *t.to, err = time.Parse(time.RFC3339, t.text); err != nil {
			return out, fmt.Errorf("%s: %q is neither RFC 3339 nor a duration", t.name, t.text)
		}
	}
	return out, nil
}
