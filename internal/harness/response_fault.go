package harness

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"cleathold/internal/abuse"
)

// A ResponseFailure is a way in which an endpoint or the platform sends bytes that answer no request, or too few.
type ResponseFailure string

// The failures. A response that is not mentioned is complete.
const (
	Doubled      ResponseFailure = "doubled"      // a second copy at once
	DoubledLate  ResponseFailure = "doubled late" // a second copy after up to maxExtraDelay
	Contradicted ResponseFailure = "contradicted" // a response of the opposite meaning after up to maxExtraDelay
	Early        ResponseFailure = "early"        // a response before the request is read
	InPieces     ResponseFailure = "in pieces"    // the response in two pieces, then a second copy behind an interim response
	Overlong     ResponseFailure = "overlong"     // more bytes than announced
	CutShort     ResponseFailure = "cut short"    // only a part of the response
	Bloated      ResponseFailure = "bloated"      // very many short fields behind those of the response
)

// ResponseFailures lists the failures of a server that breaks down, and not that of one that misuses the sender.
var ResponseFailures = []ResponseFailure{Doubled, DoubledLate, Contradicted, Early, InPieces, Overlong, CutShort}

// A ResponseFault makes a fraction of the responses of endpoints, of discovery and to delivery reports fail, between
// two times of the plan's clock.
type ResponseFault struct {
	From, To time.Duration
	Failure  ResponseFailure
	Fraction float64 // 0 to 1
}

const (
	bloatedResponseBytes = 60 << 10 // of the head of a response with Bloated

	maxExtraDelay   = 40 * time.Millisecond // of bytes that follow a response
	pieceDelay      = 5 * time.Millisecond  // between two pieces of a response
	interimResponse = "HTTP/1.1 103 Early Hints\r\n\r\n"
)

// drawResponseFailure randomly decides whether a response fails now, and returns its failure and a random number from 0
// to 1. The failure is empty if the response does not fail.
func (env *Environment) drawResponseFailure(early bool) (ResponseFailure, float64) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if len(env.faults.Responses) == 0 || env.started.IsZero() {
		return "", 0
	}
	now := env.now()
	for _, f := range env.faults.Responses {
		if now >= f.From && now < f.To && (f.Failure == Early) == early && env.faultRNG.Float64() < f.Fraction {
			return f.Failure, env.faultRNG.Float64()
		}
	}
	return "", 0
}

// writeEarlyResponse writes a response before the request is read, if one is due.
func (env *Environment) writeEarlyResponse(w io.Writer) {
	if failure, random := env.drawResponseFailure(true); failure == Early {
		status := http.StatusOK
		if random < 0.5 {
			status = http.StatusServiceUnavailable
		}
		w.Write(emptyResponse(status))
	}
}

// writeResponse writes a response, with the bytes that a fault adds or withholds.
func (env *Environment) writeResponse(w io.Writer, text []byte) error {
	failure, random := env.drawResponseFailure(false)
	switch failure {
	case CutShort:
		shortest := endOfRetryAfter(text)
		_, err := w.Write(text[:shortest+int(random*float64(len(text)-shortest))])
		return err
	case Bloated:
		head, body, _ := bytes.Cut(text, []byte("\r\n\r\n"))
		fields := "\r\n" + abuse.ShortFields(bloatedResponseBytes) + "\r\n"
		_, err := w.Write(append(append(head[:len(head):len(head)], fields...), body...))
		return err
	case InPieces:
		half := len(text) / 2
		if _, err := w.Write(text[:half]); err != nil || !env.sleep(pieceDelay) {
			return err
		}
		_, err := w.Write(append(append(text[half:len(text):len(text)], interimResponse...), text...))
		return err
	}
	if _, err := w.Write(text); err != nil {
		return err
	}
	extra := extraBytes(failure, text)
	if len(extra) == 0 || failure != Doubled && !env.sleep(time.Duration(random*float64(maxExtraDelay))) {
		return nil
	}
	_, err := w.Write(extra)
	return err
}

// endOfRetryAfter returns the shortest length of a part of a response that contains its Retry-After, of which the auditor
// assumes that it was received; 1 if the response has none.
func endOfRetryAfter(text []byte) int {
	from := bytes.Index(text, []byte("Retry-After:"))
	if from < 0 {
		return 1
	}
	return from + bytes.IndexByte(text[from:], '\n') + 1
}

// extraBytes returns the bytes that follow a response.
func extraBytes(failure ResponseFailure, text []byte) []byte {
	switch failure {
	case Doubled, DoubledLate:
		return text
	case Overlong:
		return []byte("HTTP/1.1 200 OK\r\nContent-")
	case Contradicted:
		if bytes.HasPrefix(text, []byte("HTTP/1.1 2")) {
			return emptyResponse(http.StatusServiceUnavailable)
		}
		return emptyResponse(http.StatusOK)
	}
	return nil
}

// emptyResponse returns a response without a body.
func emptyResponse(status int) []byte {
	return []byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Length: 0\r\n\r\n")
}

// responseFaultListener accepts connections of an HTTP server to which response faults apply.
type responseFaultListener struct {
	net.Listener
	env *Environment
}

// Accept implements net.Listener.
func (l *responseFaultListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &responseFaultConn{TCPConn: c.(*net.TCPConn), env: l.env}, nil
}

// responseFaultConn is a connection of an HTTP server to which response faults apply.
type responseFaultConn struct {
	*net.TCPConn
	env   *Environment
	begun atomic.Bool
}

// Read implements net.Conn.
func (c *responseFaultConn) Read(b []byte) (int, error) {
	if !c.begun.Swap(true) {
		c.env.writeEarlyResponse(c.TCPConn)
	}
	return c.TCPConn.Read(b)
}

// Write implements net.Conn. The server writes a response at once, or a long one in several parts.
func (c *responseFaultConn) Write(b []byte) (int, error) {
	if err := c.env.writeResponse(c.TCPConn, b); err != nil {
		return 0, err
	}
	return len(b), nil
}
