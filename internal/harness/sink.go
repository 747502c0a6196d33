package harness

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// StartSink starts a server on loopback that accepts every submission at once, until the context ends, and returns its
// address. The load tool's own capacity is measured against it.
func StartSink(ctx context.Context) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("rig: sink: %w", err)
	}
	accept := func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusAccepted)
	}
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(accept)}
	go server.Serve(l) // until the context closes the server
	context.AfterFunc(ctx, func() { server.Close() })
	return l.Addr().String(), nil
}
