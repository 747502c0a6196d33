package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cleathold/internal/connbudget"
	"cleathold/internal/httpconn"
	"cleathold/internal/state"
)

const (
	// littleData is the number of bytes below which a read returns little data.
	littleData = 1 << 10
	// bodyChunkBytes is the size of the pieces in which a body is read.
	bodyChunkBytes = 16 << 10
)

// bodyChunks holds buffers for pieces of bodies.
var bodyChunks = sync.Pool{New: func() any { return new([bodyChunkBytes]byte) }}

// errHeadRest is returned for a head that the parser takes to end before its empty line.
var errHeadRest = errors.New("head goes on after its end")

// A requestReader reads the requests on a connection of a client. It keeps the bytes of a head until the head is
// complete, and parses it only then (see httpconn.HeadScanner). All memory for the request comes out of the budget, which may refuse the request meanwhile.
type requestReader struct {
	conn    *httpconn.Conn
	budget  *connbudget.Budget
	request connbudget.Request

	reason      atomic.Int32  // a connbudget.Reason
	interrupted chan struct{} // closed once the request is refused

	reading   bool  // a request is being read
	lastBytes int   // returned by the latest read
	bodyLeft  int64 // bytes of the request's body that have not been read
}

func newRequestReader(conn *httpconn.Conn, budget *connbudget.Budget) *requestReader {
	r := &requestReader{conn: conn, budget: budget, interrupted: make(chan struct{})}
	r.request.Interrupt = r.refuse
	conn.Through(r)
	return r
}

// refuse interrupts the reading of the request. It is called at most once, because the connection closes afterwards.
func (r *requestReader) refuse(reason connbudget.Reason) {
	if r.reason.CompareAndSwap(int32(connbudget.NotRefused), int32(reason)) {
		close(r.interrupted)
		r.conn.SetReadDeadline(httpconn.PastDeadline)
	}
}

// refused returns why the request was refused, or connbudget.NotRefused.
func (r *requestReader) refused() connbudget.Reason { return connbudget.Reason(r.reason.Load()) }

// begin begins a request whose first byte has arrived.
func (r *requestReader) begin() {
	r.reading, r.lastBytes = true, littleData
	r.budget.Begin(&r.request, time.Now())
}

// complete notes that the request was read completely: it can't be refused any more.
func (r *requestReader) complete() {
	r.reading = false
	r.budget.Complete(&r.request)
}

// end ends the request and returns its memory to the budget.
func (r *requestReader) end() {
	r.reading = false
	r.budget.End(&r.request)
}

// reserve reserves memory for the request. The error is os.ErrDeadlineExceeded if the request was refused.
func (r *requestReader) reserve(bytes int) error {
	if !r.budget.Reserve(&r.request, int64(bytes), time.Now()) {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// Read implements io.Reader for the connection's buffer. After a read that returned little data of a request, it pauses
// before the next one, so that clients that send single bytes don't use up the processor.
func (r *requestReader) Read(p []byte) (int, error) {
	if r.reading && r.lastBytes < littleData {
		r.pause()
	}
	n, err := r.conn.Conn.Read(p)
	r.lastBytes = n
	return n, err
}

// pause waits for the budget's pause, or until the request is refused.
func (r *requestReader) pause() {
	timer := time.NewTimer(r.budget.ReadPause())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.interrupted:
	}
}

// readHead reads a head and parses it. The body of the returned request must not be used; see readBody.
func (r *requestReader) readHead() (*http.Request, error) {
	head, err := r.readHeadBytes()
	if err != nil {
		return nil, err
	}
	in := bufio.NewReaderSize(bytes.NewReader(head), len(head))
	request, err := http.ReadRequest(in)
	if err == nil && in.Buffered() > 0 { // the parser found another end of the head
		err = errHeadRest
	}
	if err == nil {
		r.bodyLeft = max(0, request.ContentLength)
	}
	return request, err
}

// readHeadBytes reads up to the empty line that ends a head.
func (r *requestReader) readHeadBytes() ([]byte, error) {
	var head []byte
	var scanner httpconn.HeadScanner
	for {
		if _, err := r.conn.Reader.Peek(1); err != nil {
			return nil, err
		}
		part, _ := r.conn.Reader.Peek(r.conn.Reader.Buffered())
		n, complete, err := scanner.Scan(part)
		if err != nil {
			return nil, err
		}
		before := cap(head)
		head = append(head, part[:n]...)
		r.conn.Reader.Discard(n)
		if err := r.reserve(cap(head) - before); err != nil {
			return nil, err
		}
		if complete {
			return head, nil
		}
	}
}

// readBody reads the body of the request whose head was read. Memory is reserved piece by piece as the body arrives, so
// that a client that announces a large body and sends little of it uses little memory.
func (r *requestReader) readBody() ([]byte, error) {
	length := r.bodyLeft
	var chunks []*[bodyChunkBytes]byte
	defer func() {
		for _, chunk := range chunks {
			bodyChunks.Put(chunk)
		}
	}()
	for r.bodyLeft > 0 {
		if err := r.reserve(bodyChunkBytes); err != nil {
			return nil, err
		}
		chunk := bodyChunks.Get().(*[bodyChunkBytes]byte)
		chunks = append(chunks, chunk)
		n, err := io.ReadFull(r.conn.Reader, chunk[:min(r.bodyLeft, bodyChunkBytes)])
		if r.bodyLeft -= int64(n); err != nil {
			return nil, err
		}
	}
	body := make([]byte, 0, length)
	for _, chunk := range chunks {
		body = append(body, chunk[:min(length-int64(len(body)), bodyChunkBytes)]...)
	}
	return body, nil
}

// discardBody discards the rest of the body, up to state.MaxBody bytes, and reports whether its end was reached.
func (r *requestReader) discardBody() bool {
	if r.bodyLeft > state.MaxBody {
		return false
	}
	n, _ := io.CopyN(io.Discard, r.conn.Reader, r.bodyLeft)
	r.bodyLeft -= n
	return r.bodyLeft == 0
}
