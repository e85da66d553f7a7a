package operator

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"github.com/pollenpier/pollenpier/internal/strictyaml"
)

// Decode reads a configuration from YAML, completes it with the defaults and validates it. Unknown fields, values of a
// wrong kind and durations without a unit are refused. Every error names the line or the path of what is wrong; broken
// rules are an *InvalidError.
func Decode(data []byte) (*Config, error) {
	var written Config
	doc, err := strictyaml.Decode(data, &written)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	c := written.WithDefaults()
	err = c.Validate()
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		for i := range invalid.Problems {
			invalid.Problems[i].Line = doc.Line(invalid.Problems[i].Path)
		}
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Print writes the configuration as YAML that Decode reads. It contains key hashes, never keys.
func (c *Config) Print(w io.Writer) error {
	data, err := yaml.MarshalWithOptions(c.WithDefaults(), yaml.IndentSequence(true))
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	if _, err := w.Write(data); err != nil {
		return errors.Wrap(err, "write configuration")
	}
	return nil
}
