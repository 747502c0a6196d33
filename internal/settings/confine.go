package settings

import (
	"fmt"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// The interpreter limits the number of steps of a script, but not the size of the values that a step creates:
// "x" * 10**9 is one step, and each s + s doubles the size of s. Therefore the operands of these operators are checked
// at run time, and other ways to create large values are not available.

const (
	maxOperandSize = 4096   // elements or bytes of an operand of +
	maxRange       = 10_000 // elements
)

// Names of the check functions. They are not valid identifiers, so a script can't refer to them.
const (
	checkSize   = "+operand"
	checkNumber = "*operand"
)

// methods are the methods of strings, lists and dicts that a script may call. None returns a value that is larger than
// its operands.
var methods = map[string]bool{
	"append": true, "endswith": true, "get": true, "index": true, "items": true, "keys": true, "lower": true,
	"lstrip": true, "removeprefix": true, "removesuffix": true, "rstrip": true, "split": true, "startswith": true,
	"strip": true, "upper": true, "values": true,
}

// unavailable are the builtins of the language that a script could use to bypass the checks.
var unavailable = []string{"bytes", "chr", "dir", "getattr", "hasattr", "hash", "ord", "repr", "set"}

// confine wraps the operands whose size must be checked in calls of the check functions. It returns an *Error for a
// construct that a script must not use.
func confine(f *syntax.File) error {
	var firstErr error
	reject := func(n syntax.Node, format string, args ...any) {
		if firstErr == nil {
			p, _ := n.Span()
			firstErr = &Error{f.Path, int(p.Line), int(p.Col), fmt.Sprintf(format, args...)}
		}
	}
	syntax.Walk(f, func(n syntax.Node) bool {
		switch n := n.(type) {
		case *syntax.LoadStmt:
			reject(n, "load is not available: a script is a single file")
		case *syntax.AssignStmt:
			if n.Op == syntax.EQ {
				break
			}
			name, isIdent := n.LHS.(*syntax.Ident)
			op, supported := map[syntax.Token]syntax.Token{
				syntax.PLUS_EQ: syntax.PLUS, syntax.MINUS_EQ: syntax.MINUS, syntax.STAR_EQ: syntax.STAR,
				syntax.SLASH_EQ: syntax.SLASH, syntax.SLASHSLASH_EQ: syntax.SLASHSLASH, syntax.PERCENT_EQ: syntax.PERCENT,
			}[n.Op]
			if !isIdent || !supported {
				reject(n, "write this as a plain assignment")
				break
			}
			left := &syntax.Ident{NamePos: name.NamePos, Name: name.Name}
			n.RHS = &syntax.BinaryExpr{X: left, OpPos: n.OpPos, Op: op, Y: n.RHS}
			n.Op = syntax.EQ // the walk continues into the new right-hand side
		case *syntax.BinaryExpr:
			switch n.Op {
			case syntax.PLUS:
				n.X, n.Y = checkedOperand(checkSize, n.X, n.OpPos), checkedOperand(checkSize, n.Y, n.OpPos)
			case syntax.STAR, syntax.PERCENT, syntax.LTLT:
				n.X, n.Y = checkedOperand(checkNumber, n.X, n.OpPos), checkedOperand(checkNumber, n.Y, n.OpPos)
			case syntax.PIPE:
				reject(n, "the operator | is not available")
			}
		case *syntax.DotExpr:
			if !methods[n.Name.Name] && !attributes[n.Name.Name] {
				reject(n.Name, "no field or method .%s is available", n.Name.Name)
			}
		}
		return true
	})
	return firstErr
}

// checkedOperand wraps an operand in a call of a check function.
func checkedOperand(name string, x syntax.Expr, at syntax.Position) syntax.Expr {
	return &syntax.CallExpr{Fn: &syntax.Ident{NamePos: at, Name: name}, Lparen: at, Args: []syntax.Expr{x}, Rparen: at}
}

// limitBuiltins adds the check functions, and replaces the builtins that are limited or unavailable.
func limitBuiltins(names starlark.StringDict) {
	names[checkSize] = starlark.NewBuiltin("+", checkOperandSize)
	names[checkNumber] = starlark.NewBuiltin("*", checkOperandNumber)
	names["range"] = starlark.NewBuiltin("range", limitedRange)
	names["str"] = starlark.NewBuiltin("str", limitedStr)
	for _, name := range unavailable {
		names[name] = starlark.NewBuiltin(name, rejectCall)
	}
}

// checkOperandSize returns an operand of + unless it has more than maxOperandSize elements.
func checkOperandSize(
	_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple,
) (starlark.Value, error) {
	if n := starlark.Len(args[0]); n > maxOperandSize {
		return nil, fmt.Errorf("operand has %d elements, at most %d are allowed", n, maxOperandSize)
	}
	return args[0], nil
}

// checkOperandNumber returns an operand of *, % or << if it is a float or an int of at most 64 bits.
func checkOperandNumber(
	_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple,
) (starlark.Value, error) {
	switch v := args[0].(type) {
	case starlark.Float:
		return v, nil
	case starlark.Int:
		if _, fits := v.Int64(); fits {
			return v, nil
		}
		return nil, fmt.Errorf("number exceeds 64 bits")
	}
	return nil, fmt.Errorf("got %s, want a number", args[0].Type())
}

// limitedRange implements range with a limit on its length.
func limitedRange(
	t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	v, err := starlark.Universe["range"].(*starlark.Builtin).CallInternal(t, args, kwargs)
	if err == nil && starlark.Len(v) > maxRange {
		return nil, fmt.Errorf("range: more than %d elements", maxRange)
	}
	return v, err
}

// limitedStr implements str for scalars only: a list may contain the same list many times, so that its text is far
// larger than the list itself.
func limitedStr(
	_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	if len(args) != 1 || len(kwargs) > 0 {
		return nil, fmt.Errorf("str: want exactly one argument")
	}
	switch v := args[0].(type) {
	case starlark.String:
		return v, nil
	case starlark.Int, starlark.Float, starlark.Bool, starlark.NoneType:
		return starlark.String(v.String()), nil
	}
	return nil, fmt.Errorf("str: not available for a %s", args[0].Type())
}

// rejectCall implements the builtins that are not available.
func rejectCall(
	_ *starlark.Thread, b *starlark.Builtin, _ starlark.Tuple, _ []starlark.Tuple,
) (starlark.Value, error) {
	return nil, fmt.Errorf("%s is not available", b.Name())
}
