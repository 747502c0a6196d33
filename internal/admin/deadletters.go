package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cleathold/internal/deadletter"
)

// caller returns the name of the caller for the audit trail.
func caller(r *http.Request) string { return fmt.Sprintf("uid %d", r.Context().Value(peerUIDKey{})) }

func (s *Server) list(r *http.Request) (any, error) {
	return s.page(r, func(t *deadletter.Tx, f deadletter.Filter, after uint64, limit int) (p Page, err error) {
		p.Records, p.Next, err = t.List(f, after, limit)
		return
	})
}

func (s *Server) export(r *http.Request) (any, error) {
	return s.page(r, func(t *deadletter.Tx, f deadletter.Filter, after uint64, limit int) (p Page, err error) {
		p.Lines, p.Next, err = t.Export(f, after, min(limit, MaxImportLines))
		return
	})
}

// page parses the query of a request and returns the page that get reads.
func (s *Server) page(
	r *http.Request, get func(t *deadletter.Tx, f deadletter.Filter, after uint64, limit int) (Page, error),
) (any, error) {
	f, after, limit, err := parseQuery(r.URL.Query())
	if err != nil {
		return nil, err
	}
	var p Page
	err = s.deadLetters.View(func(t *deadletter.Tx) (err error) { p, err = get(t, f, after, limit); return })
	return p, err
}

func (s *Server) show(r *http.Request) (any, error) {
	sequence, err := strconv.ParseUint(r.PathValue("seq"), 10, 64)
	if err != nil {
		return nil, &statusError{http.StatusBadRequest, "a number is wanted"}
	}
	var line deadletter.ExportLine
	err = s.deadLetters.View(func(t *deadletter.Tx) (err error) { line, err = exportLine(t, sequence); return })
	return line, err
}

// exportLine returns a record with its body, if the body is present.
func exportLine(t *deadletter.Tx, sequence uint64) (deadletter.ExportLine, error) {
	record, err := t.Get(sequence)
	if err != nil {
		return deadletter.ExportLine{}, err
	}
	var body []byte
	if !record.BodyMissing {
		if body, err = t.Body(sequence); err != nil {
			return deadletter.ExportLine{}, err
		}
	}
	return deadletter.NewExportLine(record, body), nil
}

func (s *Server) stats(*http.Request) (any, error) {
	var v deadletter.Stats
	err := s.deadLetters.View(func(t *deadletter.Tx) (err error) { v, err = t.Stats(); return })
	return v, err
}

func (s *Server) audit(r *http.Request) (any, error) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("most"))
	var list []deadletter.AuditEntry
	err := s.deadLetters.View(func(t *deadletter.Tx) (err error) {
		list, err = t.Audit(min(max(limit, 1), deadletter.MaxPageSize))
		return
	})
	return list, err
}

// maxWithinS is the longest time, in seconds, for which an order to redeliver may stay in force.
const maxWithinS = 365 * 86400

// decodeOrder decodes the body of a request that changes dead letters and checks its range.
func decodeOrder(r *http.Request) (o DeadLetterRequest, err error) {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return o, &statusError{http.StatusBadRequest, "order: " + err.Error()}
	}
	if o.WithinSeconds < 0 || o.WithinSeconds > maxWithinS {
		return o, &statusError{http.StatusBadRequest, "within_s out of range"}
	}
	return o, nil
}

func (s *Server) redeliver(r *http.Request) (any, error) {
	o, err := decodeOrder(r)
	if err != nil {
		return nil, err
	}
	return s.deadLetters.Redeliver(r.Context(), caller(r), o.Selection,
		time.Duration(o.WithinSeconds*float64(time.Second)), o.DryRun)
}

func (s *Server) drop(r *http.Request) (any, error) {
	o, err := decodeOrder(r)
	if err != nil {
		return nil, err
	}
	return s.deadLetters.Drop(r.Context(), caller(r), o.Selection, o.DryRun)
}

func (s *Server) importLines(r *http.Request) (any, error) {
	o, err := decodeOrder(r)
	if err != nil {
		return nil, err
	}
	return s.deadLetters.Import(r.Context(), caller(r), o.Lines, o.DryRun)
}
