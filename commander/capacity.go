package commander

import (
	"bytes"
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/estimator"
)

// pageMode is the mode of a written page.
const pageMode = 0o644

// capacityCommand measures the slopes of the control work.
type capacityCommand struct {
	path  string
	quick bool
}

func (c *capacityCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("capacity", "Measure how the control work grows and compute each role at the target size.")
	clause.Flag("write", "Write the page to this file.").StringVar(&c.path)
	clause.Flag("quick", "Measure fewer and smaller sizes.").BoolVar(&c.quick)
	return clause
}

func (c *capacityCommand) run(_ context.Context, out, log io.Writer) error {
	page, err := estimator.Measure(c.quick, log)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := page.Write(&text); err != nil {
		return err
	}
	if c.path == "" {
		_, err := out.Write(text.Bytes())
		return eris.Wrap(err, "write page")
	}
	return eris.Wrap(os.WriteFile(c.path, text.Bytes(), pageMode), "write page")
}
