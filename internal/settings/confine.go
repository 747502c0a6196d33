package settings

import (
	"fmt"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// The interpreter bounds the steps of a script, but not the size of what one step builds: "x" * 10**9 is one step,
// and s + s doubles with each. Operands of such operators are therefore checked at run time, and other ways to build
// large values are not available.

const (
	maxOperandSize = 4096   // elements or bytes of an operand of +
	maxRange       = 10_000 // elements
)

// The names of the checks, which are no identifiers that a script could use.
const (
	checkSize   = "+operand"
	checkNumber = "*operand"
)

// methods are those that a script may call on strings, lists and dicts. None returns a larger value than it was given.
var methods = map[string]bool{
	"append": true, "endswith": true, "get": true, "index": true, "items": true, "keys": true, "lower": true,
	"lstrip": true, "removeprefix": true, "removesuffix": true, "rstrip": true, "split": true, "startswith": true,
	"strip": true, "upper": true, "values": true,
}

// unavailable are names of the language with which a script could evade the checks.
var unavailable = []string{"bytes", "chr", "dir", "getattr", "hasattr", "hash", "ord", "repr", "set"}

// confine wraps the operands whose size must be checked. It returns an *Error for what a script must not use.
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
			reject(n, "load is not to be had: a script is one file")
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
			n.Op = syntax.EQ // the walk goes on into the right side
		case *syntax.BinaryExpr:
			switch n.Op {
			case syntax.PLUS:
				n.X, n.Y = checkedOperand(checkSize, n.X, n.OpPos), checkedOperand(checkSize, n.Y, n.OpPos)
			case syntax.STAR, syntax.PERCENT, syntax.LTLT:
				n.X, n.Y = checkedOperand(checkNumber, n.X, n.OpPos), checkedOperand(checkNumber, n.Y, n.OpPos)
			case syntax.PIPE:
				reject(n, "the operator | is not to be had")
			}
		case *syntax.DotExpr:
			if !methods[n.Name.Name] && !attributes[n.Name.Name] {
				reject(n.Name, "no field or method .%s is to be had here", n.Name.Name)
			}
		}
		return true
	})
	return firstErr
}

// checkedOperand wraps an operand in a call of a check.
func checkedOperand(name string, x syntax.Expr, at syntax.Position) syntax.Expr {
	return &syntax.CallExpr{Fn: &syntax.Ident{NamePos: at, Name: name}, Lparen: at, Args: []syntax.Expr{x}, Rparen: at}
}

// limitBuiltins adds the checks, and replaces the names that are limited or unavailable.
func limitBuiltins(names starlark.StringDict) {
	names[checkSize] = starlark.NewBuiltin("+", checkOperandSize)
	names[checkNumber] = starlark.NewBuiltin("*", checkOperandNumber)
	names["range"] = starlark.NewBuiltin("range", limitedRange)
	names["str"] = starlark.NewBuiltin("str", limitedStr)
	for _, name := range unavailable {
		names[name] = starlark.NewBuiltin(name, rejectCall)
	}
}

// checkOperandSize passes an operand of + that is small enough.
func checkOperandSize(
	_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple,
) (starlark.Value, error) {
	if n := starlark.Len(args[0]); n > maxOperandSize {
		return nil, fmt.Errorf("an operand of %d elements, %d at most", n, maxOperandSize)
	}
	return args[0], nil
}

// checkOperandNumber passes an operand of *, % or << that is a number of 64 bits.
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
		return nil, fmt.Errorf("a number beyond 64 bits")
	}
	return nil, fmt.Errorf("a %s where a number is wanted", args[0].Type())
}

// limitedRange is range with a bound on its length.
func limitedRange(
	t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	v, err := starlark.Universe["range"].(*starlark.Builtin).CallInternal(t, args, kwargs)
	if err == nil && starlark.Len(v) > maxRange {
		return nil, fmt.Errorf("range: more than %d", maxRange)
	}
	return v, err
}

// limitedStr is str of scalars only: the text of a list that holds itself many times over is far larger than the list.
func limitedStr(
	_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	if len(args) != 1 || len(kwargs) > 0 {
		return nil, fmt.Errorf("str: one argument wanted")
	}
	switch v := args[0].(type) {
	case starlark.String:
		return v, nil
	case starlark.Int, starlark.Float, starlark.Bool, starlark.NoneType:
		return starlark.String(v.String()), nil
	}
	return nil, fmt.Errorf("str: a %s has no text here", args[0].Type())
}

// rejectCall stands for a name that is not available.
func rejectCall(
	_ *starlark.Thread, b *starlark.Builtin, _ starlark.Tuple, _ []starlark.Tuple,
) (starlark.Value, error) {
	return nil, fmt.Errorf("%s is not to be had here", b.Name())
}
