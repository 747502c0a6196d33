package lifecycle

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// checkReload returns an error if the next configuration can't replace the one in force.
func checkReload(old, next Config) error {
	if err := checkKeys(gjson.Parse(old.raw), gjson.Parse(next.raw), ""); err != nil {
		return err
	}
	// At start, a missing or zero limit means no limit. At a reload it is treated as a mistake in the file.
	if limit := gjson.Get(next.raw, "settings.limits.send-cap"); old.Settings.MaxAttempts > 0 && limit.Float() <= 0 {
		return fmt.Errorf("configuration: settings: limits.send-cap: %q: must be a number above 0", limit.Raw)
	}
	return nil
}

// startOnlyKeys are the keys that a reloaded configuration may omit, because they are used only at start.
var startOnlyKeys = map[string]bool{"seed": true, "known": true, "admin": true, "name": true}

// checkKeys checks that the next configuration has each key of the old one, with a value of the same JSON kind. A
// replacement file is expected to be complete, so a missing key is treated as a mistake and not as a request for its
// default.
func checkKeys(old, next gjson.Result, path string) error {
	var err error
	old.ForEach(func(key, oldValue gjson.Result) bool {
		name := key.String()
		keyPath := strings.TrimPrefix(path+"."+name, ".")
		newValue := next.Get(gjson.Escape(name))
		switch {
		case path == "" && startOnlyKeys[name]:
		case !newValue.Exists():
			err = fmt.Errorf("configuration: %s: missing", keyPath)
		case jsonKind(oldValue) != jsonKind(newValue):
			err = fmt.Errorf("configuration: %s: %.40s: JSON kind differs from the configuration in force",
				keyPath, newValue.Raw)
		case oldValue.IsObject():
			err = checkKeys(oldValue, newValue, keyPath)
		case oldValue.IsArray():
			err = checkListKeys(oldValue.Array(), newValue.Array(), keyPath)
		}
		return err == nil
	})
	return err
}

// checkListKeys checks that each object of the next list has the keys that all objects of the old list have, with
// values of the same JSON kind.
func checkListKeys(old, next []gjson.Result, path string) error {
	common := map[string]bool{}
	for i, o := range old {
		if !o.IsObject() {
			return nil
		}
		has := map[string]bool{}
		o.ForEach(func(key, _ gjson.Result) bool { has[key.String()] = i == 0 || common[key.String()]; return true })
		common = has
	}
	for _, name := range slices.Sorted(maps.Keys(common)) {
		if !common[name] {
			continue
		}
		key := gjson.Escape(name)
		kind := jsonKind(old[0].Get(key))
		for i, o := range next {
			if value := o.Get(key); !value.Exists() || jsonKind(value) != kind {
				return fmt.Errorf("configuration: %s[%d].%s: missing, or JSON kind differs from the configuration in force",
					path, i, name)
			}
		}
	}
	return nil
}

// jsonKind returns the JSON kind of a value. The values true and false have the same kind.
func jsonKind(v gjson.Result) string {
	switch {
	case v.IsObject():
		return "object"
	case v.IsArray():
		return "list"
	case v.IsBool():
		return "truth"
	}
	return v.Type.String()
}
