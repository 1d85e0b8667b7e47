package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/declarer"
	"monsoonswitch/storer"
)

// diffCommand prints the changes that apply would make.
type diffCommand struct{ store, path string }

func (c *diffCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("diff", "Show what apply would change, with the revision of each service.")
	clause.Flag("store", "Address of the platform's store.").Required().StringVar(&c.store)
	clause.Arg("path", "A declaration file, or a directory of them.").Required().StringVar(&c.path)
	return clause
}

func (c *diffCommand) run(ctx context.Context, out, _ io.Writer) error {
	services, err := declarer.LoadAll(c.path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changes, err := compare(ctx, storer.NewClient(c.store), services)
	if err != nil {
		return err
	}
	for _, ch := range changes {
		if err := ch.print(out); err != nil {
			return err
		}
	}
	return nil
}

// print prints the removed and added lines of a change.
func (ch change) print(out io.Writer) error {
	if ch.unchanged() {
		fmt.Fprintf(out, "%s: unchanged at revision %d\n", ch.service.Name, ch.revision)
		return nil
	}
	after, err := lines(ch.service)
	if err != nil {
		return err
	}
	var before []string
	if ch.exists {
		if before, err = lines(ch.stored); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%s: changes revision %d\n", ch.service.Name, ch.revision)
	for _, l := range difference(before, after) {
		fmt.Fprintf(out, "- %s\n", l)
	}
	for _, l := range difference(after, before) {
		fmt.Fprintf(out, "+ %s\n", l)
	}
	return nil
}

// lines formats each part of a declaration as one line.
func lines(s declarer.Service) ([]string, error) {
	result := []string{fmt.Sprintf("state %s, floor %d or %.0f%%", s.State, s.Floor, 100*s.Share)}
	for _, c := range s.Classes {
		result = append(result, fmt.Sprintf("class %s: target %v, idempotent %v, long %v, keyless %v",
			c.Name, c.Target, c.Idempotent, c.Long, c.Keyless))
	}
	for _, r := range s.Routes {
		methods, err := json.Marshal(r.Methods)
		if err != nil {
			return nil, eris.Wrap(err, "encode methods")
		}
		result = append(result, fmt.Sprintf("route %s: %s %s, class %s", r.Name, methods, r.Path, r.Class))
	}
	return result, nil
}

// difference returns the lines of a that are not in b.
func difference(a, b []string) []string {
	known := "\n" + strings.Join(b, "\n") + "\n"
	var result []string
	for _, l := range a {
		if !strings.Contains(known, "\n"+l+"\n") {
			result = append(result, l)
		}
	}
	return result
}
