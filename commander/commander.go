// Package commander implements the command line, with one file for each subcommand.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"monsoonswitch/configurer"
	"monsoonswitch/declarer"
	"monsoonswitch/listener"
	"monsoonswitch/loader"
	"monsoonswitch/storer"
)

// Exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed for any reason not listed below.
	ExitFailed = 1
	// ExitInvalid means that arguments, settings or declarations are invalid.
	ExitInvalid = 2
	// ExitConflict means that the same declaration was changed concurrently.
	ExitConflict = 3
	// ExitUnknown means that it is unknown whether a change took effect.
	ExitUnknown = 4
	// ExitUnavailable means that the platform or an instance did not respond.
	ExitUnavailable = 5
)

// callTimeout bounds the calls of short-running commands.
const callTimeout = 30 * time.Second

// command is one subcommand.
type command interface {
	// register adds the subcommand and its flags.
	register(*kingpin.Application) *kingpin.CmdClause
	// run executes the subcommand. It prints results to out, and progress and
	// errors to log.
	run(ctx context.Context, out, log io.Writer) error
}

// commands returns all subcommands.
func commands() []command {
	return []command{
		&serveCommand{},
		&checkCommand{},
		&applyCommand{},
		&diffCommand{},
		&statusCommand{},
		&dumpCommand{},
		&reportCommand{},
		&explainCommand{},
		&standinStoreCommand{},
		&standinBackendCommand{},
		&demoCommand{},
		&loadCommand{},
		&soakCommand{},
		&trialCommand{},
		&capacityCommand{},
	}
}

// Run executes the subcommand named by the arguments and returns the exit code.
func Run(args []string, out, log io.Writer) int {
	listener.Configure()
	app := kingpin.New("monsoonswitch", "A proxy fleet for services whose backend servers fail grayly.")
	app.UsageWriter(out)
	app.ErrorWriter(log)
	helpShown := false
	app.Terminate(func(int) { helpShown = true })
	clauses := make(map[string]command)
	for _, c := range commands() {
		clauses[c.register(app).FullCommand()] = c
	}
	name, err := app.Parse(args)
	if helpShown {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(log, "monsoonswitch: %v; try --help\n", err)
		return ExitInvalid
	}
	if err := clauses[name].run(context.Background(), out, log); err != nil {
		fmt.Fprintf(log, "monsoonswitch %s: %v\n", name, err)
		return exitCode(err)
	}
	return ExitOK
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	codes := []struct {
		err  error
		code int
	}{
		{configurer.ErrInvalid, ExitInvalid},
		{declarer.ErrInvalid, ExitInvalid},
		{loader.ErrScenario, ExitInvalid},
		{storer.ErrConflict, ExitConflict},
		{storer.ErrUnknown, ExitUnknown},
		{storer.ErrUnavailable, ExitUnavailable},
		{errUnreachable, ExitUnavailable},
	}
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return ExitFailed
}
