// Command pollenpier runs instances of the router and provides the tools to operate it; `pollenpier --help` lists them.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/gin-gonic/gin"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	exitFailed = 1
	exitUsage  = 2
	// exitRefused is the code of the subcommand where for a request that would be refused.
	exitRefused = 3
)

// commands lists the subcommands. The parser calls the Execute method of the one that is named.
type commands struct {
	Serve    serveCommand    `command:"serve" description:"Run one instance from a settings file"`
	Check    checkCommand    `command:"check" description:"Validate an instance's settings or a configuration without starting anything"`
	Publish  publishCommand  `command:"publish" description:"Append a configuration and report whether it was accepted"`
	Status   statusCommand   `command:"status" description:"Print the status of a running instance"`
	Platform platformCommand `command:"platform" description:"Run one instance on the users' platform"`
	Explain  explainCommand  `command:"explain" description:"Print the path of one request from the logs of instances"`
	Where    whereCommand    `command:"where" description:"Ask a running instance where a request would go, without sending it"`
	Standin  standinCommand  `command:"standin" description:"Run a simulated platform or backend, for trials and tests"`
	Demo     demoCommand     `command:"demo" description:"Run a complete deployment on loopback in one process"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes the command line and returns the exit code: 0, exitFailed, exitUsage or exitRefused.
func run(args []string) int {
	// In its default mode, gin writes unstructured lines to standard error in between the log events.
	gin.SetMode(gin.ReleaseMode)
	parser := flags.NewParser(&commands{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "pollenpier"
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "pollenpier:", usage.Message)
		return exitUsage
	case errors.Is(err, errWouldBeRefused):
		return exitRefused
	default:
		fmt.Fprintln(os.Stderr, "pollenpier:", err)
		return exitFailed
	}
}
