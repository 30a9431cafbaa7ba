// Package cmds is the command line of hyssophub: it parses the arguments, runs
// entry hosts, and calls the HTTP APIs of running hosts for operators. It owns the
// printed output and the exit codes. Settings are read by package setup, hosts
// are built by package daemon.
package cmds

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes of the program.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Streams are the output streams of a command.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// root is the top level of the command line. Kong derives the names of commands,
// flags and arguments from the field names here and in the command structs.
type root struct {
	Log      string      `help:"Layers that log at debug level: query,owner,member,config,peer,admin,relay,feed or all."`
	Demo     demoCmd     `cmd:"" help:"Run a deployment with stand-ins in this process and query it."`
	Serve    serveCmd    `cmd:"" help:"Run an entry host."`
	Relay    relayCmd    `cmd:"" help:"Run an entry host on the users' platform, by the operators' routes."`
	Explain  explainCmd  `cmd:"" help:"Tell from log lines what became of a request."`
	Manifest manifestCmd `cmd:"" help:"Check, apply or show the manifest."`
	Zone     zoneCmd     `cmd:"" help:"List availability zones or take them out and in."`
	Status   statusCmd   `cmd:"" help:"Show the status of a host."`
	Query    queryCmd    `cmd:"" help:"Send a query as a caller."`
}

// errUsage marks an error in the arguments of a command; the exit code is
// ExitUsage.
var errUsage = errors.New("usage")

// Run executes the command line args, which does not contain the program name,
// and returns the exit code.
func Run(args []string, streams Streams) int {
	var (
		cli  root
		exit = -1
	)
	parser, err := kong.New(&cli,
		kong.Name("hyssophub"),
		kong.Description("A query tier over many shards."),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { exit = code }),
	)
	if err != nil {
		_, _ = fmt.Fprintln(streams.Err, err)
		return ExitFailure
	}
	command, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		_, _ = fmt.Fprintln(streams.Err, "hyssophub:", err)
		return ExitUsage
	}
	if err := command.Run(&cli, &streams); err != nil {
		if !errors.Is(err, errReported) {
			_, _ = fmt.Fprintln(streams.Err, "hyssophub:", err)
		}
		if errors.Is(err, errUsage) {
			return ExitUsage
		}
		return ExitFailure
	}
	return ExitSuccess
}
