package harness

import (
	"io"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"cleathold/internal/audit"
)

// maxReportBytes limits the size of the delivery reports in one request.
const maxReportBytes = 1 << 20

// serveReports handles requests with delivery reports. It works during discovery outages, too.
func (env *Environment) serveReports(sender int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxReportBytes))
	if err != nil || !gjson.ValidBytes(body) && !validReportLines(body) {
		http.Error(w, "notices unreadable", http.StatusBadRequest)
		return
	}
	gjson.ForEachLine(string(body), func(line gjson.Result) bool {
		id, deferred := line.Get("id").String(), line.Get("status").String() == "deferred"
		retryAfter := time.Duration(line.Get("again_ms").Float() * float64(time.Millisecond))
		env.Record(audit.Event{
			Kind: audit.DeliveryReported, Sender: sender, Message: id, Deferred: deferred, RetryAfter: retryAfter,
		})
		env.onReport(id, deferred, retryAfter)
		return true
	})
	w.WriteHeader(http.StatusNoContent)
}

// validReportLines reports whether each line of the body is a JSON object with an id.
func validReportLines(body []byte) bool {
	valid := true
	gjson.ForEachLine(string(body), func(line gjson.Result) bool {
		valid = valid && line.IsObject() && line.Get("id").Exists()
		return valid
	})
	return valid
}
