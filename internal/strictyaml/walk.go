package strictyaml

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// walker compares a document with a Go type and records the lines of all fields and the problems found.
type walker struct {
	lines    map[string]int
	problems []error
}

func (w *walker) addProblem(path string, n ast.Node, text string) {
	w.problems = append(w.problems, Problem{Line: lineNumber(n), Path: path, Text: text})
}

// walk checks that a node matches a type. If hasDefault is set, an explicit zero value other than false is a problem.
func (w *walker) walk(path string, n ast.Node, t reflect.Type, hasDefault bool) {
	if n == nil {
		w.problems = append(w.problems, Problem{Path: path, Text: "has no value"})
		return
	}
	if path != "" {
		w.lines[path] = lineNumber(n)
	}
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == durationType:
		w.duration(path, n, hasDefault)
	case t.Kind() == reflect.Struct:
		w.mapping(path, n, t)
	case t.Kind() == reflect.Slice:
		w.sequence(path, n, t, hasDefault)
	default:
		w.scalar(path, n, t.Kind(), hasDefault)
	}
}

// mappingValues returns the entries of a mapping, which the parser represents by two types of node.
func mappingValues(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	default:
		return nil, false
	}
}

func (w *walker) mapping(path string, n ast.Node, t reflect.Type) {
	values, ok := mappingValues(n)
	if !ok {
		w.addProblem(path, n, "must be a mapping of fields")
		return
	}
	known := structFields(t)
	seen := map[string]bool{}
	for _, v := range values {
		key, ok := v.Key.(*ast.StringNode)
		if !ok {
			w.addProblem(path, v.Key, "field names must be plain text")
			continue
		}
		child := join(path, key.Value)
		field, ok := known[key.Value]
		switch {
		case !ok:
			w.addProblem(child, v.Key, "unknown field")
		case seen[key.Value]:
			w.addProblem(child, v.Key, "field appears more than once")
		default:
			w.walk(child, v.Value, field.typ, field.hasDefault)
		}
		seen[key.Value] = true
	}
}

func (w *walker) sequence(path string, n ast.Node, t reflect.Type, hasDefault bool) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		w.addProblem(path, n, "must be a list")
		return
	}
	if hasDefault && len(seq.Values) == 0 {
		w.addProblem(path, n, "must not be empty; leave it out for the default")
	}
	for i, v := range seq.Values {
		w.walk(fmt.Sprintf("%s[%d]", path, i), v, t.Elem(), false)
	}
}

func (w *walker) duration(path string, n ast.Node, hasDefault bool) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		w.addProblem(path, n, "must be a duration with a unit, such as 500ms or 10s")
		return
	}
	d, err := time.ParseDuration(s.Value)
	switch {
	case err != nil:
		w.addProblem(path, n, "must be a duration with a unit, such as 500ms or 10s")
	case hasDefault && d == 0:
		w.addProblem(path, n, "must not be zero; leave it out for the default")
	}
}

func (w *walker) scalar(path string, n ast.Node, kind reflect.Kind, hasDefault bool) {
	switch kind {
	case reflect.String:
		w.text(path, n, hasDefault)
	case reflect.Bool:
		if _, ok := n.(*ast.BoolNode); !ok {
			w.addProblem(path, n, "must be true or false")
		}
	case reflect.Float64:
		w.number(path, n, hasDefault)
	default:
		w.integer(path, n, hasDefault)
	}
}

func (w *walker) text(path string, n ast.Node, hasDefault bool) {
	s, ok := n.(*ast.StringNode)
	switch {
	case !ok:
		w.addProblem(path, n, "must be text; put quotes around a number or a literal")
	case hasDefault && s.Value == "":
		w.addProblem(path, n, "must not be empty; leave it out for the default")
	}
}

func (w *walker) number(path string, n ast.Node, hasDefault bool) {
	switch v := n.(type) {
	case *ast.FloatNode:
		if math.IsNaN(v.Value) || math.IsInf(v.Value, 0) {
			w.addProblem(path, n, "must be a finite number")
		}
	default:
		w.integer(path, n, hasDefault)
	}
}

func (w *walker) integer(path string, n ast.Node, hasDefault bool) {
	v, ok := n.(*ast.IntegerNode)
	switch {
	case !ok:
		w.addProblem(path, n, "must be a plain number")
	case hasDefault && (v.Value == uint64(0) || v.Value == int64(0)):
		w.addProblem(path, n, "must not be zero; leave it out for the default")
	}
}

// fieldInfo describes a struct field.
type fieldInfo struct {
	typ        reflect.Type
	hasDefault bool
}

// structFields returns the fields of a struct by their YAML names.
func structFields(t reflect.Type) map[string]fieldInfo {
	found := make(map[string]fieldInfo, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name == "" || name == "-" {
			continue
		}
		found[name] = fieldInfo{typ: f.Type, hasDefault: strings.Contains(options, "omitempty")}
	}
	return found
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// checkNesting rejects documents whose nesting would overflow the stack of the recursive parser.
func checkNesting(data []byte) error {
	depth := 0
	for _, tok := range lexer.Tokenize(string(data)) {
		switch tok.Type {
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		case token.SequenceEntryType, token.MappingKeyType:
			if depth == 0 && tok.Position.Column > maxIndent {
				return Problem{Line: tok.Position.Line, Text: "the document is nested too deeply"}
			}
		case token.MappingValueType:
			if depth == 0 && tok.Prev != nil && tok.Prev.Position.Column > maxIndent {
				return Problem{Line: tok.Position.Line, Text: "the document is nested too deeply"}
			}
		default:
		}
		if depth > maxNesting {
			return Problem{Line: tok.Position.Line, Text: "the document is nested too deeply"}
		}
	}
	return nil
}
