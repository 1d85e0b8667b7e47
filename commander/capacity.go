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

// pageFileMode is the file mode of the written page.
const pageFileMode = 0o644

// capacityCommand measures how the cost of control work grows with the fleet and
// writes a page with the computed cost of each role at the target size.
type capacityCommand struct {
	path  string
	quick bool
}

func (c *capacityCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("capacity", "Measure how the control work grows with the fleet and compute the cost of each role at the target size.")
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
	return eris.Wrap(os.WriteFile(c.path, text.Bytes(), pageFileMode), "write page")
}
