package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"monsoonswitch/declarer"
	"monsoonswitch/storer"
)

// applyCommand writes declarations to the platform's store.
type applyCommand struct {
	store string
	path  string
	// expect maps each service to the revision that the operator expects in the
	// store.
	expect map[string]string
}

func (c *applyCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	c.expect = make(map[string]string)
	clause := app.Command("apply", "Write declarations to the platform's store; every file is checked before any is written.")
	clause.Flag("store", "Address of the platform's store.").Required().StringVar(&c.store)
	clause.Flag("expect", "SERVICE=REVISION: write only if the store holds this revision, as shown by diff; 0 means that there is none.").StringMapVar(&c.expect)
	clause.Arg("path", "A declaration file, or a directory of them.").Required().StringVar(&c.path)
	return clause
}

func (c *applyCommand) run(ctx context.Context, out, _ io.Writer) error {
	services, err := declarer.LoadAll(c.path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := storer.NewClient(c.store)
	changes, err := compare(ctx, client, services)
	if err != nil {
		return err
	}
	for i := range changes {
		if err := changes[i].checkRevision(c.expect); err != nil {
			return err
		}
	}
	var first error
	for _, ch := range changes {
		if err := ch.apply(ctx, client, out); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// change is a declaration together with the stored one of the same service.
type change struct {
	service declarer.Service
	// stored is the declaration in the store and revision its revision; exists
	// reports whether there is one.
	stored   declarer.Service
	exists   bool
	revision uint64
}

// compare reads the stored declarations of the given services. It returns an error if
// the store is unavailable or a stored declaration can't be decoded.
func compare(ctx context.Context, client *storer.Client, services []declarer.Service) ([]change, error) {
	changes := make([]change, 0, len(services))
	for _, s := range services {
		ch := change{service: s}
		item, err := client.Get(ctx, storer.ServiceKey(s.Name))
		switch {
		case errors.Is(err, storer.ErrNotFound):
		case err != nil:
			return nil, err
		default:
			ch.exists = true
			ch.revision = item.Stamp()
			if err := json.Unmarshal(item.Value, &ch.stored); err != nil {
				return nil, eris.Wrapf(storer.ErrMalformed, "%s: %v", item.Key, err)
			}
		}
		changes = append(changes, ch)
	}
	return changes, nil
}

// checkRevision returns an error that wraps storer.ErrConflict if the stored revision
// is not the one that the operator expects.
func (ch change) checkRevision(expect map[string]string) error {
	want, ok := expect[ch.service.Name]
	if !ok || want == fmt.Sprint(ch.revision) {
		return nil
	}
	return eris.Wrapf(storer.ErrConflict, "%s: revision is %d, not %s; see diff", ch.service.Name, ch.revision, want)
}

// unchanged reports whether the store already holds the declaration, regardless of
// the identifier of the change.
func (ch change) unchanged() bool {
	if !ch.exists {
		return false
	}
	before, errBefore := json.Marshal(ch.stored.WithChange(""))
	after, errAfter := json.Marshal(ch.service.WithChange(""))
	return errBefore == nil && errAfter == nil && string(before) == string(after)
}

// apply writes one declaration and prints the outcome. It returns an error unless the
// declaration was accepted or is unchanged.
func (ch change) apply(ctx context.Context, client *storer.Client, out io.Writer) error {
	name := ch.service.Name
	if ch.unchanged() {
		fmt.Fprintf(out, "%s: unchanged at revision %d\n", name, ch.revision)
		return nil
	}
	data, err := json.Marshal(ch.service.WithChange(uuid.NewString()))
	if err != nil {
		return eris.Wrap(err, "encode declaration")
	}
	item, err := client.PutVerified(ctx, storer.ServiceKey(name), data, ch.revision, 0)
	switch {
	case err == nil:
		fmt.Fprintf(out, "%s: accepted as revision %d\n", name, item.Revision)
		return nil
	case errors.Is(err, storer.ErrConflict):
		fmt.Fprintf(out, "%s: rejected: revision %d was written in the meantime; nothing was written\n", name, item.Revision)
	case errors.Is(err, storer.ErrUnknown):
		fmt.Fprintf(out, "%s: unknown: the store did not confirm whether the change took effect; run diff\n", name)
	default:
		fmt.Fprintf(out, "%s: rejected: %v; nothing was written\n", name, err)
	}
	return err
}
