package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
	"cleathold/internal/settings"
)

// heldCmd groups the commands for the dead-letter queue of a sender.
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

// deadLetterSource holds the flags that locate the queue: the admin socket of a running sender, or the folder of a
// stopped one.
type deadLetterSource struct {
	Socket   string `help:"Admin socket of a running sender." type:"path"`
	Folder   string `help:"Held folder of a stopped sender; to read only." type:"path"`
	Settings string `help:"${help_held_settings}" env:"CLEATHOLD_SETTINGS"`
	jsonFlag
}

// locate returns the admin socket and the folder from the flags or, without these flags, from the settings script.
// Either may be empty.
func (s *deadLetterSource) locate() (socket, folder string, err error) {
	if s.Socket != "" || s.Folder != "" {
		return s.Socket, s.Folder, nil
	}
	if s.Settings == "" {
		return "", "", errors.New("specify --socket, --folder or --settings")
	}
	script, err := settings.Load(s.Settings)
	if err != nil {
		return "", "", err
	}
	if script.Admin != nil {
		socket = script.Admin.Socket
	}
	if script.DeadLetterQueue != nil {
		folder = script.DeadLetterQueue.Folder
	}
	return socket, folder, nil
}

// connect returns the admin API of the running sender. If no sender listens at the socket, it returns a read-only API
// for the folder.
func (s *deadLetterSource) connect() (admin.API, error) {
	socket, folder, err := s.locate()
	if err != nil {
		return nil, err
	}
	if socket != "" {
		api := admin.Dial(socket)
		_, err := api.Audit(context.Background(), 1)
		if err == nil || folder == "" || !errors.Is(err, admin.ErrUnreachable) {
			return api, withExitCode(err)
		}
	}
	if folder == "" {
		return nil, fmt.Errorf("%s configures neither an admin socket nor a held folder", s.Settings)
	}
	api, err := admin.OpenFolder(folder)
	return api, withExitCode(err)
}

// run calls f with the admin API. SIGINT and SIGTERM cancel the context, so that f stops between two pages.
func (s *deadLetterSource) run(f func(context.Context, admin.API) error) error {
	api, err := s.connect()
	if err != nil {
		return err
	}
	defer api.Close()
	ctx, stop := interruptible()
	defer stop()
	return withExitCode(f(ctx, api))
}

// filterFlags holds the flags that select records by their properties.
type filterFlags struct {
	Destination *int   `help:"Only this destination."`
	Class       string `help:"Only this class."`
	Tenant      string `help:"Only this tenant."`
	Reason      string `help:"${help_held_reason}"`
	State       string `help:"Only this state: held, ordered, out, delivered, dropped, superseded, over."`
	Since       string `help:"Held at this time or later: RFC 3339, or a duration back from now (2h)."`
	Before      string `help:"Held before this time."`
}

// parse returns the filter for the flags.
func (f *filterFlags) parse() (deadletter.Filter, error) {
	filter := deadletter.Filter{
		Destination: f.Destination, Class: f.Class, Tenant: f.Tenant, Reason: f.Reason, State: deadletter.State(f.State),
	}
	var err error
	if filter.Since, err = parseTime("--since", f.Since); err != nil {
		return filter, err
	}
	filter.Before, err = parseTime("--before", f.Before)
	return filter, err
}

// parseTime parses the value of a flag: an RFC 3339 time, or a duration before now. For an empty value it returns the
// zero time.
func parseTime(flag, value string) (time.Time, error) {
	if value == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(value); err == nil {
		return time.Now().Add(-ago), nil
	}
	t, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return time.Time{}, fmt.Errorf("%s: %q is neither RFC 3339 nor a duration", flag, value)
	}
	return t, nil
}
