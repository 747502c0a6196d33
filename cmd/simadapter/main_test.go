package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"slices"
	"strings"
	"testing"

	"cleathold/control"
)

const testSettings = `{"siblings": 1, "tick-ms": 5,
	"profiles": [{"aim-ms": 1000, "deadline-ms": 8000, "effect": "safe", "worth": 1}],
	"kinds": ["k"], "specifics": {"max-calls": 4, "kind-batch": [1]}, "limits": {"send-cap": 5}}`

// batchBuilder encodes batches of events as the simulator sends them.
type batchBuilder struct {
	bytes.Buffer
	body []byte
}

func (s *batchBuilder) append(parts ...any) *batchBuilder {
	for _, p := range parts {
		s.body, _ = binary.Append(s.body, binary.LittleEndian, p)
	}
	return s
}

func (s *batchBuilder) start(who uint16, settings string) *batchBuilder {
	return s.append(uint8(7), who, uint64(who), uint32(len(settings)), []byte(settings))
}

func (s *batchBuilder) sendEndpointList(who uint16, endpoint uint32) *batchBuilder {
	s.append(uint8(10), uint16(0), uint32(1), endpoint, uint8(0), uint16(0), uint16(3), uint8(1), float32(1), float64(0))
	return s.append(uint8(3), who, uint64(1), uint16(0), uint8(2))
}

func (s *batchBuilder) submit(who uint16, txn uint32) *batchBuilder {
	return s.append(uint8(9), who, txn, uint16(0), float64(0), float32(3), float64(8000), uint64(0), uint8(0), uint32(0))
}

func (s *batchBuilder) endBatch(clock float64) *batchBuilder {
	head, _ := binary.Append(nil, binary.LittleEndian, uint32(len(s.body)))
	head, _ = binary.Append(head, binary.LittleEndian, clock)
	s.Write(append(head, s.body...))
	s.body = nil
	return s
}

// decodeReplies returns the instance and message of each Forward action and the text of each Bug action in the replies.
func decodeReplies(t *testing.T, out []byte) (forwards [][2]uint32, bugs []string) {
	t.Helper()
	for len(out) >= 8 {
		n := binary.LittleEndian.Uint32(out)
		body := out[8 : 8+n]
		out = out[8+n:]
		for len(body) > 0 {
			who := uint32(binary.LittleEndian.Uint16(body[1:]))
			switch body[0] {
			case 9:
				forwards = append(forwards, [2]uint32{who, binary.LittleEndian.Uint32(body[3:])})
				body = body[19:]
			case 7:
				body = body[15:]
			case 4:
				n := binary.LittleEndian.Uint16(body[3:])
				bugs = append(bugs, string(body[5:5+n]))
				body = body[5+n:]
			default:
				t.Fatalf("unexpected action %d", body[0])
			}
		}
	}
	return forwards, bugs
}

// TestInstancesAreIndependent checks that instances take the same actions whether they share a process or not.
func TestInstancesAreIndependent(t *testing.T) {
	both := new(batchBuilder)
	both.start(1, testSettings).sendEndpointList(1, 40).start(2, testSettings).sendEndpointList(2, 41).endBatch(1000)
	both.submit(1, 7).submit(2, 8).submit(1, 9).endBatch(1005)
	var out bytes.Buffer
	if err := run(both, &out); err != nil {
		t.Fatal(err)
	}
	got, _ := decodeReplies(t, out.Bytes())
	var want [][2]uint32
	for _, who := range []uint16{1, 2} {
		separate := new(batchBuilder)
		separate.start(who, testSettings).sendEndpointList(who, 39+uint32(who)).endBatch(1000)
		if who == 1 {
			separate.submit(1, 7).submit(1, 9).endBatch(1005)
		} else {
			separate.submit(2, 8).endBatch(1005)
		}
		out.Reset()
		if err := run(separate, &out); err != nil {
			t.Fatal(err)
		}
		f, _ := decodeReplies(t, out.Bytes())
		want = append(want, f...)
	}
	if len(got) != 3 || len(want) != 3 || !slices.Equal(got, want) {
		t.Fatalf("in one process %v, in separate processes %v", got, want)
	}
}

func TestInvalidSettingsReportedAsInstanceBug(t *testing.T) {
	s := new(batchBuilder)
	s.start(1, `{"profiles": []}`).start(2, "nonsense").start(3, testSettings).
		sendEndpointList(3, 40).submit(3, 5).submit(1, 6).endBatch(1)
	var out bytes.Buffer
	if err := run(s, &out); err != nil {
		t.Fatal(err)
	}
	sent, bugs := decodeReplies(t, out.Bytes())
	if len(bugs) != 2 || !strings.Contains(bugs[0], "Classes") || !strings.Contains(bugs[1], "profile-data") {
		t.Errorf("bugs %q", bugs)
	}
	if len(sent) != 1 || sent[0] != [2]uint32{3, 5} {
		t.Errorf("sent %v", sent)
	}
}

