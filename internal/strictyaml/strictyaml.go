// Package strictyaml decodes YAML into structs and refuses whatever the struct does not describe: unknown or repeated
// fields, values of another kind, numbers without a unit where a duration belongs, aliases and further documents. Every
// problem names its line and path.
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

// Limits of a document. They bound the memory and the stack that the parser needs for input from outside.
const (
	// MaxSize is the largest document in bytes. A configuration of 10,000 back ends takes about 2 MiB.
	MaxSize = 16 << 20
	// maxNesting is the deepest nesting of flow collections. The deepest settings use 4.
	maxNesting = 32
	// maxIndent is the widest indentation in columns at which a block collection may start.
	maxIndent = 256
)

// Problem is one thing wrong with a document. It does not contain the value, which may be a secret in the wrong place.
type Problem struct {
	// Line is the line in the document, from 1. Zero if unknown.
	Line int
	// Path names the field, such as services[0].max_run. Empty if the document as a whole is wrong.
	Path string
	// Text says what is wrong.
	Text string
}

// Error formats the problem with its line and path.
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

// Document knows the lines of the fields of a decoded document.
type Document struct{ lines map[string]int }

// Line returns the line of the field with the path, or of the nearest enclosing field that is present.
func (d *Document) Line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
	return 0
}

// Has reports whether the document contains the field.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// Decode reads one document into the struct that out points to. The error joins all Problems found.
//
// A field with the option omitempty has a default that applies if it is left out; writing its zero value is refused,
// since it would silently mean the default.
func Decode(data []byte, out any) (doc *Document, err error) {
	// The parser is not written for hostile input. A panic on it is reported like any other syntax error.
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
		return nil, fromLibrary(err)
	}
	return &Document{lines: w.lines}, nil
}

// parse returns the body of the only document.
func parse(data []byte) (ast.Node, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, fromLibrary(err)
	}
	var body ast.Node
	for _, d := range file.Docs {
		if d.Body == nil || d.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			return nil, Problem{Line: lineOf(d.Body), Text: "only one document is allowed"}
		}
		body = d.Body
	}
	if body == nil {
		return nil, Problem{Text: "the document is empty"}
	}
	return body, nil
}

// fromLibrary converts an error of the YAML library without the source text that it would quote.
func fromLibrary(err error) error {
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

func lineOf(n ast.Node) int {
	if tok := n.GetToken(); tok != nil && tok.Position != nil {
		return tok.Position.Line
	}
	return 0
}

var durationType = reflect.TypeFor[time.Duration]()
