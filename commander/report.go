package commander

import (
	"context"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"monsoonswitch/reporter"
	"monsoonswitch/storer"
)

// reportCommand prints the final report of a service.
type reportCommand struct{ store, service, format string }

func (c *reportCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("report", "Print the served and refused requests of an open, closing or closed service, with the reasons of refusals.")
	clause.Flag("store", "Address of the platform's store.").Required().StringVar(&c.store)
	clause.Flag("format", "text, json or html.").Default("text").EnumVar(&c.format, "text", "json", "html")
	clause.Arg("service", "Name of the service.").Required().StringVar(&c.service)
	return clause
}

func (c *reportCommand) run(ctx context.Context, out, _ io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := reporter.Read(ctx, storer.NewClient(c.store), c.service, time.Now())
	if err != nil {
		return err
	}
	switch c.format {
	case "json":
		return r.JSON(out)
	case "html":
		return r.HTML(out)
	}
	return r.Text(out)
}
