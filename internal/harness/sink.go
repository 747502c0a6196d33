package harness

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// StartSink takes on whatever is handed in, at once, until the context ends: what the
// load tool itself can do is measured against it.
func StartSink(ctx context.Context) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("rig: sink: %w", err)
	}
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		out.WriteHeader(http.StatusAccepted)
	})}
	go server.Serve(l) // ends with ErrServerClosed
	context.AfterFunc(ctx, func() { server.Close() })
	return l.Addr().String(), nil
}
