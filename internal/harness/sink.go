package harness

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// StartSink starts a loopback server that immediately accepts every submission, and returns its address. The server
// runs until the context ends. It is used to measure the capacity of the load generator itself.
func StartSink(ctx context.Context) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("harness: sink: %w", err)
	}
	accept := func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusAccepted)
	}
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(accept)}
	go server.Serve(l) // returns when the server is closed at the end of the context
	context.AfterFunc(ctx, func() { server.Close() })
	return l.Addr().String(), nil
}
