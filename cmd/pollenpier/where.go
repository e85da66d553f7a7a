package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/explain"
)

// whereCommand asks a running instance where a request would go.
type whereCommand struct {
	Metrics     string        `long:"metrics" value-name:"HOST:PORT" required:"true" description:"Metrics address of the instance"`
	Host        string        `long:"host" value-name:"HOST" required:"true" description:"Host that the request names"`
	Path        string        `long:"path" value-name:"PATH" required:"true" description:"Path of the request"`
	Key         *uint32       `long:"key" value-name:"N" description:"Routed key of the request"`
	CustomerKey string        `long:"customer-key" value-name:"KEY" env:"POLLENPIER_CUSTOMER_KEY" default-mask:"-" description:"Customer's key; better given in the environment, where other users do not see it"`
	JSON        bool          `long:"json" description:"Print JSON for scripts"`
	Timeout     time.Duration `long:"timeout" value-name:"DURATION" default:"5s" description:"Time limit"`
}

// errWouldBeRefused is the result for a request that would not be sent to a backend.
var errWouldBeRefused = errors.New("the request would be refused")

// Execute implements flags.Commander.
func (c *whereCommand) Execute([]string) error {
	where, err := c.ask()
	if err != nil {
		return err
	}
	if c.JSON {
		if err = json.NewEncoder(os.Stdout).Encode(where); err != nil {
			return errors.Wrap(err, "print answer")
		}
	} else {
		where.WriteText(os.Stdout)
	}
	if !where.Sent() {
		return errWouldBeRefused
	}
	return nil
}

func (c *whereCommand) ask() (*explain.Where, error) {
	body, err := json.Marshal(explain.WhereQuery{Host: c.Host, Path: c.Path, Key: c.Key, CustomerKey: c.CustomerKey})
	if err != nil {
		return nil, errors.Wrap(err, "encode question")
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Metrics+"/where", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "metrics address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "ask instance")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("instance answered %s", resp.Status)
	}
	where := &explain.Where{}
	if err = json.NewDecoder(resp.Body).Decode(where); err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	return where, nil
}
