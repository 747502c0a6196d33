// Command toy simulates the environment of one sender for manual tests: discovery and the platform at one address,
// three endpoints, and a fourth one that is down. It listens on loopback addresses and logs the requests that it
// receives.
package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// platform is the address of discovery and the platform.
const platform = "127.0.0.1:8500"

// endpointList is the only endpoint list that discovery returns. No process listens at the last address.
const endpointList = `{"version":1,"full":true,"servers":[
{"id":"s-one","addr":"127.0.0.1:9001","zone":"here","kind":"batching","cell":1,"state":"up","weight":20,"started_ms":0},
{"id":"s-two","addr":"127.0.0.1:9002","zone":"there","kind":"batching","cell":1,"state":"up","weight":20,"started_ms":0},
{"id":"s-three","addr":"127.0.0.1:9003","zone":"here","kind":"plain","cell":2,"state":"up","weight":20,"started_ms":0},
{"id":"s-none","addr":"127.0.0.1:9004","zone":"here","kind":"plain","cell":3,"state":"up","weight":20,"started_ms":0}]}`

// A handler returns the status and the body of the response to a request.
type handler func(r *http.Request, body string) (int, string)

func main() {
	go serve("127.0.0.1:9001", newEndpoint("s-one", 0))
	go serve("127.0.0.1:9002", newEndpoint("s-two", 0))
	go serve("127.0.0.1:9003", newEndpoint("s-three", 2))
	log.Println("platform at", platform)
	serve(platform, answerPlatform)
}

// answerPlatform is the handler of discovery and the platform.
func answerPlatform(r *http.Request, body string) (int, string) {
	switch {
	case r.URL.Path == "/status" && r.Method == http.MethodPost:
		log.Print("delivery report: ", strings.TrimSpace(body))
		return http.StatusNoContent, ""
	case r.URL.Path != "/catalog/members":
		return http.StatusNotFound, ""
	case r.URL.Query().Get("since") != "1":
		return http.StatusOK, endpointList
	}
	// The list never changes, so wait for the timeout of the poll.
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	time.Sleep(time.Duration(min(max(ms, 0), 60_000)) * time.Millisecond)
	return http.StatusOK, `{"version":1,"full":false,"servers":[]}`
}

// newEndpoint returns the handler of an endpoint. Each failEvery-th call fails; with 0, no call fails.
func newEndpoint(name string, failEvery int64) handler {
	var calls atomic.Int64
	return func(r *http.Request, body string) (int, string) {
		if r.URL.Path == "/ping" {
			return http.StatusOK, ""
		}
		n := calls.Add(1)
		failed := failEvery > 0 && n%failEvery == 0
		log.Printf("%s: call %d, %s %s %q, failed: %t", name, n, r.URL.Path, r.Header.Get("X-Request-Id"), body, failed)
		switch {
		case failed:
			return http.StatusInternalServerError, ""
		case r.URL.Path == "/receive":
			return http.StatusOK, ""
		case r.URL.Path == "/receive-many":
			return http.StatusOK, delivered(body)
		}
		return http.StatusNotFound, ""
	}
}

// delivered returns a response body that reports each message of a batch as delivered.
func delivered(body string) string {
	var b strings.Builder
	for body != "" {
		line, rest, _ := strings.Cut(body, "\r\n")
		w := strings.Fields(line)
		if len(w) != 3 {
			break
		}
		n, err := strconv.Atoi(w[2])
		if err != nil || n < 0 || n+2 > len(rest) {
			break
		}
		b.WriteString(w[0] + " delivered\r\n")
		body = rest[n+2:]
	}
	return b.String()
}

// serve accepts connections at one address.
func serve(addr string, h handler) {
	sock, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	for {
		c, err := sock.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go serveConn(c, h)
	}
}

// serveConn responds to the requests of one connection.
func serveConn(c net.Conn, h handler) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
		if err != nil {
			return
		}
		status, text := h(r, string(body))
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
		if status != http.StatusNoContent {
			head += fmt.Sprintf("Content-Length: %d\r\n", len(text))
		}
		if _, err := io.WriteString(c, head+"\r\n"+text); err != nil || r.Close {
			return
		}
	}
}
