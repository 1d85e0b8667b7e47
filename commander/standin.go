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

// standinStoreCommand runs the platform's stand-in.
type standinStoreCommand struct {
	listen string
	fault  imitator.StoreFault
}

// standinCommand returns the parent command of both stand-in commands.
func standinCommand(app *kingpin.Application) *kingpin.CmdClause {
	if c := app.GetCommand("standin"); c != nil {
		return c
	}
	return app.Command("standin", "Run a stand-in for a part of the fleet's environment.")
}

func (c *standinStoreCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := standinCommand(app).Command("store", "The platform's store and list of backend servers, in memory.")
	clause.Flag("listen", "Address to listen on.").Default("127.0.0.1:9400").StringVar(&c.listen)
	clause.Flag("outage", "Refuse every call.").BoolVar(&c.fault.Outage)
	clause.Flag("slow", "Delay of every call.").DurationVar(&c.fault.Slow)
	clause.Flag("lost", "Share of writes that take effect without a reply.").Float64Var(&c.fault.Lost)
	clause.Flag("lag", "Delay of changes to the list of backend servers.").DurationVar(&c.fault.Lag)
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
	<-stop.ShutdownRequested()
	p.Close()
	return nil
}

// standinBackendCommand runs a backend server's stand-in.
type standinBackendCommand struct {
	listen, store, service, id, domain string
	options                            imitator.BackendOptions
	fault                              imitator.BackendFault
}

func (c *standinBackendCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := standinCommand(app).Command("backend", "A backend server with faults that can be switched on.")
	clause.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").StringVar(&c.listen)
	clause.Flag("store", "Address of the stand-in store to register with.").StringVar(&c.store)
	clause.Flag("service", "Service to register for.").StringVar(&c.service)
	clause.Flag("id", "ID in the list of backend servers.").StringVar(&c.id)
	clause.Flag("domain", "Failure domain.").StringVar(&c.domain)
	clause.Flag("slots", "Number of requests that run concurrently.").Default("3").IntVar(&c.options.Slots)
	clause.Flag("backlog", "Number of requests that may wait for a slot; further ones are shed.").Default("1").IntVar(&c.options.Backlog)
	clause.Flag("median", "Median service time.").Default("20ms").DurationVar(&c.options.Median)
	clause.Flag("spread", "Standard deviation of the logarithm of the service time.").Default("0.5").Float64Var(&c.options.Spread)
	clause.Flag("cold", "Duration of the cold start, in which service times are longer.").DurationVar(&c.options.Cold)
	clause.Flag("down", "How long it is down after a crash.").Default("1s").DurationVar(&c.options.Down)
	clause.Flag("seed", "Seed of the service times.").Default("1").Uint64Var(&c.options.Seed)
	clause.Flag("stall", "Keep requests from completing, while health checks still pass.").BoolVar(&c.fault.Stall)
	clause.Flag("errors", "Share of requests answered with status 500.").Float64Var(&c.fault.Errors)
	clause.Flag("cut", "Share of responses that are truncated.").Float64Var(&c.fault.Cut)
	clause.Flag("late", "Delay of every response.").DurationVar(&c.fault.Late)
	clause.Flag("flap", "Interval after which a stall switches on and off.").DurationVar(&c.fault.Flap)
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
	if err := c.registerAddress(ctx, p.Address()); err != nil {
		return err
	}
	fmt.Fprintf(out, "listening on %s\n", p.Address())
	<-stop.ShutdownRequested()
	return nil
}

// registerAddress registers the stand-in's address with the stand-in store. It does
// nothing if there is no store.
func (c *standinBackendCommand) registerAddress(ctx context.Context, address string) error {
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
