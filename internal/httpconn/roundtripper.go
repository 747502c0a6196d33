package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
)

// maxRoundTripBody is the maximum size of a response's body in bytes.
const maxRoundTripBody = 16 << 20

// errEarlyInput is returned for a connection on which the server sent bytes before the request.
var errEarlyInput = errors.New("bytes before the request")

// A RoundTripper is an http.RoundTripper that opens a connection for each request and returns a response only if it is
// known to belong to the request. Otherwise it returns a DoubtError. It sends no request twice. The context of the
// request bounds it. The zero value dials TCP.
type RoundTripper struct {
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// NewClient returns an HTTP client that uses a RoundTripper.
func NewClient() *http.Client { return &http.Client{Transport: &RoundTripper{}} }

// RoundTrip implements http.RoundTripper. The body of the response is in memory.
func (t *RoundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body != nil {
		defer request.Body.Close()
	}
	c, err := t.connect(request)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	defer InterruptOnDone(request.Context(), c)()
	if !c.OpenWithoutInput() {
		return nil, errEarlyInput
	}
	if err := write(c, request); err != nil {
		return nil, err
	}
	x := c.ReadExchange(ReadOptions{Method: request.Method, MaxBody: maxRoundTripBody})
	if doubt := x.Doubt(Equal); doubt != NoDoubt {
		return nil, &DoubtError{Doubt: doubt, Cause: x.Err}
	}
	return response(request, x.Responses[0]), nil
}

func (t *RoundTripper) connect(request *http.Request) (*Conn, error) {
	if t.Dial == nil {
		return Dial(request.Context(), request.URL.Host)
	}
	conn, err := t.Dial(request.Context(), request.URL.Host)
	if err != nil {
		return nil, err
	}
	return New(conn), nil
}

// write writes a request that asks the server to close the connection.
func write(c *Conn, request *http.Request) error {
	last := request.Clone(request.Context())
	last.Close = true
	out := bufio.NewWriter(c)
	if err := last.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// response converts a response to the type of package net/http.
func response(request *http.Request, r Response) *http.Response {
	return &http.Response{
		Status: strconv.Itoa(r.Status) + " " + http.StatusText(r.Status), StatusCode: r.Status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.Header,
		Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body)), Request: request, Close: true,
	}
}
