package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/operator/publish"
)

// publishCommand appends a configuration to the log of the platform.
type publishCommand struct {
	Platform []string      `long:"platform" value-name:"HOST:PORT" required:"true" description:"Platform address; may be given more than once"`
	Base     int64         `long:"base" value-name:"VERSION" default:"-1" description:"Version that the configuration is based on; 0 for the first configuration"`
	Author   string        `long:"author" value-name:"NAME" description:"Name of the publisher; default: the name of the user"`
	Timeout  time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"Time limit"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"Configuration in YAML"`
	} `positional-args:"yes" required:"yes"`
}

// errRefused means that the configuration was not accepted as the current version.
var errRefused = errors.New("configuration refused")

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	config, err := loadConfig(c.Args.File)
	if err != nil {
		return err
	}
	client, err := publish.NewClient(c.Platform...)
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, stop := signalContext()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if c.Base < 0 {
		return missingBase(ctx, client)
	}
	result, err := client.Publish(ctx, uint64(c.Base), config, c.author())
	if err != nil {
		return err
	}
	if !result.Accepted {
		return errors.Wrapf(errRefused, "%s (current version: %d)", result.Reason, result.Current)
	}
	fmt.Printf("accepted as version %d\n", result.Version)
	return nil
}

// missingBase returns the error for a missing --base, with the current version. Without --base, the file could silently undo
// another operator's change.
func missingBase(ctx context.Context, client *publish.Client) error {
	_, version, err := client.Current(ctx)
	if err != nil {
		return errors.Wrap(err, "--base is missing, and the current version cannot be read")
	}
	return errors.Errorf("--base is missing: set it to the version that the file was made from; the current version is %d", version)
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
