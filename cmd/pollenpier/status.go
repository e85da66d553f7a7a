package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// statusCommand prints the status or the configuration of a running instance.
type statusCommand struct {
	Admin   string        `long:"admin" value-name:"HOST:PORT" required:"true" description:"Admin address of the instance"`
	Config  bool          `long:"config" description:"Print the current configuration as YAML instead, ready for editing"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"5s" description:"Time limit"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	path := "/status"
	if c.Config {
		path = "/config"
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Admin+path, nil)
	if err != nil {
		return errors.Wrap(err, "admin address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "request status")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("instance answered %s", resp.Status)
	}
	if _, err = io.Copy(os.Stdout, resp.Body); err != nil {
		return errors.Wrap(err, "read status")
	}
	return nil
}
