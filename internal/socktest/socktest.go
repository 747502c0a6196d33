// Package socktest gives tests the other side of a TCP connection: servers that answer as the test says, refuse, or
// never accept. All that it opens is closed with the test.
//
// It must be used by tests only, and checks nothing itself.
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

// Hang is an answer to Serve that sends nothing and leaves the connection open.
const Hang = "hang"

// Serve listens at an address, which it returns, until the test ends. Each request is answered with what the function
// returns for the number of its connection, counted from 0, its head and its body: an empty answer closes the
// connection, and Hang leaves it silent.
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
			if text != Hang {
				io.WriteString(c, text)
			}
		}
	})
}

// Accept listens at an address, which it returns, until the test ends. Each connection, numbered from 0, is passed to
// the function on a goroutine of its own; what that leaves open is closed with the test.
func Accept(t testing.TB, serve func(n int, c *net.TCPConn)) string {
	t.Helper()
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sock.Close() })
	go accept(t, sock, serve)
	return sock.Addr().String()
}

// accept passes each connection to a function until the socket is closed.
func accept(t testing.TB, sock net.Listener, serve func(n int, c *net.TCPConn)) {
	for n := 0; ; n++ {
		c, err := sock.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { c.Close() })
		go serve(n, c.(*net.TCPConn))
	}
}

// Full listens at an address whose accept queue is full: connections to it are not established until open has them
// passed to a function, as Accept does. The first is one that sends nothing. The system retries one that waits after
// a second.
func Full(t testing.TB) (addr string, open func(serve func(n int, c *net.TCPConn))) {
	t.Helper()
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sock.Close() })
	raw, err := sock.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if e := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }); e != nil || err != nil {
		t.Fatal(e, err)
	}
	filler, err := net.Dial("tcp", sock.Addr().String()) // a queue of length 0 takes one
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { filler.Close() })
	return sock.Addr().String(), func(serve func(n int, c *net.TCPConn)) { go accept(t, sock, serve) }
}

// Refusing returns an address that refuses connections until the test ends. It stays bound: the address of a listener
// that was closed could be given to the next who asks for any port.
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

// Status returns an answer without a body. Each header is a line such as "Retry-After: 1".
func Status(code int, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", code, strings.Join(append(headers, ""), "\r\n"))
}

// JSON returns an answer 200 with a body.
func JSON(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}
