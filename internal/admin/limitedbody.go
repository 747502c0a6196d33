package admin

import (
	"errors"
	"io"
	"net/http"
	"time"

	"cleathold/internal/connbudget"
)

// errBodyRefused is returned for a body that has to give way to others.
var errBodyRefused = errors.New("too much memory in use by other calls")

// A limitedBody is the body of a call whose bytes come out of a budget.
type limitedBody struct {
	io.ReadCloser
	budget  *connbudget.Budget
	request connbudget.Request
}

// limitBody returns a handler whose calls have bodies within a budget. At its end, the incomplete body that has used
// most of it is interrupted.
func limitBody(budget *connbudget.Budget, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next(w, r)
			return
		}
		body := &limitedBody{ReadCloser: r.Body, budget: budget}
		body.request.Interrupt = func(connbudget.Reason) {
			http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		}
		r.Body = body
		budget.Begin(&body.request, time.Now())
		defer budget.End(&body.request)
		next(w, r)
	}
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.budget.Reserve(&b.request, int64(n), time.Now()) {
		return 0, errBodyRefused
	}
	if err != nil {
		b.budget.Complete(&b.request)
	}
	return n, err
}
