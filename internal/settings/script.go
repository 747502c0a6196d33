package settings

import (
	"errors"
	"fmt"
	"maps"

	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Error is an error of a script with its position. Line 0 means that the position is unknown.
type Error struct {
	File         string
	Line, Column int
	Text         string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Text)
}

// Exec runs the top level of a script within the limits of all scripts and returns its globals. The given names are
// available to the script in addition to those of the language. Errors are of type *Error.
func Exec(path string, text []byte, names starlark.StringDict) (starlark.StringDict, error) {
	file, err := (&syntax.FileOptions{}).Parse(path, text, 0)
	if err != nil {
		return nil, locate(path, err)
	}
	if err := confine(file); err != nil {
		return nil, err
	}
	pre := maps.Clone(names)
	maps.Copy(pre, units)
	limitBuiltins(pre)
	program, err := starlark.FileProgram(file, pre.Has)
	if err != nil {
		return nil, locate(path, err)
	}
	globals, err := program.Init(newThread("load", maxLoadSteps), pre)
	if err != nil {
		return nil, locate(path, err)
	}
	globals.Freeze()
	return globals, nil
}

// units are the constants available to each script: durations in seconds and sizes in bytes.
var units = starlark.StringDict{
	"SECOND": starlark.Float(1), "MINUTE": starlark.Float(60), "HOUR": starlark.Float(3600), "DAY": starlark.Float(86400),
	"KB": starlark.MakeInt(1000), "MB": starlark.MakeInt(1_000_000), "GB": starlark.MakeInt(1_000_000_000),
}

// findRule returns the rule with the given name, or nil if the script does not define it. Its parameters are checked
// here, when the script is loaded, and not at the first call.
func findRule(path string, globals starlark.StringDict, name string) (starlark.Callable, error) {
	v, given := globals[name]
	if !given {
		return nil, nil
	}
	f, ok := v.(*starlark.Function)
	if !ok {
		return nil, &Error{File: path, Text: fmt.Sprintf("%s is a %s, want a function (record, partner)", name,
			v.Type())}
	}
	if f.NumParams() != 2 || f.NumKwonlyParams() > 0 || f.HasVarargs() || f.HasKwargs() {
		p := f.Position()
		return nil, &Error{path, int(p.Line), int(p.Col), fmt.Sprintf("%s must have the parameters (record, partner)", name)}
	}
	return f, nil
}

// newThread returns an interpreter thread with a limit of steps. It discards the output of print.
func newThread(name string, steps uint64) *starlark.Thread {
	t := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	t.SetMaxExecutionSteps(steps)
	return t
}

// locate converts an error of the interpreter to an *Error with its position.
func locate(path string, err error) error {
	at := func(p syntax.Position, text string) error { return &Error{path, int(p.Line), int(p.Col), text} }
	var syn syntax.Error
	var res resolve.ErrorList
	var own *Error
	var eval *starlark.EvalError
	switch {
	case errors.As(err, &own):
		return own
	case errors.As(err, &syn):
		return at(syn.Pos, syn.Msg)
	case errors.As(err, &res) && len(res) > 0:
		return at(res[0].Pos, res[0].Msg)
	case errors.As(err, &eval):
		for i := len(eval.CallStack) - 1; i >= 0; i-- {
			if p := eval.CallStack[i].Pos; p.Line > 0 {
				return at(p, eval.Msg)
			}
		}
		return &Error{File: path, Text: eval.Msg}
	}
	return &Error{File: path, Text: err.Error()}
}
