package commander

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"monsoonswitch/configurer"
)

// loadCommand runs an experiment.
type loadCommand struct{ scenario, policy, format string }

func (c *loadCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("load", "Run an experiment: callers, faults and a fleet, with every promise checked.")
	clause.Flag("policy", "Policies of the instances instead of those of the scenario.").
		EnumVar(&c.policy, configurer.PolicyStandard, configurer.PolicyRoundRobin, configurer.PolicyConsecutive)
	clause.Flag("format", "text, json or html.").Default("text").EnumVar(&c.format, "text", "json", "html")
	clause.Arg("scenario", "Scenario file, or the name of a scenario that comes with the program.").Required().StringVar(&c.scenario)
	return clause
}

func (c *loadCommand) run(ctx context.Context, out, log io.Writer) error {
	return runScenario(ctx, c.scenario, c.policy, c.format, out, log)
}
