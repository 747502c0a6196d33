package settings

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const heldCall = "held(folder = \"/h\")\n"

// Errors of a script start with file, line and column, followed by the cause.
func TestErrorPositions(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"syntax", "held(folder = \n\n", "s.star:3:1: got end of file"},
		{"unknown name", "x = 1\n  \ny = what", "s.star:3:5: undefined: what"},
		{"unknown bound", "held(folder = \"/h\", colour = 1)", "s.star:1:5: held: unexpected keyword argument \"colour\""},
		{"bad bound", "\nheld(folder = \"/h\", max_records = 0)", "s.star:2:5: held: max_records"},
		{"twice", heldCall + heldCall, "s.star:2:5: held: called twice"},
		{"no store", "def hold(record, partner):\n  return HOLD", "s.star: rules hold and after require a dead-letter queue"},
		{"shape", heldCall + "def hold(record):\n  return HOLD", "s.star:2:1: hold must have the parameters (record, partner)"},
		{"no function", heldCall + "hold = 1", "s.star: hold is a int"},
		{"load", "load(\"x\", \"y\")", "s.star:1:1: load"},
		{"span", "resend(within = -1)", "s.star:1:7: within: got"},
		{"nan", "resend(within = float(\"nan\"))", "s.star:1:7: within: got"},
		{"method", "x = \"a\".join([])", "s.star:1:9: no field or method .join"},
		{"union", "x = {} | {}", "s.star:1:5: the operator |"},
		{"steps", "def f():\n  for i in range(10000):\n    for j in range(10000):\n      pass\nf()",
			"s.star:3:5: Starlark computation cancelled: too many steps"},
		{"durability", "\njournal(durability = \"some\")", "s.star:2:8: journal: durability: \"some\" is not process"},
		{"long wait", "journal(durability = \"group\", wait = 2)", "s.star:1:8: journal: wait must be at most one second"},
		{"socket", "admin(socket = \"/" + strings.Repeat("x", 120) + "\")", "s.star:1:6: admin: the path of the socket must"},
		{"agent without itself", `agent(name = "a", listen = "127.0.0.1:1", folder = "f", agents = {"b": "127.0.0.1:2"}, version = "v", program = "p")`, "s.star:1:6: agent: agents: the agent itself, a, is missing"},
		{"no agent", "budget(fleet = 2)", "s.star: sender, budget and timing require an agent"},
		{"no budget", "budget(fleet = 0)", "s.star:1:7: budget: fleet must be at least 1"},
		{"one address twice", `sender(name = "n", config = "c", admin = ["127.0.0.1:1", "127.0.0.1:1"])`,
			"s.star:1:7: sender: admin: 127.0.0.1:1 is already in use"},
		{"no address", `sender(name = "n", config = "c", admin = ["127.0.0.1:1", 5])`,
			"s.star:1:7: sender: admin: 5 is not a host:port address"},
		{"two of a name", "def f(p):\n  return sender(name = \"n\", config = \"c\", admin = [p + \":1\", p + \":2\"])\nx = [f(p) for p in [\"a\", \"b\"]]", "s.star:2:16: sender: duplicate name n"},
		{"change", `sender(name = "n", config = "c", admin = ["127.0.0.1:1", "127.0.0.1:2"], change = "magic")`,
			"s.star:1:7: sender: change: \"magic\""},
		{"timing", "timing(lease = 0)", "s.star:1:7: timing: lease"},
	} {
		_, err := Parse("s.star", []byte(c.text))
		var own *Error
		if !errors.As(err, &own) || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.name, err, c.want)
		}
	}
}

// Scripts can't create values that exhaust memory within their limit of steps.
func TestRejectsOversizedValues(t *testing.T) {
	for _, text := range []string{
		`x = "x" * 1000000000`, `x = [0] * 1000000000`, `x = range(1000000000)`, `x = 1 << 60 << 60 << 1`,
		"def f():\n  s = \"xx\"\n  for i in range(40):\n    s += s\nf()",
		"def f():\n  s = [1]\n  for i in range(40):\n    s = s + s\nf()",
		"def f():\n  n = 2\n  for i in range(60):\n    n *= n\nf()",
		"def f():\n  s = [1]\n  for i in range(40):\n    s.extend(s)\nf()",
		`x = getattr("x", "join")`, `x = str([1])`, `x = "%s" % "y"`, `x = "{}".format(1)`,
	} {
		if _, err := Parse("s.star", []byte(text)); err == nil {
			t.Errorf("script was accepted: %s", text)
		}
	}
}

// ShouldHold and Decide return the results of the rules, and their defaults with an error if a rule fails or returns a
// wrong type.
func TestRules(t *testing.T) {
	const text = heldCall + `
resend(within = 5 * MINUTE)

def hold(record, partner):
    if record.message_class == "status":
        return GIVE_BACK
    if record.message_class == "loop":
        for i in range(10000):
            for j in range(10000):
                pass
    if record.message_class == "odd":
        return 7
    return HOLD if record.left < 3 or partner.failing > 10 else GIVE_BACK

def after(record, partner):
    n = 0
    n += record.resends
    if n >= 3:
        return drop()
    if partner.wait_left > 0:
        return keep(partner.wait_left)
    if record.tenant == "bad":
        return again(within = record.id)
    return again(delay = 2)
`
	s, err := Parse("s.star", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		r    Record
		p    Partner
		want bool
		err  string
	}{
		{"status", Record{Class: "status"}, Partner{}, false, ""},
		{"little time", Record{Class: "print", TimeLeft: time.Second}, Partner{}, true, ""},
		{"partner down", Record{Class: "print", TimeLeft: time.Minute}, Partner{Failing: time.Minute}, true, ""},
		{"else", Record{Class: "print", TimeLeft: time.Minute}, Partner{}, false, ""},
		{"endless, would be deferred", Record{Class: "loop", Deferred: true}, Partner{}, false, "s.star:10:"},
		{"endless, would not be deferred", Record{Class: "loop"}, Partner{}, true, "too many steps"},
		{"wrong result type", Record{Class: "odd"}, Partner{}, true, "hold returned int"},
	} {
		got, err := s.ShouldHold(c.r, c.p)
		if got != c.want || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("hold, %s: %t %v", c.name, got, err)
		}
	}
	for _, c := range []struct {
		name string
		r    Record
		p    Partner
		want Decision
		err  bool
	}{
		{"again", Record{}, Partner{}, Decision{Action: Redeliver, Delay: 2 * time.Second, Within: 5 * time.Minute}, false},
		{"Retry-After", Record{}, Partner{RetryAfter: time.Minute}, Decision{Action: KeepRecord, ReviewIn: time.Minute},
			false},
		{"redelivered often enough", Record{Redeliveries: 3}, Partner{}, Decision{Action: DropRecord}, false},
		{"a failed rule keeps the record", Record{Tenant: "bad"}, Partner{}, Decision{}, true},
	} {
		if got, err := s.Decide(c.r, c.p); got != c.want || (err != nil) != c.err {
			t.Errorf("after, %s: %+v %v", c.name, got, err)
		}
	}
}

// Summary describes the failures that each durability level survives.
func TestJournal(t *testing.T) {
	for text, want := range map[string]string{
		"": "over kills", "journal(durability = \"group\", wait = 0.002)": "but for the last 2ms",
		"journal(durability = \"each\")": "kills and power cuts",
	} {
		s, err := Parse("s.star", []byte(text))
		if err != nil || !strings.Contains(s.Summary(), want) {
			t.Errorf("%q: %v, %s", text, err, s.Summary())
		}
	}
}
