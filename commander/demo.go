package commander

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/loader"
)

// errViolation reports a scenario in which the fleet violated a guarantee.
var errViolation = eris.New("a guarantee was violated")

// demoCommand runs the embedded demo scenario in one process.
type demoCommand struct{}

func (c *demoCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	return app.Command("demo", "Run a small fleet with a gray backend server for ten seconds, in this process and on the loopback interface.")
}

func (c *demoCommand) run(ctx context.Context, out, _ io.Writer) error {
	s, err := loader.Load("demo")
	if err != nil {
		return err
	}
	result, err := loader.Run(ctx, s, out)
	if err != nil {
		return err
	}
	return writeResult(result, "text", out)
}

// writeResult writes the result of a scenario in a format. It returns errViolation if
// a guarantee was violated.
func writeResult(result loader.Result, format string, out io.Writer) error {
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
	if !result.GuaranteesHeld() {
		return eris.Wrap(errViolation, result.Scenario)
	}
	return nil
}
