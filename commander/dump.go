package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
	"monsoonswitch/operator"
)

// dumpCommand prints the state of one instance.
type dumpCommand struct {
	address string
	json    bool
}

func (c *dumpCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("dump", "Show the current state of an instance.")
	clause.Flag("json", "Print JSON.").BoolVar(&c.json)
	clause.Arg("address", "Address of the operators' listener.").Required().StringVar(&c.address)
	return clause
}

func (c *dumpCommand) run(ctx context.Context, out, _ io.Writer) error {
	var d struct {
		Settings json.RawMessage
		State    descriptor.Dump
	}
	if err := fetch(ctx, c.address, operator.DumpPath, &d); err != nil {
		return err
	}
	if c.json {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return eris.Wrap(e.Encode(d), "write dump")
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	printInstance(w, d.State)
	for _, s := range d.State.Services {
		printService(w, s)
	}
	for _, n := range d.State.Notes {
		fmt.Fprintf(w, "event\t%d\t%s\t%s\t%s\n", n.Number, n.Service, n.Subject, n.Detail)
	}
	return eris.Wrap(w.Flush(), "write dump")
}

// printInstance prints the state of the instance itself, its links and its members.
func printInstance(w io.Writer, d descriptor.Dump) {
	fmt.Fprintf(w, "instance\t%s\tincarnation %d\tdomain %s\tat %s\n",
		d.Instance.ID, d.Instance.Incarnation, d.Instance.Domain, d.At.Format(time.RFC3339Nano))
	fmt.Fprintf(w, "state\tready %v\tleaving %v\twatching %v\topen requests %d\n", d.Ready, d.Leaving, d.Watching, d.Pending)
	fmt.Fprintf(w, "keys\theld %d\twaiting %d\tforgotten %d\t\n", d.Keys.Held, d.Keys.Parked, d.Keys.Dropped)
	fmt.Fprintf(w, "links\t%d\t%v\t\t\n", len(d.Links), d.Links)
	for _, m := range d.Members {
		fmt.Fprintf(w, "member\t%s\t%s\t%s\tready %v\n", m.ID, m.Domain, m.State, m.Ready)
	}
}

// printService prints the state of one service with its classes, backend servers and
// ejections.
func printService(w io.Writer, s descriptor.ServiceDump) {
	fmt.Fprintf(w, "service\t%s\t%s\trevision %d\tserving %v\n", s.Name, s.State, s.Revision, s.Serving)
	fmt.Fprintf(w, "floor\t%d of %d\trefused %q\tretry budget %.1f\tsuspected requests %d\n", s.Floor, s.Live, s.Refused, s.Budget, s.Suspect)
	for _, c := range s.Classes {
		fmt.Fprintf(w, "class\t%s\tqueued %d\tin flight %d of %d\tmedian %v p99 %v\n", c.Name, c.Queued, c.InFlight, c.Limit, c.Median, c.Tail)
	}
	for _, b := range s.Backends {
		fmt.Fprintf(w, "backend\t%s\t%s avoided %v\tin flight %d of %d+%d-%d\tevidence %.1f fleet %.1f\n",
			b.ID, b.State, b.Avoided, b.InFlight, b.Share, b.Borrowed, b.Lent, b.Local, b.Fleet)
	}
	for _, e := range s.Ejections {
		fmt.Fprintf(w, "ejection\t%s\tby %s\tstrike %d\tuntil %s\n", e.Backend, e.By, e.Strikes, e.Until.Format(time.RFC3339))
	}
}
