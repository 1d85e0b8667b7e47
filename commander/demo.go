package commander

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/loader"
)

// errPromise reports a run in which a promise was broken.
var errPromise = eris.New("a promise was broken")

// demoCommand shows the whole path in one process.
type demoCommand struct{}

func (c *demoCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	return app.Command("demo", "Run a small fleet with a gray backend server for ten seconds, on loopback in this process.")
}

func (c *demoCommand) run(ctx context.Context, out, _ io.Writer) error {
	return runScenario(ctx, "demo", "", "text", out, out)
}

// runScenario runs a scenario and writes its result.
func runScenario(ctx context.Context, name, policy, format string, out, progress io.Writer) error {
	s, err := loader.Load(name)
	if err != nil {
		return err
	}
	if policy != "" {
		s.Policy = policy
	}
	result, err := loader.Run(ctx, s, progress)
	if err != nil {
		return err
	}
	write := result.Text
	switch format {
	case "json":
		write = result.JSON
	case "html":
		write = result.HTML
	}
	if err := write(out); err != nil {
		return err
	}
	if !result.Held() {
		return eris.Wrap(errPromise, name)
	}
	return nil
}
