package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/loader"
	"monsoonswitch/soaker"
)

// soakCommand runs randomized soaks with real processes.
type soakCommand struct {
	options soaker.Options
	seeds   int
}

func (c *soakCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("soak", "Run a fleet of processes under random faults, and check every guarantee.")
	clause.Flag("seed", "Seed of the first plan; the same seed gives the same plan.").Default("1").Uint64Var(&c.options.Seed)
	clause.Flag("seeds", "Number of seeds, one after the other.").Default("1").IntVar(&c.seeds)
	clause.Flag("instances", "Number of instances.").Default("6").IntVar(&c.options.Instances)
	clause.Flag("duration", "Duration of the load of each seed.").Default("20s").DurationVar(&c.options.Duration)
	clause.Flag("keep", "Directory for settings and logs; without it they are removed unless a guarantee broke.").StringVar(&c.options.Directory)
	return clause
}

// minSoak is the shortest duration of a soak, which leaves time for faults.
const minSoak = 10 * time.Second

func (c *soakCommand) run(ctx context.Context, out, log io.Writer) error {
	if c.options.Duration < minSoak || c.options.Instances < 1 || c.seeds < 1 {
		return eris.Wrapf(loader.ErrScenario, "duration must be at least %v, instances and seeds at least 1", minSoak)
	}
	// The processes that the soak started are ended with it.
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find the program")
	}
	c.options.Program = program
	declarations, err := loader.WriteDeclarations("pelletier")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(declarations) }()
	c.options.Declarations = declarations
	broken := 0
	for range c.seeds {
		if ctx.Err() != nil {
			return eris.Wrap(ctx.Err(), "soak interrupted")
		}
		ok, err := c.play(ctx, out, log)
		if err != nil {
			return err
		}
		if !ok {
			broken++
		}
		c.options.Seed++
	}
	if broken > 0 {
		return eris.Wrapf(errViolation, "%d of %d seeds", broken, c.seeds)
	}
	return nil
}

// play runs one seed and reports whether every guarantee held.
func (c *soakCommand) play(ctx context.Context, out, log io.Writer) (bool, error) {
	o := c.options
	if o.Directory == "" {
		folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", o.Seed))
		if err != nil {
			return false, eris.Wrap(err, "create a directory")
		}
		o.Directory = folder
	}
	result, err := soaker.Run(ctx, o, log)
	if err != nil {
		return false, err
	}
	fmt.Fprintf(out, "seed %d\n", o.Seed)
	if err := result.Text(out); err != nil {
		return false, err
	}
	if result.GuaranteesHeld() && c.options.Directory == "" {
		return true, eris.Wrap(os.RemoveAll(o.Directory), "remove logs")
	}
	fmt.Fprintf(out, "logs in %s\n", o.Directory)
	return result.GuaranteesHeld(), nil
}
