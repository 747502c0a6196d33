package admin

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cleathold/internal/deadletter"
)

// encodeQuery encodes a filter and a page of at most limit records after a position as URL parameters.
func encodeQuery(f deadletter.Filter, after uint64, limit int) url.Values {
	v := url.Values{}
	setNonEmpty := func(name, value string) {
		if value != "" {
			v.Set(name, value)
		}
	}
	if f.Destination != nil {
		setNonEmpty("destination", strconv.Itoa(*f.Destination))
	}
	setNonEmpty("class", f.Class)
	setNonEmpty("tenant", f.Tenant)
	setNonEmpty("reason", f.Reason)
	setNonEmpty("state", string(f.State))
	if !f.Since.IsZero() {
		setNonEmpty("since", f.Since.Format(time.RFC3339Nano))
	}
	if !f.Before.IsZero() {
		setNonEmpty("before", f.Before.Format(time.RFC3339Nano))
	}
	setNonEmpty("after", strconv.FormatUint(after, 10))
	setNonEmpty("most", strconv.Itoa(limit))
	return v
}

// parseQuery parses the URL parameters of encodeQuery. It limits the number of records to 1 to deadletter.MaxPageSize.
func parseQuery(v url.Values) (f deadletter.Filter, after uint64, limit int, err error) {
	f = deadletter.Filter{
		Class: v.Get("class"), Tenant: v.Get("tenant"), Reason: v.Get("reason"), State: deadletter.State(v.Get("state")),
	}
	parseParam := func(name string, parse func(string) error) {
		if text := v.Get(name); text != "" && err == nil {
			if e := parse(text); e != nil {
				err = &statusError{http.StatusBadRequest, name + ": " + e.Error()}
			}
		}
	}
	parseParam("destination", func(s string) error {
		n, err := strconv.Atoi(s)
		f.Destination = &n
		return err
	})
	parseParam("since", func(s string) (err error) { f.Since, err = time.Parse(time.RFC3339Nano, s); return })
	parseParam("before", func(s string) (err error) { f.Before, err = time.Parse(time.RFC3339Nano, s); return })
	parseParam("after", func(s string) (err error) { after, err = strconv.ParseUint(s, 10, 64); return })
	parseParam("most", func(s string) (err error) { limit, err = strconv.Atoi(s); return })
	return f, after, min(max(limit, 1), deadletter.MaxPageSize), err
}
