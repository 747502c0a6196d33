package lifecycle

import (
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"time"

	"cleathold/internal/protocol"
	"cleathold/internal/settings"
	"cleathold/internal/state"
)

var errLoopBusy = errors.New("settings: the event loop did not accept them in time")

// reloadConfig reloads the configuration and applies the addresses of discovery and the platform, the controller's
// settings and the runtime limits, either all of them or none. Other changes take effect at the next start, because the
// write-ahead log and the listener are built from them.
func (s *server) reloadConfig() {
	*s.config = s.applyReload(*s.config)
	s.publishConfig(*s.config)
	if s.deadLetters != nil && s.config.ScriptSettings != nil {
		s.deadLetters.UpdateSettings(s.config.ScriptSettings)
	}
}

// applyReload reloads the configuration, applies it and returns the configuration that is then in force. On an error it
// returns the old one.
func (s *server) applyReload(old Config) Config {
	c, err := retry(s.log, "configuration", reloadTimeout, s.load)
	if err == nil {
		err = checkReload(old, c)
	}
	inForce := old
	if err == nil {
		inForce, err = s.updateSettings(old, c)
	}
	if err != nil {
		s.log.Error("configuration reload failed; the previous configuration stays in force", "err", err)
		return old
	}
	s.discovery.SetTimings(protocol.PollTimings{
		MaxPollInterval: inForce.Settings.MaxPollInterval, PollSpread: inForce.Settings.PollSpread(),
		DrainGrace: inForce.Settings.DrainGrace,
	})
	if c.Discovery != old.Discovery {
		s.discovery.SetAddress(c.Discovery)
		s.reporter.SetAddress(c.Discovery)
	}
	inForce.Discovery, inForce.raw = c.Discovery, c.raw
	inForce.Limits.Cores, inForce.Limits.MemoryMB = c.Limits.Cores, c.Limits.MemoryMB
	limitRuntime(inForce.Limits)
	s.clientBudget.SetLimits(clientLimits(inForce))
	inForce.ScriptSettings = reloadOwnSettings(old.ScriptSettings, c.ScriptSettings, s.log)
	if pending := c.pendingRestart(inForce); len(pending) > 0 {
		s.log.Warn("configuration changes take effect at the next start", "keys", pending)
	}
	s.log.Info("configuration read again", "discovery", inForce.Discovery,
		"classes", len(inForce.Names.Classes), "max_attempts", inForce.Settings.MaxAttempts)
	return inForce
}

// updateSettings applies new settings to the event loop and their names to the listener. It returns the configuration
// with the settings that are then in force.
func (s *server) updateSettings(old, c Config) (Config, error) {
	candidate := c.Settings
	candidate.Seed, candidate.Classes = old.Settings.Seed, old.Settings.Classes
	candidate.CanGossip = old.Settings.CanGossip
	classes := c.namedClasses()
	if reflect.DeepEqual(candidate, old.Settings) && slices.Equal(classes, old.classes) {
		return old, nil
	}
	if s.deadLetters != nil {
		for name, n := range old.Names.Tenants {
			if c.Names.Tenants[name] != n {
				s.log.Warn("settings change takes effect at the next start: tenants renumbered while dead letters are kept",
					"tenant", name)
				return old, nil
			}
		}
	}
	done := make(chan state.SettingsResult, 1)
	update := state.UpdateSettings{Settings: c.Settings, Classes: classes, Done: done}
	if !s.loop.PostBefore(update, time.Now().Add(settingsTimeout)) {
		return old, errLoopBusy
	}
	r := <-done
	if r.Err != nil {
		return old, fmt.Errorf("settings: %w", r.Err)
	}
	inForce := old
	inForce.classes = classes
	inForce.Names, inForce.Settings = c.Names, c.Settings
	inForce.Names.Classes, inForce.Names.Kinds = r.Numbers, old.Names.Kinds
	inForce.Settings.Classes, inForce.Settings.Seed, inForce.Settings.CanGossip =
		r.Classes, old.Settings.Seed, old.Settings.CanGossip
	inForce.Settings.FleetSize, inForce.Settings.Index, inForce.Settings.Kinds =
		old.Settings.FleetSize, old.Settings.Index, old.Settings.Kinds
	inForce.Settings.Zone, inForce.Settings.PollEndpointList = old.Settings.Zone, old.Settings.PollEndpointList
	if s.deadLetters != nil {
		s.deadLetters.TenantsChanged(namesByNumber(inForce.Names.Tenants))
	}
	s.listener.SetNames(inForce.Names, inForce.Settings.Classes)
	return inForce, nil
}

// pendingRestart returns the keys whose values differ from the configuration in force and take effect only at the next
// start.
func (c Config) pendingRestart(inForce Config) (keys []string) {
	for _, k := range []struct {
		name string
		same bool
	}{
		{"listen", c.Listen == inForce.Listen},
		{"state", c.State == inForce.State},
		{"admin", c.Admin == inForce.Admin},
		{"peers", c.PeerListen == inForce.PeerListen && c.PeersAll == inForce.PeersAll &&
			slices.Equal(c.Peers, inForce.Peers)},
		{"limits.sockets", c.Limits.Sockets == inForce.Limits.Sockets},
		{"limits.disk_mb", c.Limits.DiskBytes == inForce.Limits.DiskBytes},
		{"settings.siblings", c.Settings.FleetSize == inForce.Settings.FleetSize},
		{"settings.me", c.Settings.Index == inForce.Settings.Index},
		{"settings.kinds", slices.Equal(c.Settings.Kinds, inForce.Settings.Kinds)},
		{"settings.zone", c.Settings.Zone == inForce.Settings.Zone},
		{"settings.discovery", c.Settings.PollEndpointList == inForce.Settings.PollEndpointList},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

// reloadOwnSettings returns the settings that are in force after a reload of the settings script. Bounds, rates and
// rules change at once. The dead-letter queue's folder, the write-ahead log's durability and the admin socket keep
// their values until the next start.
func reloadOwnSettings(old, c *settings.Settings, log *slog.Logger) *settings.Settings {
	if old == nil || c == nil || (old.DeadLetterQueue == nil) != (c.DeadLetterQueue == nil) {
		if old != nil || c != nil {
			log.Warn("settings change takes effect at the next start: dead-letter queue enabled or disabled")
		}
		return old
	}
	if c.DeadLetterQueue != nil && c.DeadLetterQueue.Folder != old.DeadLetterQueue.Folder {
		log.Warn("settings change takes effect at the next start: folder of the dead-letter queue", "folder",
			c.DeadLetterQueue.Folder)
		c.DeadLetterQueue.Folder = old.DeadLetterQueue.Folder
	}
	if c.WriteAheadLog != old.WriteAheadLog {
		log.Warn("settings change takes effect at the next start: durability of the write-ahead log")
		c.WriteAheadLog = old.WriteAheadLog
	}
	if (old.Admin == nil) != (c.Admin == nil) || c.Admin != nil && *c.Admin != *old.Admin {
		log.Warn("settings change takes effect at the next start: admin socket")
		c.Admin = old.Admin
	}
	return c
}
