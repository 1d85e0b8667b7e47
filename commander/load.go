package commander

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/configurer"
	"monsoonswitch/loader"
)

// loadCommand runs a load experiment.
type loadCommand struct {
	scenario, policy, format string
	remote                   loader.Remote
}

func (c *loadCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("load", "Run a load experiment with callers, faults and a fleet, and check every guarantee.")
	clause.Flag("policy", "Policies of the instances; overrides those of the scenario.").
		EnumVar(&c.policy, configurer.PolicyStandard, configurer.PolicyRoundRobin, configurer.PolicyConsecutive)
	clause.Flag("format", "text, json or html.").Default("text").EnumVar(&c.format, "text", "json", "html")
	clause.Flag("store", "Address of the stand-in store of a fleet that runs in other processes; without it the fleet runs in this process.").StringVar(&c.remote.Store)
	clause.Flag("entry", "Address of an instance of that fleet for callers; may be repeated.").StringsVar(&c.remote.Entries)
	clause.Flag("operators", "Address of the operators' listener of an instance of that fleet; may be repeated.").StringsVar(&c.remote.Operators)
	clause.Arg("scenario", "Scenario file, or the name of an embedded scenario.").Required().StringVar(&c.scenario)
	return clause
}

// check returns loader.ErrFleet if the addresses of a fleet are given without its store,
// or a policy for a fleet of other processes, which have their own.
func (c *loadCommand) check() error {
	if c.remote.Store == "" && len(c.remote.Entries)+len(c.remote.Operators) > 0 {
		return eris.Wrap(loader.ErrFleet, "addresses of instances are given, but not the address of their store")
	}
	if c.remote.Store != "" && c.policy != "" {
		return eris.Wrap(loader.ErrFleet, "the instances run in other processes and have their own policy")
	}
	return nil
}

func (c *loadCommand) run(ctx context.Context, out, log io.Writer) error {
	if err := c.check(); err != nil {
		return err
	}
	s, err := loader.Load(c.scenario)
	if err != nil {
		return err
	}
	if c.policy != "" {
		s.Policy = c.policy
	}
	run := loader.Run
	if c.remote.Store != "" {
		run = func(ctx context.Context, s loader.Scenario, progress io.Writer) (loader.Result, error) {
			return loader.RunRemote(ctx, s, c.remote, progress)
		}
	}
	result, err := run(ctx, s, log)
	if err != nil {
		return err
	}
	return writeResult(result, c.format, out)
}
