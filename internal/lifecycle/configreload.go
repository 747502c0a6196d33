package lifecycle

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// checkReload tells why a configuration can't take the place of the one in force; nil if it can.
func checkReload(old, next Config) error {
	if err := checkKeys(gjson.Parse(old.raw), gjson.Parse(next.raw), ""); err != nil {
		return err
	}
	// At a start none means no limit. At a reload it is taken for a mistake in the file.
	if limit := gjson.Get(next.raw, "settings.limits.send-cap"); old.Settings.MaxAttempts > 0 && limit.Float() <= 0 {
		return fmt.Errorf("configuration: settings: limits.send-cap: %q: a number above 0 wanted", limit.Raw)
	}
	return nil
}

// startOnlyKeys are keys that a configuration which is read again need not have: they are for the start alone.
var startOnlyKeys = map[string]bool{"seed": true, "known": true, "admin": true, "name": true}

// checkKeys wants each key that the old configuration has, of the same kind. Whoever replaces the file writes all
// of it: a key that is gone is a mistake, not a wish for its default.
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
			err = fmt.Errorf("configuration: %s: %.40s: not of the kind that it was", keyPath, newValue.Raw)
		case oldValue.IsObject():
			err = checkKeys(oldValue, newValue, keyPath)
		case oldValue.IsArray():
			err = checkListKeys(oldValue.Array(), newValue.Array(), keyPath)
		}
		return err == nil
	})
	return err
}

// checkListKeys wants of each object of a list the keys that all objects of the old list have.
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
				return fmt.Errorf("configuration: %s[%d].%s: missing, or not of the kind that it was", path, i, name)
			}
		}
	}
	return nil
}

// jsonKind is the JSON kind of a value; true and false are one.
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
