package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/settings"
	"github.com/pollenpier/pollenpier/operator"
)

// checkCommand validates a settings file and a configuration file without starting anything.
type checkCommand struct {
	Settings string `long:"settings" value-name:"FILE" description:"Settings file of an instance"`
	Config   string `long:"config" value-name:"FILE" description:"Configuration file of an operator"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Settings == "" && c.Config == "" {
		return errors.New("nothing to check: --settings or --config is required")
	}
	if c.Settings != "" {
		if _, err := settings.Load(c.Settings); err != nil {
			return err
		}
		fmt.Printf("%s: settings are valid\n", c.Settings)
	}
	if c.Config != "" {
		if _, err := loadConfig(c.Config); err != nil {
			return err
		}
		fmt.Printf("%s: configuration is valid\n", c.Config)
	}
	return nil
}

// loadConfig reads and validates the configuration file at path.
func loadConfig(path string) (*operator.Config, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	config, err := operator.Decode(data)
	if err != nil {
		return nil, errors.Wrapf(err, "configuration %s", path)
	}
	return config, nil
}
