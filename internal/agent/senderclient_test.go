package agent

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/rollout"
)

// TestSenderClient checks the exact requests that an agent sends to its sender.
func TestSenderClient(t *testing.T) {
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Method + " " + r.URL.String()
		if strings.Contains(got, "epoch=13") {
			http.Error(w, "an older epoch", http.StatusConflict)
		}
	}))
	addr := strings.TrimPrefix(server.URL, "http://")
	config := filepath.Join(t.TempDir(), "s.json")
	if err := os.WriteFile(config, []byte(`{"listen": "`+addr+`"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var traffic trafficCounters
	c := newSenderClient(Sender{Name: "s", Config: config, Reach: [2]string{"127.0.0.1:1", addr}}, &traffic)
	ctx := t.Context()
	at := func(ms int64) time.Time { return time.UnixMilli(ms) }
	grant := &rollout.Grant{Process: "p", Epoch: 7, TakeBy: at(1000), Until: at(2000)}
	for _, call := range []struct {
		send func() error
		want string
	}{
		{func() error { return c.take(ctx, 1, admin.DrainPath, grant) },
			"PUT /v1/sender/drain?by=1000&epoch=7&process=p&until=2000"},
		{func() error { return c.take(ctx, 1, admin.HoldPath, grant) },
			"PUT /v1/sender/hold?by=1000&epoch=7&process=p&until=2000"},
		{func() error { return c.renew(ctx, 1, 7, at(3000)) }, "PUT /v1/sender/renew?epoch=7&until=3000"},
		{func() error { return c.activate(ctx, 1, 7) }, "PUT /v1/sender/activate?epoch=7"},
		{func() error { return c.exclude(ctx, 1, 9, at(4000), []string{"a", "b"}) },
			"PUT /v1/sender/aside?epoch=9&id=a&id=b&until=4000"},
		{func() error { return c.exclude(ctx, 1, 9, at(4000), nil) }, "PUT /v1/sender/aside?epoch=9&until=4000"},
		{func() error { return c.checkHealth(ctx) }, "GET /_health"},
	} {
		if err := call.send(); err != nil || got != call.want {
			t.Errorf("%s, not %s: %v", got, call.want, err)
		}
	}
	if err := c.activate(ctx, 1, 13); err == nil || errors.Is(err, errNoResponse) {
		t.Errorf("a rejection: %v", err)
	}
	server.Close()
	if err := c.activate(ctx, 1, 7); !errors.Is(err, errNoResponse) {
		t.Errorf("without a response: %v", err)
	}
	if n := traffic.totals().Polls; n != 9 {
		t.Errorf("%d polls", n)
	}
}
