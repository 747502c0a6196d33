package wire

import (
	"encoding/binary"
	"io"
	"math"
)

// Codes of the action types in a reply.
const (
	actLookup        = 1
	actJournalLine   = 2
	actOverloadReply = 3
	actBug           = 4
	actDisconnect    = 5
	actWithdraw      = 6
	actArm           = 7
	actTest          = 8
	actForward       = 9
	actFail          = 10
	actWatch         = 11
	actSay           = 12
)

// Reply collects the actions that are sent in response to one batch.
type Reply struct {
	body  []byte
	count uint32
}

// Reset removes all actions, so that the reply can be used for the next batch.
func (r *Reply) Reset() { r.body, r.count = r.body[:0], 0 }

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	frame := binary.LittleEndian.AppendUint32(make([]byte, 0, 8+len(r.body)), uint32(len(r.body)))
	frame = binary.LittleEndian.AppendUint32(frame, r.count)
	n, err := w.Write(append(frame, r.body...))
	return int64(n), err
}

// record appends the code and the instance of an action. The caller appends its arguments.
func (r *Reply) record(code uint8, who uint16) {
	r.count++
	r.body = append(r.body, code)
	r.u16(who)
}

// recordID appends an action whose only argument is the number of a message or endpoint.
func (r *Reply) recordID(code uint8, who uint16, id uint32) {
	r.record(code, who)
	r.u32(id)
}

// recordText appends an action whose only argument is a string.
func (r *Reply) recordText(code uint8, who uint16, text string) {
	r.record(code, who)
	r.text(text)
}

func (r *Reply) u16(v uint16) { r.body = binary.LittleEndian.AppendUint16(r.body, v) }
func (r *Reply) u32(v uint32) { r.body = binary.LittleEndian.AppendUint32(r.body, v) }
func (r *Reply) f64(v float64) {
	r.body = binary.LittleEndian.AppendUint64(r.body, math.Float64bits(v))
}

// text appends the length of a string and the string. It truncates strings of 64 KiB or more.
func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.u16(uint16(len(s)))
	r.body = append(r.body, s...)
}

// Forward sends a message to an endpoint. The attempt times out after tryForMs milliseconds without a response.
func (r *Reply) Forward(who uint16, txn, endpoint uint32, tryForMs float64) {
	r.record(actForward, who)
	r.u32(txn)
	r.u32(endpoint)
	r.f64(tryForMs)
}

// Withdraw cancels one attempt.
func (r *Reply) Withdraw(who uint16, txn uint32, sendNo uint16) {
	r.record(actWithdraw, who)
	r.u32(txn)
	r.u16(sendNo)
}

// OverloadReply rejects a message. Its client may submit it again after retryAfterMs milliseconds.
func (r *Reply) OverloadReply(who uint16, txn uint32, retryAfterMs float64) {
	r.record(actOverloadReply, who)
	r.u32(txn)
	r.f64(retryAfterMs)
}

// Fail ends a message as failed.
func (r *Reply) Fail(who uint16, txn uint32) { r.recordID(actFail, who, txn) }

// Test sends a health check to an endpoint.
func (r *Reply) Test(who uint16, endpoint uint32) { r.recordID(actTest, who, endpoint) }

// Disconnect closes the idle connections to an endpoint.
func (r *Reply) Disconnect(who uint16, endpoint uint32) { r.recordID(actDisconnect, who, endpoint) }

// Watch subscribes to the endpoint list, or ends the subscription.
func (r *Reply) Watch(who uint16, enable bool) {
	r.record(actWatch, who)
	var on byte
	if enable {
		on = 1
	}
	r.body = append(r.body, on)
}

// Lookup requests the full endpoint list once.
func (r *Reply) Lookup(who uint16) { r.record(actLookup, who) }

// Arm requests a Wakeup after delayMs milliseconds.
func (r *Reply) Arm(who uint16, delayMs float64, nonce uint32) {
	r.record(actArm, who)
	r.f64(delayMs)
	r.u32(nonce)
}

// allInstances is the receiver of a Say that is sent to all other instances.
const allInstances = math.MaxUint32

// Say sends gossip to all other instances.
func (r *Reply) Say(who uint16, blob []byte) {
	r.record(actSay, who)
	r.u32(allInstances)
	r.text(string(blob))
}

// JournalLine adds a line to the simulator's report.
func (r *Reply) JournalLine(who uint16, msg string) { r.recordText(actJournalLine, who, msg) }

// Bug reports that the decision code of an instance has failed.
func (r *Reply) Bug(who uint16, msg string) { r.recordText(actBug, who, msg) }
