package httpconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"
)

// maxResponses is the maximum number of responses that are read on a connection.
const maxResponses = 4

// errTooManyResponses is returned for a connection with more than maxResponses responses.
var errTooManyResponses = errors.New("too many responses on a connection with one request")

// A Doubt is a reason why a response is not known to belong to its request.
type Doubt uint8

// The doubts.
const (
	NoDoubt     Doubt = iota
	NoResponse        // the connection ended, or the time, before the first byte
	Malformed         // a response is incomplete or can't be read
	Conflicting       // several responses that differ
	NotClosed         // the server did not close the connection in order after its response
	Early             // bytes arrived before the request
	Unannounced       // the response does not announce the close that the request asked for, unlike others of the server
	doubtCount
)

// DoubtCount is the number of doubts, including NoDoubt.
const DoubtCount = int(doubtCount)

// String returns the name of the doubt in logs and in the status.
func (d Doubt) String() string {
	return [...]string{"none", "no-response", "malformed", "conflicting", "not-closed", "early", "unannounced"}[d]
}

// An Exchange is what a server sent on a connection with one request.
type Exchange struct {
	StartedAt time.Time  // when the first byte arrived; zero if none did
	Responses []Response // the complete final responses, in order
	Partial   *Response  // the readable part of a response that is incomplete or malformed; nil if there is none
	Err       error      // why reading ended; nil if the server closed the connection after the last response
}

// ReadOptions are the parameters of ReadExchange.
type ReadOptions struct {
	Method  string // of the request
	MaxBody int64  // maximum size of a response's body in bytes; all together may have twice as many

	// Await waits for the first byte of a response or the end of the connection, given the responses received before.
	// It returns io.EOF if the server has closed the connection. The default waits until the connection's deadline.
	Await func(received []Response) error
	// ResponseTimeout limits the time to receive a response from its first byte on. Zero leaves the deadline as it is.
	ResponseTimeout time.Duration
}

// ReadExchange reads the responses on a connection until the server closes it.
func (c *Conn) ReadExchange(o ReadOptions) Exchange {
	await := o.Await
	if await == nil {
		await = func([]Response) error { _, err := c.Reader.Peek(1); return err }
	}
	var x Exchange
	bodyLeft := 2 * o.MaxBody
	for {
		c.ReadLimit.N = MaxHeaderBytes
		if err := await(x.Responses); err != nil {
			if !errors.Is(err, io.EOF) || len(x.Responses) == 0 {
				x.Err = err
			}
			return x
		}
		if x.StartedAt.IsZero() {
			x.StartedAt = time.Now()
		}
		if len(x.Responses) == maxResponses {
			x.Err = errTooManyResponses
			return x
		}
		if o.ResponseTimeout > 0 {
			c.SetReadDeadline(time.Now().Add(o.ResponseTimeout))
		}
		response, err := c.readResponse(o.Method, min(o.MaxBody, bodyLeft))
		if err != nil {
			if response.Header == nil {
				response.Header = completeLines(c.start.bytes)
			}
			x.Partial, x.Err = &response, err
			return x
		}
		x.Responses = append(x.Responses, response)
		bodyLeft -= int64(len(response.Body))
	}
}

// Doubt returns why the first response is not known to belong to the request, or NoDoubt. Several responses leave none
// if the function reports that each has the same meaning as the first: one of them belongs to the request.
func (x *Exchange) Doubt(equivalent func(first, other Response) bool) Doubt {
	switch {
	case x.StartedAt.IsZero():
		return NoResponse
	case x.Partial != nil:
		return Malformed
	}
	for _, other := range x.Responses[1:] {
		if !equivalent(x.Responses[0], other) {
			return Conflicting
		}
	}
	if x.Err != nil {
		return NotClosed
	}
	return NoDoubt
}

// Received returns all responses, including a partial one.
func (x *Exchange) Received() []Response {
	if x.Partial == nil {
		return x.Responses
	}
	return append(x.Responses[:len(x.Responses):len(x.Responses)], *x.Partial)
}

// Equal reports whether two responses have the same status and body.
func Equal(a, b Response) bool { return a.Status == b.Status && bytes.Equal(a.Body, b.Body) }

// A DoubtError is the error of a request without a response that is known to belong to it. Whether the server processed
// the request is unknown.
type DoubtError struct {
	Doubt Doubt
	Cause error // may be nil
}

// Error returns the doubt with its cause.
func (e *DoubtError) Error() string {
	if e.Cause == nil {
		return "unattributable response: " + e.Doubt.String()
	}
	return fmt.Sprintf("unattributable response: %v: %v", e.Doubt, e.Cause)
}

// Unwrap returns the cause.
func (e *DoubtError) Unwrap() error { return e.Cause }
