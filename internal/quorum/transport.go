package quorum

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cleathold/internal/httpconn"
)

// nameHeader carries the name of the sending agent.
const nameHeader = "X-Agent"

// Path is the path at which Receive is served.
const Path = "/v1/raft"

const (
	maxQueued       = 256             // messages queued for one member; further ones are dropped, and raft repeats them
	maxBatch        = 64              // messages in one call
	maxBodySize     = 8 << 20         // bytes
	callTimeout     = time.Second     // for a call without a snapshot
	snapshotTimeout = 5 * time.Second // for a call with a snapshot
)

// delivery is a report to raft on the delivery of messages to a member.
type delivery struct {
	to        uint64
	snapshot  bool
	delivered bool
}

// transport sends messages to one member, with one call at a time.
type transport struct {
	url   string
	from  string // name of this agent
	queue chan *pb.Message
	http  *http.Client
	bytes atomic.Int64
	calls atomic.Int64
}

// newTransport returns the transport from an agent to the one at an address. The caller must call run next.
func newTransport(from, addr string) *transport {
	return &transport{
		url: "http://" + addr + Path, from: from, queue: make(chan *pb.Message, maxQueued),
		http: httpconn.NewClient(),
	}
}

// sendMessages queues messages for sending. A message to an unknown member, or to a member whose queue is full, is
// dropped; raft repeats it.
func (n *Node) sendMessages(list []*pb.Message) {
	for _, m := range list {
		name, known := n.members[m.GetTo()]
		if !known {
			name = n.learnedNames[m.GetTo()]
		}
		t := n.transports[name]
		if t == nil {
			continue
		}
		select {
		case t.queue <- m:
		default:
			n.raft.ReportUnreachable(m.GetTo())
			if m.GetType() == pb.MsgSnap {
				n.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
			}
		}
	}
}

// runTransports runs the transports until the context ends, and returns when all have stopped.
func runTransports(ctx context.Context, transports map[string]*transport, deliveries chan<- delivery) {
	var wg sync.WaitGroup
	for _, t := range transports {
		wg.Go(func() { t.run(ctx, deliveries) })
	}
	wg.Wait()
}

// run sends queued messages until the context ends, and reports on their delivery where raft requires it.
func (t *transport) run(ctx context.Context, deliveries chan<- delivery) {
	for {
		batch := t.nextBatch(ctx)
		if len(batch) == 0 {
			return
		}
		for _, d := range outcomes(batch, t.deliver(ctx, batch)) {
			select {
			case deliveries <- d:
			case <-ctx.Done():
				return
			}
		}
	}
}

// nextBatch waits for a message and returns it with the messages queued after it, or nil once the context ends.
func (t *transport) nextBatch(ctx context.Context) []*pb.Message {
	var batch []*pb.Message
	select {
	case m := <-t.queue:
		batch = append(batch, m)
	case <-ctx.Done():
		return nil
	}
	for len(batch) < maxBatch {
		select {
		case m := <-t.queue:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

// outcomes returns the reports to raft for one call: one for each snapshot and, if the call failed, at most one more
// for each member that it had messages for.
func outcomes(batch []*pb.Message, err error) []delivery {
	var list []delivery
	reported := map[uint64]bool{}
	for _, m := range batch {
		isSnapshot := m.GetType() == pb.MsgSnap
		if !isSnapshot && (err == nil || reported[m.GetTo()]) {
			continue
		}
		reported[m.GetTo()] = true
		list = append(list, delivery{m.GetTo(), isSnapshot, err == nil})
	}
	return list
}

// deliver sends a batch in one call.
func (t *transport) deliver(ctx context.Context, batch []*pb.Message) error {
	timeout := callTimeout
	if slices.ContainsFunc(batch, func(m *pb.Message) bool { return m.GetType() == pb.MsgSnap }) {
		timeout = snapshotTimeout
	}
	body, err := pack(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(nameHeader, t.from)
	t.calls.Add(1)
	t.bytes.Add(int64(len(body)))
	response, err := t.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}

// pack encodes messages, each preceded by its length in four bytes.
func pack(list []*pb.Message) ([]byte, error) {
	var body []byte
	for _, m := range list {
		data, err := proto.Marshal(m)
		if err != nil {
			return nil, err
		}
		body = append(binary.BigEndian.AppendUint32(body, uint32(len(data))), data...)
	}
	return body, nil
}

// errTruncated is returned for a body that ends within a message.
var errTruncated = errors.New("cut short")

// unpack decodes a body that pack has encoded.
func unpack(body []byte) (list []*pb.Message, err error) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, errTruncated
		}
		n := binary.BigEndian.Uint32(body)
		if body = body[4:]; uint64(n) > uint64(len(body)) {
			return nil, errTruncated
		}
		m := &pb.Message{}
		if err := proto.Unmarshal(body[:n], m); err != nil {
			return nil, err
		}
		list, body = append(list, m), body[n:]
	}
	return list, nil
}

// Receive is the HTTP handler for messages of other agents, at Path. It responds with status 400 to a body that can't
// be decoded, and with 410 to a message for a member other than this node.
func (n *Node) Receive(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
	if err != nil {
		http.Error(w, "messages: "+err.Error(), http.StatusBadRequest)
		return
	}
	list, err := unpack(body)
	if err != nil {
		http.Error(w, "messages: "+err.Error(), http.StatusBadRequest)
		return
	}
	for _, m := range list {
		if m.GetTo() != n.storage.member.Number {
			http.Error(w, "another member is meant", http.StatusGone)
			return
		}
		select {
		case n.incoming <- incomingMessage{m, r.Header.Get(nameHeader)}:
		case <-n.ended:
			http.Error(w, "stopped", http.StatusServiceUnavailable)
			return
		default: // raft repeats messages that are dropped here
		}
	}
}
