package operator

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"github.com/pollenpier/pollenpier/internal/strictyaml"
)

// Decode reads a configuration from YAML, completes it with the defaults and validates it. It rejects unknown fields,
// values of the wrong type and durations without a unit. Every error contains the line or the path of the problem.
// Violations of rules are returned as an *InvalidError.
func Decode(data []byte) (*Config, error) {
	var decoded Config
	doc, err := strictyaml.Decode(data, &decoded)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	c := decoded.WithDefaults()
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

// Print writes the configuration as YAML that Decode accepts. The output contains hashes of keys, never keys.
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
