package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cleathold/internal/socktest"
)

// TestRoundTrip guards against a response that may belong to no request being returned for one: a response counts only
// if it is complete, if all others on its connection equal it, and once the server has closed the connection.
func TestRoundTrip(t *testing.T) {
	ok, other := socktest.JSON(`"ok"`), socktest.Status(http.StatusConflict)
	for _, c := range []struct {
		name, answer string
		open         bool // the connection stays open
		want         Doubt
	}{
		{"one", ok, false, NoDoubt},
		{"interim response first", "HTTP/1.1 103 x\r\n\r\n" + ok, false, NoDoubt},
		{"twice", ok + ok, false, NoDoubt},
		{"two that differ", ok + other, false, Conflicting},
		{"too long", ok + "x", false, Malformed},
		{"too short", ok[:len(ok)-1], false, Malformed},
		{"another response as its body", "HTTP/1.1 200 OK\r\n\r\n" + other, false, Malformed},
		{"another response in its head", "HTTP/1.1 200 OK\r\nA: " + other, false, Malformed},
		{"many", strings.Repeat(ok, maxResponses+1), false, NotClosed},
		{"none", "", false, NoResponse},
		{"open", ok, true, NotClosed},
	} {
		addr := socktest.Accept(t, func(_ int, conn *net.TCPConn) {
			conn.Read(make([]byte, 1<<10))
			io.WriteString(conn, c.answer)
			if !c.open {
				conn.CloseWrite()
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		if c.open {
			ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
		}
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/a", strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		response, err := NewClient().Do(request)
		var doubt *DoubtError
		switch {
		case c.want != NoDoubt:
			if !errors.As(err, &doubt) || doubt.Doubt != c.want {
				t.Errorf("%s: %v, %v, want %v", c.name, response, err, c.want)
			}
		case err != nil || response.StatusCode != http.StatusOK:
			t.Errorf("%s: %v, %v", c.name, response, err)
		default:
			if body, err := io.ReadAll(response.Body); err != nil || string(body) != `"ok"` {
				t.Errorf("%s: %q, %v", c.name, body, err)
			}
		}
	}
}
