// Package strictyaml decodes YAML into structs and rejects everything that the struct does not describe: unknown or
// repeated fields, values of another type, durations without a unit, aliases and further documents. Every problem
// contains its line and path. The settings and the operators' configuration are read with it.
package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Limits of a document. They limit the memory and the stack that the parser needs for untrusted input.
const (
	// MaxSize is the maximum size of a document in bytes. A configuration of 10,000 backends takes about 2 MiB.
	MaxSize = 16 << 20
	// maxNesting is the maximum nesting depth of flow collections. Valid settings have at most 4.
	maxNesting = 32
	// maxIndent is the maximum indentation, in columns, at which a block collection may start.
	maxIndent = 256
)

// Problem is one error in a document. It does not contain the value, which may be a secret entered in the wrong place.
type Problem struct {
	// Line is the line in the document, from 1. It is zero if unknown.
	Line int
	// Path is the path of the field, such as services[0].max_run. It is empty if the problem concerns the complete
	// document.
	Path string
	// Text describes the problem.
	Text string
}

// Error returns the problem with its line and path.
func (p Problem) Error() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// Document contains the lines of the fields of a decoded document.
type Document struct{ lines map[string]int }

// Line returns the line of the field with a path, or of the nearest enclosing field in the document, or zero if there is
// none.
func (d *Document) Line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		separator := strings.LastIndexAny(path, ".[")
		if separator < 0 {
			return 0
		}
		path = path[:separator]
	}
	return 0
}

// Has reports whether the document contains the field with a path.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// Decode decodes a document into the struct to which out points. The error joins all Problems found.
//
// A field with the option omitempty has a default that applies if the field is omitted. Writing its zero value explicitly
// is rejected, unless it is false, because it would be replaced by the default without notice.
func Decode(data []byte, out any) (doc *Document, err error) {
	// The parser may panic on malicious input. A panic is reported like any other syntax error.
	defer func() {
		if r := recover(); r != nil {
			doc, err = nil, Problem{Text: "the document cannot be parsed"}
		}
	}()
	if len(data) > MaxSize {
		return nil, Problem{Text: fmt.Sprintf("the document has %d bytes, at most %d are allowed", len(data), MaxSize)}
	}
	if err := checkNesting(data); err != nil {
		return nil, err
	}
	body, err := parse(data)
	if err != nil {
		return nil, err
	}
	w := &walker{lines: map[string]int{}}
	w.walk("", body, reflect.TypeOf(out).Elem(), false)
	if len(w.problems) > 0 {
		return nil, errors.Join(w.problems...)
	}
	if err := yaml.NodeToValue(body, out, yaml.Strict()); err != nil {
		return nil, toProblem(err)
	}
	return &Document{lines: w.lines}, nil
}

// parse returns the body of the document. It fails if the data contains none or more than one.
func parse(data []byte) (ast.Node, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, toProblem(err)
	}
	var body ast.Node
	for _, d := range file.Docs {
		if d.Body == nil || d.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			return nil, Problem{Line: lineNumber(d.Body), Text: "only one document is allowed"}
		}
		body = d.Body
	}
	if body == nil {
		return nil, Problem{Text: "the document is empty"}
	}
	return body, nil
}

// toProblem converts an error of the YAML library to a Problem, without the source text that the library would quote.
func toProblem(err error) error {
	var located yaml.Error
	if !errors.As(err, &located) {
		return Problem{Text: "the document cannot be decoded"}
	}
	p := Problem{Text: located.GetMessage()}
	if tok := located.GetToken(); tok != nil && tok.Position != nil {
		p.Line = tok.Position.Line
	}
	return p
}

func lineNumber(n ast.Node) int {
	if tok := n.GetToken(); tok != nil && tok.Position != nil {
		return tok.Position.Line
	}
	return 0
}

var durationType = reflect.TypeFor[time.Duration]()
