package admin

import (
	"context"

	"cleathold/internal/deadletter"
)

// OpenFolder opens the dead letters in the folder of a stopped sender and returns their read-only API.
func OpenFolder(path string) (API, error) {
	s, err := deadletter.OpenReadOnly(path)
	if err != nil {
		return nil, err
	}
	return folder{s}, nil
}

// folder implements API for the folder of a stopped sender.
type folder struct{ store *deadletter.Store }

func (f folder) Close() error { return f.store.Close() }

func (f folder) List(_ context.Context, filter deadletter.Filter, after uint64, limit int) (p Page, err error) {
	err = f.store.View(func(t *deadletter.Tx) (err error) {
		p.Records, p.Next, err = t.List(filter, after, min(limit, deadletter.MaxPageSize))
		return
	})
	return
}

func (f folder) Export(_ context.Context, filter deadletter.Filter, after uint64) (p Page, err error) {
	err = f.store.View(func(t *deadletter.Tx) (err error) {
		p.Lines, p.Next, err = t.Export(filter, after, MaxImportLines)
		return
	})
	return
}

func (f folder) Show(_ context.Context, seq uint64) (line deadletter.ExportLine, err error) {
	err = f.store.View(func(t *deadletter.Tx) (err error) { line, err = exportLine(t, seq); return })
	return
}

func (f folder) Stats(context.Context) (s deadletter.Stats, err error) {
	err = f.store.View(func(t *deadletter.Tx) (err error) { s, err = t.Stats(); return })
	return
}

func (f folder) Audit(_ context.Context, limit int) (list []deadletter.AuditEntry, err error) {
	err = f.store.View(func(t *deadletter.Tx) (err error) { list, err = t.Audit(limit); return })
	return
}

func (f folder) Execute(context.Context, string, DeadLetterRequest) (deadletter.Outcome, error) {
	return deadletter.Outcome{}, ErrReadOnly
}
