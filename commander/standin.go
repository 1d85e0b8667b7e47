package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"monsoonswitch/descriptor"
	"monsoonswitch/imitator"
	"monsoonswitch/stopper"
)

// standinStoreCommand runs the stand-in of the platform.
type standinStoreCommand struct {
	listen string
	fault  imitator.StoreFault
}

// standinCommand returns the command that both stand-ins belong to.
func standinCommand(app *kingpin.Application) *kingpin.CmdClause {
	if c := app.GetCommand("standin"); c != nil {
		return c
	}
	return app.Command("standin", "Run a stand-in for what surrounds the fleet.")
}

func (c *standinStoreCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := standinCommand(app).Command("store", "The platform's store and list of backend servers, in memory.")
	clause.Flag("listen", "Address to listen on.").Default("127.0.0.1:9400").StringVar(&c.listen)
	clause.Flag("outage", "Refuse every call.").BoolVar(&c.fault.Outage)
	clause.Flag("slow", "Delay of every call.").DurationVar(&c.fault.Slow)
	clause.Flag("lost", "Share of writes that take effect without a reply.").Float64Var(&c.fault.Lost)
	clause.Flag("lag", "Delay of changes of the list.").DurationVar(&c.fault.Lag)
	return clause
}

func (c *standinStoreCommand) run(_ context.Context, out, _ io.Writer) error {
	store := imitator.NewStore()
	store.SetFault(c.fault)
	stop := stopper.New()
	p, err := imitator.ServeStore(store, c.listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "listening on %s\n", p.Address())
	<-stop.Asked()
	p.Close()
	return nil
}

// standinBackendCommand runs the stand-in of a backend server.
type standinBackendCommand struct {
	listen, store, service, id, domain string
	options                            imitator.BackendOptions
	fault                              imitator.BackendFault
}

func (c *standinBackendCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := standinCommand(app).Command("backend", "A backend server with faults that can be switched on.")
	clause.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").StringVar(&c.listen)
	clause.Flag("store", "Address of the stand-in store to register at.").StringVar(&c.store)
	clause.Flag("service", "Service to register for.").StringVar(&c.service)
	clause.Flag("id", "Name in the list.").StringVar(&c.id)
	clause.Flag("domain", "Failure domain.").StringVar(&c.domain)
	clause.Flag("slots", "Requests that run at a time.").Default("3").IntVar(&c.options.Slots)
	clause.Flag("backlog", "Requests that wait before work is shed.").Default("1").IntVar(&c.options.Backlog)
	clause.Flag("median", "Median service time.").Default("20ms").DurationVar(&c.options.Median)
	clause.Flag("spread", "Standard deviation of the logarithm of the service time.").Default("0.5").Float64Var(&c.options.Spread)
	clause.Flag("cold", "Length of the cold start.").DurationVar(&c.options.Cold)
	clause.Flag("down", "How long a crash takes it down.").Default("1s").DurationVar(&c.options.Down)
	clause.Flag("seed", "Seed of the service times.").Default("1").Uint64Var(&c.options.Seed)
	clause.Flag("stall", "Hold all real work while health checks pass.").BoolVar(&c.fault.Stall)
	clause.Flag("errors", "Share of work answered with status 500.").Float64Var(&c.fault.Errors)
	clause.Flag("cut", "Share of answers that break off.").Float64Var(&c.fault.Cut)
	clause.Flag("late", "Delay of every answer.").DurationVar(&c.fault.Late)
	clause.Flag("flap", "Period of stalls that come and go.").DurationVar(&c.fault.Flap)
	return clause
}

func (c *standinBackendCommand) run(ctx context.Context, out, _ io.Writer) error {
	b := imitator.NewBackend(c.options, time.Now())
	b.SetFault(c.fault, time.Now())
	stop := stopper.New()
	p, err := imitator.ServeBackend(b, c.listen)
	if err != nil {
		return err
	}
	defer p.Close()
	if err := c.registerAt(ctx, p.Address()); err != nil {
		return err
	}
	fmt.Fprintf(out, "listening on %s\n", p.Address())
	<-stop.Asked()
	return nil
}

// registerAt enters the stand-in into the list of the stand-in store.
func (c *standinBackendCommand) registerAt(ctx context.Context, address string) error {
	if c.store == "" {
		return nil
	}
	data, err := json.Marshal(descriptor.Backend{Address: address, Domain: c.domain, Slots: c.options.Slots})
	if err != nil {
		return eris.Wrap(err, "encode registration")
	}
	url := "http://" + c.store + imitator.RegisterPath + c.service + "/" + c.id
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(string(data)))
	if err != nil {
		return eris.Wrap(err, "build registration")
	}
	response, err := httpc.DoRequest(r)
	if err != nil {
		return eris.Wrapf(errUnreachable, "%v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Wrapf(errUnreachable, "register: status %d", response.StatusCode)
	}
	return nil
}
