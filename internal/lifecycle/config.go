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

// Config is the configuration of a sender, read from its file, its environment variables and its settings script.
type Config struct {
	Name, Listen, Discovery, State string
	Admin                          string   // TCP admin address for operators; empty: none
	PeerListen, PeersAll           string   // receive address for gossip, and the address that reaches all peers
	Peers                          []string // source addresses of the peers' gossip, by peer index
	Release                        string   // release name given by the environment at start; may be empty
	Limits                         Limits
	Settings                       control.Settings
	Names                          protocol.Names
	CachedList                     state.ListUpdate
	ScriptSettings                 *settings.Settings // from the settings script; nil: no script is configured

	raw     string             // contents of the file
	classes []state.NamedClass // classes of the settings in force, in the order of the file
}

// Limits are the resource limits of the process. Zero cores or zero MB of memory means unlimited.
type Limits struct {
	Cores     float64
	MemoryMB  float64
	Sockets   int // file descriptors
	DiskBytes int64
}

const (
	// Defaults for limits that the configuration leaves out.
	defaultSockets = 1024
	defaultDiskMB  = 3

	// minSockets is the number of file descriptors that a sender needs besides those of its calls: for discovery, the
	// platform, the listener, gossip, the files of the write-ahead log and a few clients.
	minSockets = 32
)

// Load reads a configuration file and, if its path is not empty, the settings script. The environment variables
// LB_NAME, LB_LISTEN, LB_STATE and LB_ADMIN override the file. LB_DISCOVERY is used only if the file sets no discovery
// address: the file of a running process can be replaced, its environment can't. Errors of the file begin with
// "configuration:".
func Load(path, script string, env func(string) string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(text, env)
	if err == nil && script != "" {
		c.ScriptSettings, err = settings.Load(script)
	}
	return c, err
}

// namedClasses returns the classes of a newly read configuration with their names, ordered by class number.
func (c Config) namedClasses() []state.NamedClass {
	names := namesByNumber(c.Names.Classes)
	list := make([]state.NamedClass, len(c.Settings.Classes))
	for i, k := range c.Settings.Classes {
		list[i] = state.NamedClass{Name: names[i], Class: k}
	}
	return list
}

// namesByNumber inverts a map from names to numbers into a list of names indexed by number.
func namesByNumber(numbers map[string]int) []string {
	list := make([]string, len(numbers))
	for name, i := range numbers {
		if i < len(list) {
			list[i] = name
		}
	}
	return list
}

// Parse parses the contents of a configuration file. The env function looks up an environment variable.
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
	c.CachedList.Version = state.NoVersion
	if known := doc.Get("known"); known.Exists() {
		if c.CachedList, err = protocol.ParseList([]byte(known.Raw), c.Names, c.Limits.maxTargets()); err != nil {
			return c, fmt.Errorf("configuration: known: %w", err)
		}
	}
	c.CachedList.Kind = control.ListCached
	return c, nil
}

// parseAddresses reads the sender's name, its listen, discovery and admin addresses, and its state folder.
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

// parseSettings reads the controller's settings and numbers the names of classes, tenants, zones and kinds.
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

// checkNames checks that each entry of a list has a unique, non-empty name.
func checkNames(key string, entries gjson.Result) error {
	seen := map[string]bool{}
	for i, e := range entries.Array() {
		switch name := e.Get("name").String(); {
		case name == "":
			return fmt.Errorf("configuration: settings: %s[%d].name: missing", key, i)
		case seen[name]:
			return fmt.Errorf("configuration: settings: %s[%d].name: %q: duplicate name", key, i, name)
		default:
			seen[name] = true
		}
	}
	return nil
}

// checkSockets checks that the descriptor limit covers the calls that the settings allow, plus minSockets.
func checkSockets(l Limits, s control.Settings) error {
	if minimum := s.MaxInFlight + minSockets; l.Sockets < minimum {
		return fmt.Errorf("configuration: limits.sockets: %d: must be at least %d for specifics.max-calls %d",
			l.Sockets, minimum, s.MaxInFlight)
	}
	return nil
}

// checkPositive checks that the settings which must be numbers above 0 are present where required, and positive.
func checkPositive(doc gjson.Result) error {
	var err error
	positive := func(name string, v gjson.Result, required bool) {
		if err == nil && (v.Exists() || required) && (v.Type != gjson.Number || v.Float() <= 0) {
			err = fmt.Errorf("configuration: settings: %s: %q: must be a number above 0", name, v.Raw)
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

// parseSeed parses a seed of hexadecimal digits. An empty seed is replaced by the current time.
func parseSeed(s string) (uint64, error) {
	if s == "" {
		return uint64(time.Now().UnixNano()), nil
	}
	seed, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("configuration: seed %q: must have at most 16 hexadecimal digits", s)
	}
	return seed, nil
}

// parseLimits reads the limits and applies the defaults.
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
	l.DiskBytes = int64(disk * 1e6) // a megabyte of 10^6 bytes is the smaller of its two definitions
	return l, nil
}

// numberNames maps each name of a list to its index.
func numberNames(list gjson.Result) map[string]int {
	m := map[string]int{}
	for i, n := range list.Array() {
		m[n.String()] = i
	}
	return m
}
