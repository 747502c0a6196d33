// Package socktest provides TCP servers for tests: servers that send the responses that a test specifies, refuse
// connections, or never accept them. Everything that it opens is closed when the test ends.
//
// It must only be used by tests, and makes no assertions itself.
package socktest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// Hang is a response for Serve that sends nothing and leaves the connection open.
const Hang = "hang"

// Serve starts a server that listens until the test ends, and returns its address. It calls answer for each request,
// with the number of the connection, counted from 0, and the body of the request, and sends the returned text as the
// response. It closes the connection after the response if the request asks for it. An empty text closes the connection,
// and Hang leaves it open without a response.
func Serve(t testing.TB, answer func(conn int, r *http.Request, body string) string) string {
	t.Helper()
	return Accept(t, func(n int, c *net.TCPConn) {
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			text := answer(n, r, string(body))
			if text == "" {
				c.Close()
				return
			}
			if text == Hang {
				continue
			}
			io.WriteString(c, text)
			if r.Close {
				c.Close()
				return
			}
		}
	})
}

// Accept starts a server that listens until the test ends, and returns its address. It calls serve for each
// connection, numbered from 0, in a separate goroutine. Connections that serve leaves open are closed when the test
// ends.
func Accept(t testing.TB, serve func(n int, c *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go accept(t, listener, serve)
	return listener.Addr().String()
}

// accept accepts connections and calls serve for each of them until the listener is closed.
func accept(t testing.TB, listener net.Listener, serve func(n int, c *net.TCPConn)) {
	for n := 0; ; n++ {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { c.Close() })
		go serve(n, c.(*net.TCPConn))
	}
}

// Full starts a server whose accept queue is full, and returns its address. Connections to it are not established
// until open is called, which accepts them and passes them to serve, as Accept does. The first accepted connection is
// the one that fills the queue and sends nothing. The operating system retries a pending connection after one second.
func Full(t testing.TB) (addr string, open func(serve func(n int, c *net.TCPConn))) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if e := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }); e != nil || err != nil {
		t.Fatal(e, err)
	}
	filler, err := net.Dial("tcp", listener.Addr().String()) // a queue of length 0 holds one connection
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { filler.Close() })
	return listener.Addr().String(), func(serve func(n int, c *net.TCPConn)) { go accept(t, listener, serve) }
}

// Refusing returns an address that refuses connections until the test ends. The address stays bound, since the port of
// a closed listener could be assigned to another socket that binds to any free port.
func Refusing(t testing.TB) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	addr, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", addr.(*unix.SockaddrInet4).Port)
}

// Status returns an HTTP response without a body. Each header is a line such as "Retry-After: 1".
func Status(code int, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", code, strings.Join(append(headers, ""), "\r\n"))
}

// JSON returns an HTTP response with status 200 and the given body.
func JSON(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}
