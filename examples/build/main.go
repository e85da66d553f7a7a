// Command build is an example for operators of building a configuration in code. It builds one of the two example
// configurations and prints it as YAML.
package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/pollenpier/pollenpier/operator"
)

type options struct {
	Args struct {
		Name string `positional-arg-name:"NAME" description:"ziedlapu or kitabi"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		return err
	}
	c, err := build(o.Args.Name)
	if err != nil {
		return err
	}
	return c.Print(os.Stdout)
}

func build(name string) (*operator.Config, error) {
	switch name {
	case "ziedlapu":
		return ziedlapu()
	case "kitabi":
		return kitabi()
	default:
		return nil, errors.Errorf("no example named %q", name)
	}
}

// endpoints returns count backends, spread evenly over zones and named after prefix. The network is the third byte of their
// addresses.
func endpoints(prefix string, count, slots, network int, zones ...string) []operator.Backend {
	list := make([]operator.Backend, count)
	for i := range list {
		zone := i % len(zones)
		list[i] = operator.Backend{
			Name:    fmt.Sprintf("%s-%02d", prefix, i+1),
			Zone:    zones[zone],
			Address: fmt.Sprintf("10.%d.%d.%d:8080", zone+1, network, i+10),
			Slots:   slots,
			// MaxConnections is not set: the default of 130 connections applies.
			ChecksTokens: i%3 != 2, // not all backends check fencing tokens; here, every third one does not
		}
	}
	return list
}

// sampleKey returns the hash of an example key. Real keys are random, and the configuration contains only their hashes.
func sampleKey(customer string) string { return operator.HashKey("sample key of " + customer) }
