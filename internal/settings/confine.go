package settings

import (
	"fmt"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// The interpreter bounds the steps of a script, but not what a single step may
// build: "x" * 10**9 is one step, and s + s doubles with each. So each operand
// of such an operator is checked on its way, and what else could grow without
// steps is not to be had.

const (
	sizeMost = 4096 // elements or bytes of an operand of +
	rangeTop = 10_000
)

// The names of the checks; no script can write them.
const (
	checkSize   = "+operand"
	checkNumber = "*operand"
)

// methods that a script may call on strings, lists and dicts: none of them
// returns more than it was given.
var methods = map[string]bool{
	"append": true, "endswith": true, "get": true, "index": true, "items": true, "keys": true, "lower": true,
	"lstrip": true, "removeprefix": true, "removesuffix": true, "rstrip": true, "split": true, "startswith": true,
	"strip": true, "upper": true, "values": true,
}

// withheld are names of the language that would go round the checks.
var withheld = []string{"bytes", "chr", "dir", "getattr", "hasattr", "hash", "ord", "repr", "set"}

// confine wraps the operands that could make a step build too much, and says
// what is not allowed, and where.
func confine(f *syntax.File) error {
	var fault error
	refuse := func(n syntax.Node, format string, args ...any) {
		if fault == nil {
			p, _ := n.Span()
			fault = &Error{f.Path, int(p.Line), int(p.Col), fmt.Sprintf(format, args...)}
		}
	}
	syntax.Walk(f, func(n syntax.Node) bool {
		switch n := n.(type) {
		case *syntax.LoadStmt:
			refuse(n, "load is not to be had: a script is one file")
		case *syntax.AssignStmt:
			if n.Op == syntax.EQ {
				break
			}
			name, plain := n.LHS.(*syntax.Ident)
			op, known := map[syntax.Token]syntax.Token{
				syntax.PLUS_EQ: syntax.PLUS, syntax.MINUS_EQ: syntax.MINUS, syntax.STAR_EQ: syntax.STAR,
				syntax.SLASH_EQ: syntax.SLASH, syntax.SLASHSLASH_EQ: syntax.SLASHSLASH, syntax.PERCENT_EQ: syntax.PERCENT,
			}[n.Op]
			if !plain || !known {
				refuse(n, "write this as a plain assignment")
				break
			}
			left := &syntax.Ident{NamePos: name.NamePos, Name: name.Name}
			n.RHS = &syntax.BinaryExpr{X: left, OpPos: n.OpPos, Op: op, Y: n.RHS}
			n.Op = syntax.EQ // the walk goes on into the right side
		case *syntax.BinaryExpr:
			switch n.Op {
			case syntax.PLUS:
				n.X, n.Y = checked(checkSize, n.X, n.OpPos), checked(checkSize, n.Y, n.OpPos)
			case syntax.STAR, syntax.PERCENT, syntax.LTLT:
				n.X, n.Y = checked(checkNumber, n.X, n.OpPos), checked(checkNumber, n.Y, n.OpPos)
			case syntax.PIPE:
				refuse(n, "the operator | is not to be had")
			}
		case *syntax.DotExpr:
			if !methods[n.Name.Name] && !attributes[n.Name.Name] {
				refuse(n.Name, "no field or method .%s is to be had here", n.Name.Name)
			}
		}
		return true
	})
	return fault
}

func checked(name string, x syntax.Expr, at syntax.Position) syntax.Expr {
	return &syntax.CallExpr{Fn: &syntax.Ident{NamePos: at, Name: name}, Lparen: at, Args: []syntax.Expr{x}, Rparen: at}
}

// bounded adds the checks, and what stands in the place of names withheld.
func bounded(names starlark.StringDict) {
	names[checkSize] = starlark.NewBuiltin("+", func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
		if n := starlark.Len(args[0]); n > sizeMost {
			return nil, fmt.Errorf("an operand of %d elements, %d at most", n, sizeMost)
		}
		return args[0], nil
	})
	names[checkNumber] = starlark.NewBuiltin("*", func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
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
	})
	full := starlark.Universe["range"].(*starlark.Builtin)
	names["range"] = starlark.NewBuiltin("range", func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		v, err := full.CallInternal(t, args, kwargs)
		if err == nil && starlark.Len(v) > rangeTop {
			return nil, fmt.Errorf("range: more than %d", rangeTop)
		}
		return v, err
	})
	// A list that holds itself many times over is small, but its text is not.
	names["str"] = starlark.NewBuiltin("str", func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
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
	})
	for _, name := range withheld {
		names[name] = starlark.NewBuiltin(name, func(_ *starlark.Thread, b *starlark.Builtin, _ starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
			return nil, fmt.Errorf("%s is not to be had here", b.Name())
		})
	}
}
