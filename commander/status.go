package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"monsoonswitch/listener"
	"monsoonswitch/operator"
)

// errUnreachable reports an instance or a stand-in that does not answer, or answers
// with an error.
var errUnreachable = eris.New("instance does not answer")

// statusCommand prints the revisions in force at instances.
type statusCommand struct{ addresses []string }

func (c *statusCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("status", "Show the revision of each declaration in force at instances, and how long it took to take effect.")
	clause.Arg("address", "Addresses of operators' listeners.").Required().StringsVar(&c.addresses)
	return clause
}

func (c *statusCommand) run(ctx context.Context, out, log io.Writer) error {
	var first error
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREADY\tMEMBERS\tSERVICE\tREVISION\tSERVES\tSECONDS")
	for _, a := range c.addresses {
		var s operator.Status
		if err := fetch(ctx, a, operator.StatusPath, &s); err != nil {
			fmt.Fprintf(log, "%s: %v\n", a, err)
			first = err
			continue
		}
		for _, v := range s.Services {
			fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%s\t%d\t%v\t%.3f\n",
				s.Instance, s.Domain, s.Ready, len(s.Members), v.Service, v.Revision, v.Serving, v.Seconds)
		}
		if len(s.Services) == 0 {
			fmt.Fprintf(w, "%s\t%s\t%v\t%d\t-\t-\t-\t-\n", s.Instance, s.Domain, s.Ready, len(s.Members))
		}
	}
	if err := w.Flush(); err != nil {
		return eris.Wrap(err, "write status")
	}
	return first
}

// fetch gets and decodes a JSON response of an operators' listener. It returns an
// error that wraps errUnreachable if the instance does not answer with status 200.
func fetch(ctx context.Context, address, path string, result any) error {
	listener.Configure()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	response, err := httpc.DoRequest(r)
	if err != nil {
		return eris.Wrapf(errUnreachable, "%v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Wrapf(errUnreachable, "status %d", response.StatusCode)
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(result), "decode response")
}
