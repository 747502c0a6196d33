package lifecycle

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"cleathold/control"
	"cleathold/internal/protocol"
	"cleathold/internal/settings"
	"cleathold/internal/state"
	"cleathold/internal/wire"
)

// Config is the configuration of a sender, from its file, its environment and its script.
type Config struct {
	Name, Listen, Discovery, State string
	Admin                          string   // the second address, for the operators; empty = none
	PeerListen, PeersAll           string   // where gossip of the peers comes in, and the address that reaches all
	Peers                          []string // where the peers' gossip comes from, by their numbers
	Release                        string   // as whoever starts the process calls its version; may be empty
	Limits                         Limits
	Settings                       control.Settings
	Names                          protocol.Names
	Known                          state.ListUpdate
	OwnSettings                    *settings.Settings // of the script; nil: no script was named

	raw     string             // the file's text
	classes []state.NamedClass // the classes of the settings in force, as they stood in the file
}

// Limits are what the machine gives; 0 cores or MB of memory = unlimited.
type Limits struct {
	Cores     float64
	MemoryMB  float64
	Sockets   int // file descriptors
	DiskBytes int64
}

const (
	// Where the configuration leaves a limit out.
	defaultSockets = 1024
	defaultDiskMB  = 3

	// minSockets are the descriptors without which a sender does not work: those of discovery, the platform, the listener,
	// gossip, the write-ahead log's files and a few clients.
	minSockets = 32
)

// Load reads a configuration file, and the script with settings of our own if one is named. The environment's
// LB_NAME, LB_LISTEN and LB_STATE go before what stands in the file. LB_DISCOVERY only fills its place where the file
// names none: the file can be replaced under a process that runs, its environment can't. Errors of the file begin
// with "configuration:".
func Load(path, script string, env func(string) string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(text, env)
	if err == nil && script != "" {
		c.OwnSettings, err = settings.Load(script)
	}
	return c, err
}

// namedClasses lists the classes of settings that have just been read, by their numbers.
func (c Config) namedClasses() []state.NamedClass {
	names := namesByNumber(c.Names.Classes)
	list := make([]state.NamedClass, len(c.Settings.Classes))
	for i, k := range c.Settings.Classes {
		list[i] = state.NamedClass{Name: names[i], Class: k}
	}
	return list
}

// namesByNumber lists names that were numbered.
func namesByNumber(numbers map[string]int) []string {
	list := make([]string, len(numbers))
	for name, i := range numbers {
		if i < len(list) {
			list[i] = name
		}
	}
	return list
}

// Parse reads a configuration file's text. env looks up a variable of the environment.
func Parse(text []byte, env func(string) string) (Config, error) {
	if !gjson.ValidBytes(text) {
		return Config{}, errors.New("configuration: not JSON")
	}
	doc := gjson.ParseBytes(text)
	c := Config{raw: string(text), Release: env("CLEATHOLD_RELEASE")}
	if err := c.parseAddresses(doc, env); err != nil {
		return c, err
	}
	var err error
	if c.Limits, err = parseLimits(doc.Get("limits")); err != nil {
		return c, err
	}
	if err := c.parseSettings(doc.Get("settings"), doc.Get("seed").String()); err != nil {
		return c, err
	}
	c.PeerListen, c.PeersAll = doc.Get("peer_listen").String(), doc.Get("peers_all").String()
	for _, p := range doc.Get("peers").Array() {
		c.Peers = append(c.Peers, p.String())
	}
	c.Known.Version = state.NoVersion
	if known := doc.Get("known"); known.Exists() {
		if c.Known, err = protocol.ParseList([]byte(known.Raw), c.Names); err != nil {
			return c, fmt.Errorf("configuration: known: %w", err)
		}
	}
	c.Known.Kind = control.ListCached
	return c, nil
}

// parseAddresses reads where the sender listens, polls and keeps its state.
func (c *Config) parseAddresses(doc gjson.Result, env func(string) string) error {
	for _, f := range []struct {
		field         *string
		variable, key string
	}{
		{&c.Name, "LB_NAME", "name"}, {&c.Listen, "LB_LISTEN", "listen"},
		{&c.Discovery, "LB_DISCOVERY", "discovery"}, {&c.State, "LB_STATE", "state"}, {&c.Admin, "LB_ADMIN", "admin"},
	} {
		value, fallback := env(f.variable), doc.Get(f.key).String()
		if f.field == &c.Discovery {
			value, fallback = fallback, value
		}
		if *f.field = value; value == "" {
			*f.field = fallback
		}
		if *f.field == "" && f.key != "name" && f.key != "admin" {
			return fmt.Errorf("configuration: neither %q nor %s given", f.key, f.variable)
		}
	}
	return nil
}

