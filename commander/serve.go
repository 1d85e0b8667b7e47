package commander

import (
	"context"
	"io"
	"log"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/configurer"
	"monsoonswitch/descriptor"
	"monsoonswitch/logger"
	"monsoonswitch/server"
	"monsoonswitch/stopper"
)

// serveCommand runs an instance until a shutdown is requested.
type serveCommand struct{ settings string }

func (c *serveCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("serve", "Run an instance until SIGTERM; it then completes the requests in flight. SIGHUP, or another settings file in the place of the first one, reloads the settings.")
	clause.Flag("settings", "Settings file in INI format.").Short('s').Required().StringVar(&c.settings)
	return clause
}

func (c *serveCommand) run(_ context.Context, out, _ io.Writer) error {
	watcher := configurer.NewWatcher(c.settings)
	settings, err := configurer.Load(c.settings)
	if err != nil {
		return err
	}
	limits := logger.RequestLimits{Notable: settings.Log.Notable, Sampled: settings.Log.Sampled}
	l, err := logger.New(out, settings.Log.Level, settings.Log.Format, settings.Instance.Name, limits)
	if err != nil {
		return eris.Wrapf(configurer.ErrInvalid, "%v", err)
	}
	defer l.Close()
	log.SetFlags(0)
	log.SetOutput(l.Libraries())
	limitHeap(settings.Limits.Memory)
	stop := stopper.New()
	s, err := server.New(settings, l)
	if err != nil {
		return err
	}
	c.waitForShutdown(stop, watcher, s, l)
	l.Event(descriptor.NoteSignal, "", settings.Instance.Name, stop.Reason())
	s.Shutdown()
	stop.Finish()
	return nil
}

// settingsInterval is the time between two checks whether the settings file was replaced.
const settingsInterval = time.Second

// waitForShutdown reloads the settings on request, or when their file was replaced, until a shutdown is
// requested.
func (c *serveCommand) waitForShutdown(stop *stopper.Stopper, w *configurer.Watcher, s *server.Server, l *logger.Logger) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop.ReloadRequested():
			c.reload(w, s, l)
		case <-ticker.C:
			if w.Changed() {
				c.reload(w, s, l)
			}
		case <-stop.ShutdownRequested():
			return
		}
	}
}

// reload puts the settings of the file in force if they are valid.
func (c *serveCommand) reload(w *configurer.Watcher, s *server.Server, l *logger.Logger) {
	w.Load()
	settings, err := configurer.Load(c.settings)
	if err != nil {
		l.Event(descriptor.NoteReloadFailed, "", c.settings, err.Error())
		return
	}
	s.Reload(settings)
}

// mappedBytes is what the process holds beside the memory that the collector counts, in bytes: its code,
// and what the system has not taken back yet.
const mappedBytes = 36e6

// limitHeap makes the collector run more often as the process comes near the memory of its settings.
// That helps where garbage grows quickly; what is in use is bounded by the admission.
func limitHeap(memory int) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(max(memory-mappedBytes, memory/2)))
	}
}
