package admin

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cleathold/internal/deadletter"
)

// encodeQuery returns the query for a filter and a page of at most limit records after a position.
func encodeQuery(f deadletter.Filter, after uint64, limit int) url.Values {
	v := url.Values{}
	set := func(name, value string) {
		if value != "" {
			v.Set(name, value)
		}
	}
	if f.Destination != nil {
		set("destination", strconv.Itoa(*f.Destination))
	}
	set("class", f.Class)
	set("tenant", f.Tenant)
	set("reason", f.Reason)
	set("state", string(f.State))
	if !f.Since.IsZero() {
		set("since", f.Since.Format(time.RFC3339Nano))
	}
	if !f.Before.IsZero() {
		set("before", f.Before.Format(time.RFC3339Nano))
	}
	set("after", strconv.FormatUint(after, 10))
	set("most", strconv.Itoa(limit))
	return v
}

// parseQuery reads a query of encodeQuery. The limit is kept within a page.
func parseQuery(v url.Values) (f deadletter.Filter, after uint64, limit int, err error) {
	f = deadletter.Filter{
		Class: v.Get("class"), Tenant: v.Get("tenant"), Reason: v.Get("reason"), State: deadletter.State(v.Get("state")),
	}
	read := func(name string, parse func(string) error) {
		if text := v.Get(name); text != "" && err == nil {
			if e := parse(text); e != nil {
				err = &statusError{http.StatusBadRequest, name + ": " + e.Error()}
			}
		}
	}
	read("destination", func(s string) error {
		n, err := strconv.Atoi(s)
		f.Destination = &n
		return err
	})
	read("since", func(s string) (err error) { f.Since, err = time.Parse(time.RFC3339Nano, s); return })
	read("before", func(s string) (err error) { f.Before, err = time.Parse(time.RFC3339Nano, s); return })
	read("after", func(s string) (err error) { after, err = strconv.ParseUint(s, 10, 64); return })
	read("most", func(s string) (err error) { limit, err = strconv.Atoi(s); return })
	return f, after, min(max(limit, 1), deadletter.MaxPageSize), err
}
