package operator

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// Errors of configurations and changes.
var (
	// ErrInvalid means that a configuration violates a rule. The error is an *InvalidError.
	ErrInvalid = errors.New("invalid configuration")
	// ErrChange means that a change does not apply to the old configuration.
	ErrChange = errors.New("change does not apply")
)

// Problem is one violation of a rule.
type Problem struct {
	// Path is the path of the setting, such as services[0].backends[2].zone. Indices start at 0, in the order of the
	// lists.
	Path string
	// Line is the line in the YAML document, from 1. It is zero if the configuration was not read from YAML.
	Line int
	// Text describes the violation.
	Text string
}

// String formats the problem with its line and path.
func (p Problem) String() string {
	if p.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Text)
	}
	return p.Path + ": " + p.Text
}

// InvalidError contains all problems of a configuration.
type InvalidError struct{ Problems []Problem }

// Error returns the problems, separated by semicolons.
func (e *InvalidError) Error() string {
	texts := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		texts[i] = p.String()
	}
	return ErrInvalid.Error() + ": " + strings.Join(texts, "; ")
}

// Is reports whether target is ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }
