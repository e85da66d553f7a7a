package main

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/explain"
)

// explainCommand prints the path of one request, collected from the logs of instances.
type explainCommand struct {
	Request string `long:"request" value-name:"ID" required:"true" description:"Id of the request"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"Logs of instances; - is standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var sources []explain.Source
	for _, name := range c.Args.Files {
		if name == "-" {
			sources = append(sources, explain.Source{Name: "stdin", Reader: os.Stdin})
			continue
		}
		file, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		defer func() { _ = file.Close() }() // the file was only read
		sources = append(sources, explain.Source{Name: name, Reader: file})
	}
	return explain.Request(os.Stdout, sources, c.Request)
}
