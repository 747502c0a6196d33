package httpconn

import (
	"bytes"
	"errors"
	"io"
)

const (
	// MaxHeaderBytes is the maximum size of a request line or status line including the headers.
	MaxHeaderBytes = 16 << 10
	// MaxHeaderFields is the maximum number of fields in a header. The parser needs about 200 bytes for each field besides
	// its text.
	MaxHeaderFields = 100
)

// ErrHeadTooLarge is returned for a head with more than MaxHeaderBytes bytes or MaxHeaderFields fields.
var ErrHeadTooLarge = errors.New("head exceeds the size limit")

// A HeadScanner looks for the end of a head in bytes that arrive piece by piece, so that a head is parsed only once it
// is complete: what the parser allocates for many short fields is many times their size. The zero value is ready to use
// for one head.
type HeadScanner struct {
	bytes     int
	lines     int
	lineBytes int // of the present line, without carriage returns at its end
}

// Scan scans the next bytes of a head. If the head ends in them, it returns their number up to the end and true,
// otherwise the number of all bytes. The error is ErrHeadTooLarge.
func (s *HeadScanner) Scan(part []byte) (n int, complete bool, err error) {
	for n < len(part) {
		line, _, ended := bytes.Cut(part[n:], []byte("\n"))
		n += len(line)
		s.lineBytes += len(bytes.TrimSuffix(line, []byte("\r")))
		if s.bytes += len(line); ended {
			n++
			s.bytes++
		}
		switch {
		case s.bytes > MaxHeaderBytes:
			return n, false, ErrHeadTooLarge
		case !ended:
			return n, false, nil
		case s.lineBytes == 0:
			return n, true, nil
		}
		s.lineBytes = 0
		if s.lines++; s.lines > MaxHeaderFields+1 { // the first line is that of the request or of the status
			return n, false, ErrHeadTooLarge
		}
	}
	return n, false, nil
}

// awaitHead waits until the buffer holds a complete head. It returns ErrHeadTooLarge for one that exceeds the limits,
// and io.ErrUnexpectedEOF if the connection ends within it.
func (c *Conn) awaitHead() error {
	var scanner HeadScanner
	scanned := 0
	for {
		buffered, _ := c.Reader.Peek(c.Reader.Buffered())
		n, complete, err := scanner.Scan(buffered[scanned:])
		if complete || err != nil {
			return err
		}
		scanned += n
		if scanned == c.Reader.Size() {
			return ErrHeadTooLarge
		}
		if _, err := c.Reader.Peek(scanned + 1); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
}
