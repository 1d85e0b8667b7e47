package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/configurer"
	"monsoonswitch/explainer"
)

// explainCommand prints the events of one request from logs.
type explainCommand struct {
	id    string
	files []string
}

func (c *explainCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("explain", "Show what happened to one request, from the JSON logs of instances.")
	clause.Arg("id", "The caller's identifier of the request.").Required().StringVar(&c.id)
	clause.Arg("file", "Log files; - is standard input, the default.").Default("-").StringsVar(&c.files)
	return clause
}

func (c *explainCommand) run(_ context.Context, out, log io.Writer) error {
	l := explainer.NewLog()
	for _, name := range c.files {
		if err := readLog(l, name); err != nil {
			return err
		}
	}
	var names []string
	for name := range l.Skipped {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(log, "%s: skipped %d lines that are truncated or not log events\n", name, l.Skipped[name])
	}
	return l.Explain(out, c.id)
}

// readLog reads a log file, or standard input if name is -.
func readLog(l *explainer.Log, name string) error {
	if name == "-" {
		return l.Read("standard input", os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return eris.Wrapf(configurer.ErrInvalid, "%v", err)
	}
	err = l.Read(name, f)
	return errors.Join(err, eris.Wrap(f.Close(), name))
}