// parseSettings reads the controller's settings, and the names that they number.
func (c *Config) parseSettings(doc gjson.Result, seedText string) error {
	seed, err := parseSeed(seedText)
	if err != nil {
		return err
	}
	if !doc.IsObject() {
		return errors.New("configuration: no settings")
	}
	if err := checkPositive(doc); err != nil {
		return err
	}
	if c.Settings, err = wire.ParseSettings([]byte(doc.Raw), seed); err == nil {
		_, err = control.New(c.Settings, nil)
	}
	if err != nil {
		return fmt.Errorf("configuration: settings: %w", err)
	}
	c.Names = protocol.Names{
		Classes: numberNames(doc.Get("profiles.#.name")), Tenants: numberNames(doc.Get("tenants.#.name")),
		Zones: numberNames(doc.Get("zones")), Kinds: numberNames(doc.Get("kinds")),
	}
	for _, list := range []string{"profiles", "tenants"} {
		if err := checkNames(list, doc.Get(list)); err != nil {
			return err
		}
	}
	return checkSockets(c.Limits, c.Settings)
}

// checkNames wants a name of its own for each entry of a list.
func checkNames(key string, entries gjson.Result) error {
	seen := map[string]bool{}
	for i, e := range entries.Array() {
		switch name := e.Get("name").String(); {
		case name == "":
			return fmt.Errorf("configuration: settings: %s[%d].name: missing", key, i)
		case seen[name]:
			return fmt.Errorf("configuration: settings: %s[%d].name: %q: two of one name", key, i, name)
		default:
			seen[name] = true
		}
	}
	return nil
}

// checkSockets wants descriptors enough for the calls that the settings allow, besides what the sender needs itself.
func checkSockets(l Limits, s control.Settings) error {
	if minimum := s.MaxInFlight + minSockets; l.Sockets < minimum {
		return fmt.Errorf("configuration: limits.sockets: %d: %d wanted at least, for specifics.max-calls %d",
			l.Sockets, minimum, s.MaxInFlight)
	}
	return nil
}

// checkPositive wants the settings that must be numbers above 0 to be so, where they are given.
func checkPositive(doc gjson.Result) error {
	var err error
	positive := func(name string, v gjson.Result, required bool) {
		if err == nil && (v.Exists() || required) && (v.Type != gjson.Number || v.Float() <= 0) {
			err = fmt.Errorf("configuration: settings: %s: %q: a number above 0 wanted", name, v.Raw)
		}
	}
	positive("specifics.max-calls", doc.Get("specifics.max-calls"), true)
	for i, p := range doc.Get("profiles").Array() {
		positive(fmt.Sprintf("profiles[%d].deadline-ms", i), p.Get("deadline-ms"), true)
		if p.Get("effect").String() == "keyed" {
			positive(fmt.Sprintf("profiles[%d].memory-span-ms", i), p.Get("memory-span-ms"), true)
		}
	}
	return err
}

// parseSeed reads a seed of hexadecimal digits; without one it is the time.
func parseSeed(s string) (uint64, error) {
	if s == "" {
		return uint64(time.Now().UnixNano()), nil
	}
	seed, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("configuration: seed %q: up to 16 hexadecimal digits wanted", s)
	}
	return seed, nil
}

// parseLimits reads the limits and fills in their defaults.
func parseLimits(doc gjson.Result) (Limits, error) {
	l := Limits{
		Cores: doc.Get("cores").Float(), MemoryMB: doc.Get("memory_mb").Float(),
		Sockets: int(doc.Get("sockets").Int()),
	}
	disk := doc.Get("disk_mb").Float()
	if l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 || disk < 0 {
		return l, errors.New("configuration: a limit is negative")
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if disk == 0 {
		disk = defaultDiskMB
	}
	l.DiskBytes = int64(disk * 1e6) // the smaller of the two megabytes
	return l, nil
}

// numberNames numbers a list of names.
func numberNames(list gjson.Result) map[string]int {
	m := map[string]int{}
	for i, n := range list.Array() {
		m[n.String()] = i
	}
	return m
}
