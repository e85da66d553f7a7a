package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/platform"
)

// publishCommand appends a configuration to the platform's log.
type publishCommand struct {
	Platform []string      `long:"platform" value-name:"HOST:PORT" required:"true" description:"Platform address, may be given more than once"`
	Base     int64         `long:"base" value-name:"VERSION" default:"-1" description:"Version that the configuration was made from; 0 for the first"`
	Author   string        `long:"author" value-name:"NAME" description:"Who publishes; the user's name if not given"`
	Timeout  time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"How long to try"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"Configuration in YAML"`
	} `positional-args:"yes" required:"yes"`
}

// errRefused means that the configuration did not come into force.
var errRefused = errors.New("configuration refused")

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	config, err := loadConfig(c.Args.File)
	if err != nil {
		return err
	}
	client, err := platform.NewHTTPClient(platform.ClientSettings{Addresses: c.Platform})
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, stop := signalContext()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if c.Base < 0 {
		// Without a base, the file could silently undo another operator's change.
		return errors.New("--base is missing: give the version that the file was made from (see pollenpier status), 0 for the first")
	}
	result, err := configlog.Publish(ctx, client, uint64(c.Base), config, c.author())
	if err != nil {
		return err
	}
	if !result.Accepted {
		return errors.Wrapf(errRefused, "%s (version in force: %d)", result.Reason, result.Current)
	}
	fmt.Printf("accepted as version %d\n", result.Version)
	return nil
}

// author returns the name under which the configuration is published.
func (c *publishCommand) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}