func TestDestroyedAndUnknownInstances(t *testing.T) {
	s := new(batchBuilder)
	s.start(1, testSettings).sendEndpointList(1, 40).append(uint8(4), uint16(1)).submit(1, 5).submit(9, 6).endBatch(1)
	s.append(uint8(2), uint16(1), uint32(77)).endBatch(2)
	var out bytes.Buffer
	if err := run(s, &out); err != nil {
		t.Fatal(err)
	}
	if sent, bugs := decodeReplies(t, out.Bytes()); len(sent)+len(bugs) != 0 {
		t.Errorf("sent %v, bugs %q", sent, bugs)
	}
}

func TestTruncatedInputIsAnError(t *testing.T) {
	s := new(batchBuilder)
	s.start(1, testSettings).endBatch(math.Pi)
	data := s.Bytes()
	for _, n := range []int{5, 20, len(data) - 1} {
		if err := run(bytes.NewReader(data[:n]), new(bytes.Buffer)); err == nil || !strings.Contains(err.Error(), "cut off") {
			t.Errorf("input truncated to %d bytes: %v", n, err)
		}
	}
	unknownList := new(batchBuilder)
	unknownList.start(1, testSettings).append(uint8(3), uint16(1), uint64(1), uint16(5), uint8(1)).endBatch(1)
	if err := run(unknownList, new(bytes.Buffer)); err == nil || !strings.Contains(err.Error(), "list 5") {
		t.Errorf("Discovery with a list that was not sent: %v", err)
	}
}

func (s *batchBuilder) retune(who uint16, settings string) *batchBuilder {
	return s.append(uint8(128), who, uint32(len(settings)), []byte(settings))
}

// TestRetune changes the settings of a running instance. More slots let more messages out. A class inserted before the
// others must not change the class of messages that are queued or submitted later. Invalid settings change nothing.
func TestRetune(t *testing.T) {
	oneSlot := strings.Replace(testSettings, `"max-calls": 4`, `"max-calls": 1`, 1)
	extraClass := strings.Replace(oneSlot, `"profiles": [`,
		`"profiles": [{"aim-ms": 5, "deadline-ms": 10, "effect": "unsafe", "worth": 1}, `, 1)
	for _, c := range []struct {
		name, settings string
		class          uint16
		want           int // number of messages sent
		bug            string
	}{
		{"none", "", 0, 1, ""},
		{"more slots", testSettings, 0, 3, ""},
		{"a class in front", strings.Replace(extraClass, `"max-calls": 1`, `"max-calls": 4`, 1), 1, 3, ""},
		{"not readable", "nonsense", 0, 1, "new settings: profile-data"},
		{"without classes", `{"profiles": []}`, 0, 1, "new settings: "},
	} {
		s := new(batchBuilder)
		s.start(1, oneSlot).sendEndpointList(1, 40).endBatch(1000)
		s.submit(1, 5).submit(1, 6).endBatch(1005)
		if c.settings != "" {
			s.retune(1, c.settings).retune(9, c.settings) // there is no instance 9
		}
		s.append(uint8(9), uint16(1), uint32(7), c.class, float64(0), float32(3), float64(8000), uint64(0), uint8(0),
			uint32(0)).endBatch(1200)
		s.append(uint8(8), uint16(1), uint32(0)).endBatch(1300)
		var out bytes.Buffer
		if err := run(s, &out); err != nil {
			t.Fatal(err)
		}
		sent, bugs := decodeReplies(t, out.Bytes())
		if len(sent) != c.want || len(bugs) > 1 || (len(bugs) == 1) != (c.bug != "") ||
			len(bugs) == 1 && !strings.HasPrefix(bugs[0], c.bug) {
			t.Errorf("%s: sent %v, bugs %q", c.name, sent, bugs)
		}
	}
}

// TestClassNumbers checks that classes keep their numbers in the controller wherever they stand in new settings, and
// that two equal classes stay separate.
func TestClassNumbers(t *testing.T) {
	a, b, c := control.Class{PriorityWeight: 1}, control.Class{PriorityWeight: 2}, control.Class{PriorityWeight: 3}
	i := &instance{}
	for _, step := range []struct {
		classes []control.Class
		numbers []int
		known   int
	}{
		{[]control.Class{a, b, a}, []int{0, 1, 2}, 3},
		{[]control.Class{c, b}, []int{3, 1}, 4},
		{[]control.Class{a, a, c}, []int{0, 2, 3}, 4},
	} {
		set := control.Settings{Classes: step.classes}
		i.renumberClasses(&set)
		if !slices.Equal(i.classNumbers, step.numbers) || len(set.Classes) != step.known ||
			i.classNumber(len(step.classes)) != -1 {
			t.Errorf("%v: class numbers %v of %d", step.classes, i.classNumbers, len(set.Classes))
		}
	}
}
