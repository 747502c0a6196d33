package httpconn

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

var (
	// ErrTooLong is returned for a body that exceeds the size limit.
	ErrTooLong = errors.New("body exceeds the size limit")

	errUndelimited = errors.New("body without a length")
	errNested      = errors.New("header contains another response")
)

// A Response is a final response, as far as it could be read.
type Response struct {
	Status int // 0 if the head can't be read
	Header http.Header
	Body   []byte
	Closes bool // the server announced that it closes the connection
}

// readResponse reads a final response with a body of at most maxBody bytes, and skips the interim responses before it.
// With an error, the response holds the part that could be read.
func (c *Conn) readResponse(method string, maxBody int64) (Response, error) {
	c.ReadLimit.N = MaxHeaderBytes + maxBody
	for {
		if err := c.awaitHead(); err != nil {
			return Response{}, err
		}
		r, err := http.ReadResponse(c.Reader, &http.Request{Method: method})
		if err != nil {
			return Response{}, err
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		response := Response{Status: r.StatusCode, Header: r.Header, Closes: r.Close}
		response.Body, err = ReadBody(r.Body, maxBody)
		if err == nil {
			err = checkFraming(r, response.Body)
		}
		return response, err
	}
}

// checkFraming returns an error for a response that may contain bytes of another one: its body ends with the connection
// instead of after a known length, or a header begins like a response.
func checkFraming(r *http.Response, body []byte) error {
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 && len(body) > 0 {
		return errUndelimited
	}
	for _, values := range r.Header {
		for _, value := range values {
			if strings.Contains(value, "HTTP/1.") {
				return errNested
			}
		}
	}
	return nil
}

// completeLines returns the complete header lines in the input of a connection whose last response can't be read.
func completeLines(input []byte) http.Header {
	header := http.Header{}
	lines := bytes.Split(input, []byte("\n"))
	for _, line := range lines[:len(lines)-1] {
		if name, value, found := bytes.Cut(line, []byte(":")); found {
			header.Add(string(name), string(bytes.TrimSpace(value)))
		}
	}
	return header
}

// ReadBody reads a body of at most limit bytes. It returns ErrTooLong if the body is longer.
func ReadBody(from io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = ErrTooLong
	}
	return body, err
}
