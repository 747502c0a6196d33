// Package abuse implements clients that misuse a sender: they hold requests open, send them byte by byte, send unsound
// ones at full speed, or leave without reading. Tests and the soak run them beside ordinary clients.
//
// The package makes no assertions. Except for those of CloseUnread, its requests are never complete messages, so that
// nothing of them may reach an endpoint.
package abuse

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	reconnectPause = 50 * time.Millisecond // before a client connects again; half of it is random
	byteInterval   = time.Millisecond      // between the single bytes of a client, by default
	dialTimeout    = time.Second

	sourceAddresses = 200 // addresses that the clients of a crowd connect from

	headBytes = 15 << 10 // of a head with many fields; senders accept a little more
	bodyBytes = 64 << 10 // of a body that is announced

	// IDPrefix is the beginning of the ids of all messages of these clients.
	IDPrefix = "abuse-"
)

// A Kind is a way to misuse a sender.
type Kind string

// The kinds.
const (
	ManyFields  Kind = "many-fields"   // a head of very many short fields, held open
	FieldsBody  Kind = "fields-body"   // such a head, complete, with half of its body, held open
	HalfBody    Kind = "half-body"     // half of a large body, held open
	SingleBytes Kind = "single-bytes"  // half of a large body, then single bytes
	Flood       Kind = "flood"         // small and unsound requests at full speed on one connection, under ever new names
	CloseUnread Kind = "close-unread"  // whole requests in a row on one connection, which closes before an answer is read
	Silent      Kind = "silent"        // a connection on which nothing is sent
	EndlessHead Kind = "endless-field" // a single field without an end
)

// Held lists the kinds that hold a connection until the sender closes it.
var Held = []Kind{ManyFields, FieldsBody, HalfBody, SingleBytes}

// Counts is what clients have seen. It is safe for concurrent use.
type Counts struct {
	Connections atomic.Int64 // connections opened
	Refused     atomic.Int64 // connections that ended with a response of the sender
	Closed      atomic.Int64 // connections that ended without one
}

// A Crowd is a number of clients of one kind.
type Crowd struct {
	Addr   string // of the sender
	Kind   Kind
	Class  string // of the messages; the first part of the path
	Count  int
	Counts Counts

	ByteInterval time.Duration // between the bytes of SingleBytes; 0 = byteInterval

	names atomic.Int64 // to make names unique
}

// Run runs the clients until the context is done. Each connects again when the sender has closed its connection.
func (c *Crowd) Run(ctx context.Context) {
	var clients sync.WaitGroup
	for i := range c.Count {
		// With one source address the crowd would use up its ports within seconds.
		source := &net.TCPAddr{IP: net.IPv4(127, 0, 200, byte(1+i%sourceAddresses))}
		clients.Go(func() { c.runClient(ctx, &net.Dialer{Timeout: dialTimeout, LocalAddr: source}) })
	}
	clients.Wait()
}

func (c *Crowd) runClient(ctx context.Context, dialer *net.Dialer) {
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", c.Addr); err == nil {
			c.Counts.Connections.Add(1)
			c.use(ctx, conn)
		}
		sleep(ctx, reconnectPause/2+rand.N(reconnectPause/2))
	}
}

// use misuses a connection until the sender closes it, or until the context is done.
func (c *Crowd) use(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	switch c.Kind {
	case CloseUnread:
		io.WriteString(conn, c.messages(50))
		return
	case Flood:
		go c.flood(conn)
	default:
		go c.hold(ctx, conn)
	}
	received, _ := io.Copy(io.Discard, conn)
	switch {
	case ctx.Err() != nil:
	case received > 0:
		c.Counts.Refused.Add(1)
	default:
		c.Counts.Closed.Add(1)
	}
}

// hold sends the part of a request that the kind sends. SingleBytes goes on until the connection ends.
func (c *Crowd) hold(ctx context.Context, conn net.Conn) {
	if _, err := io.WriteString(conn, c.incomplete()); err != nil || c.Kind != SingleBytes {
		return
	}
	interval := c.ByteInterval
	if interval <= 0 {
		interval = byteInterval
	}
	for ctx.Err() == nil {
		if _, err := io.WriteString(conn, "x"); err != nil {
			return
		}
		sleep(ctx, interval)
	}
}

// manyFields is a part of a head with very many short fields, and halfBody half of a body.
var (
	manyFields = ShortFields(headBytes)
	halfBody   = strings.Repeat("x", bodyBytes/2)
)

// incomplete returns the beginning of a request whose rest never comes.
func (c *Crowd) incomplete() string {
	head := "POST /" + c.Class + " HTTP/1.1\r\nHost: h\r\n"
	announced := "Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n\r\n"
	switch c.Kind {
	case ManyFields:
		return head + manyFields
	case FieldsBody:
		return head + manyFields + announced + halfBody
	case HalfBody:
		return head + c.fields() + announced + halfBody
	case SingleBytes:
		return head + c.fields() + announced
	case EndlessHead:
		return head + "A: " + halfBody[:headBytes]
	}
	return ""
}

// ShortFields returns as many header fields with different names as fit into a number of bytes.
func ShortFields(bytes int) string {
	var fields strings.Builder
	for i := int64(0); ; i++ {
		field := strconv.FormatInt(i, 36) + ":\n"
		if fields.Len()+len(field) > bytes {
			return fields.String()
		}
		fields.WriteString(field)
	}
}

// fields returns the header fields of a message under a new name.
func (c *Crowd) fields() string {
	return "X-Request-Id: " + IDPrefix + strconv.FormatInt(c.names.Add(1), 10) + "\r\nX-Deadline: 5\r\n" +
		"X-Addressing: dest=7\r\n"
}

// messages returns a number of complete requests with messages.
func (c *Crowd) messages(count int) string {
	var out strings.Builder
	for range count {
		out.WriteString("POST /" + c.Class + " HTTP/1.1\r\nHost: h\r\n" + c.fields() + "Content-Length: 2\r\n\r\nhi")
	}
	return out.String()
}

// unsound are requests that a sender rejects. The placeholder stands for a name.
var unsound = []string{
	"POST /NAME HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
	"GET /NAME HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: h\r\nX-Request-Id: NAME\r\nX-Deadline: no\r\nContent-Length: 0\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: h\r\nX-Request-Id: NAME\r\nX-Tenant: NAME\r\nX-Deadline: 1\r\n" +
		"X-Addressing: dest=65535\r\nContent-Length: 0\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: h\r\nX-NAME: NAME\r\nContent-Length: 1\r\n\r\nx",
}

// flood sends unsound requests at full speed until the connection ends.
func (c *Crowd) flood(conn net.Conn) {
	for {
		name := IDPrefix + strconv.FormatInt(c.names.Add(1), 36)
		text := strings.ReplaceAll(strings.Join(unsound, ""), "NAME", name)
		if _, err := io.WriteString(conn, strings.ReplaceAll(text, "CLASS", c.Class)); err != nil {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
