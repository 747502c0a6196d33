package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

func decodeHex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame returns a frame with a header and a body.
func frame(body []byte) []byte {
	n := len(body)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24), 0, 0, 0, 0, 0x20, 0x6e, 0xc0, 0x40}, body...)
}

func read(data []byte) (Batch, error) { return NewReader(bytes.NewReader(data)).Next() }

// Checks the byte layout of each event. An event that is truncated at any byte must result in an error.
func TestDecodeLayouts(t *testing.T) {
	for name, c := range map[string]struct {
		bytes string
		want  Event
	}{
		"start":     {"07 0200 0807060504030201 02000000 7b7d", Start{2, 0x0102030405060708, []byte("{}")}},
		"destroy":   {"04 0300", Destroy{3}},
		"discovery": {"03 0300 2900000000000000 0400 02", Discovery{3, 41, 4, FormCached}},
		"job": {"09 0300 c4913a5d 0100 0000000000002840 00006442 0000000000006e40 640ad2557c3bf091 03 02000000",
			JobIn{3, 0x5d3a91c4, 1, 12, 57, 240, 0x91f03b7c55d20a64, 3, 2}},
		"first": {"06 0300 01000000 0200 0000000000802240 05000000", First{3, 1, 2, 9.25, 5}},
		"report": {"01 0300 01000000 0200 05000000 c800 0000000000803240 01 07000000 02 0000803e 0000a03f",
			ReportBack{3, 1, 2, 5, 200, 18.5, true, 7, []float32{0.25, 1.25}}},
		"expired": {"02 0300 192b6f0e", Expired{3, 0x0e6f2b19}},
		"wakeup":  {"08 0300 4d000000", Wakeup{3, 77}},
		"pong":    {"05 0300 05000000 0000000000003e40 f601 00", Pong{3, 5, 30, 502, nil}},
		"memo":    {"0b 0300 02000000 0200 6869", Memo{3, 2, []byte("hi")}},
		"census": {"0a 0100 01000000 05000000 01 0200 3900 01 0000803f 0000000000003e40",
			Census{1, []Entry{{5, 1, 2, 57, 1, 1, 30}}}},
	} {
		body := decodeHex(t, c.bytes)
		b, err := read(frame(body))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if b.ClockMs <= 0 || len(b.Events) != 1 || !reflect.DeepEqual(b.Events[0], c.want) {
			t.Errorf("%s: got %+v, want %+v", name, b.Events, c.want)
		}
		for cut := 1; cut < len(body); cut++ {
			if _, err := read(frame(body[:cut])); err == nil || !strings.Contains(err.Error(), "byte ") {
				t.Errorf("%s cut to %d bytes: error %v", name, cut, err)
			}
		}
	}
}

func TestReaderErrors(t *testing.T) {
	if _, err := read(nil); !errors.Is(err, io.EOF) {
		t.Errorf("end between frames: %v", err)
	}
	for name, data := range map[string][]byte{
		"header cut off":                   {1, 2, 3},
		"body cut off":                     {255, 255, 255, 255, 0, 0, 0, 0, 0, 0, 0, 0, 1},
		"unknown event code 99":            frame([]byte{99}),
		"Census counts":                    frame(decodeHex(t, "0a 0100 ffffffff 00")),
		"Start settings needs":             frame(decodeHex(t, "07 0200 0807060504030201 ffffffff")),
		"the clock is not a finite number": {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xf8, 0x7f},
		"ReportBack needs 8 bytes,":        frame(decodeHex(t, "01 0300 01000000 0200 05000000 c800 00000000 ")),
	} {
		if _, err := read(data); err == nil || errors.Is(err, io.EOF) || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestReplyLayout(t *testing.T) {
	var r Reply
	r.Forward(3, 0x5d3a91c4, 0x03121a4a, 80)
	r.Withdraw(3, 1, 2)
	r.OverloadReply(3, 1, 250)
	r.Fail(3, 1)
	r.Test(3, 5)
	r.Disconnect(3, 5)
	r.Watch(3, true)
	r.Watch(3, false)
	r.Lookup(3)
	r.Arm(3, 500, 77)
	r.JournalLine(3, "hi")
	r.Bug(3, "no")
	want := decodeHex(t, `09 0300 c4913a5d 4a1a1203 0000000000005440  06 0300 01000000 0200
		03 0300 01000000 0000000000406f40  0a 0300 01000000  08 0300 05000000  05 0300 05000000
		0b 0300 01  0b 0300 00  01 0300  07 0300 0000000000407f40 4d000000  02 0300 0200 6869  04 0300 0200 6e6f`)
	var out bytes.Buffer
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	head := []byte{byte(len(want)), 0, 0, 0, 12, 0, 0, 0}
	if !bytes.Equal(out.Bytes(), append(head, want...)) {
		t.Fatalf("got  %x\nwant %x%x", out.Bytes(), head, want)
	}
	r.Reset()
	out.Reset()
	if _, err := r.WriteTo(&out); err != nil || !bytes.Equal(out.Bytes(), make([]byte, 8)) {
		t.Fatalf("empty reply: %x, %v", out.Bytes(), err)
	}
}
