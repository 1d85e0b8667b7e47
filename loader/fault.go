package loader

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/imitator"
)

// inject applies one fault from f.From until f.To, both relative to the start of the
// scenario. FaultReplace ends when all instances are replaced. A fault that could not be
// injected is recorded, since the scenario then shows nothing.
func (r *Runner) inject(ctx context.Context, f Fault) {
	err := errNotInjected
	if sleepUntil(ctx, r.started.Add(f.From)) {
		fmt.Fprintf(r.progress, "      fault %s begins\n", f.Name)
		err = r.injectKind(ctx, f)
	}
	if err != nil {
		fmt.Fprintf(r.progress, "      fault %s: %v\n", f.Name, err)
		r.record.failInjection(f.Name, err)
	}
}

// errNotInjected reports a fault that was not injected, or not to its end.
var errNotInjected = eris.New("not injected")

// injectKind applies a fault until its end. It returns an error if it could not.
func (r *Runner) injectKind(ctx context.Context, f Fault) error {
	switch f.Kind {
	case FaultOutage, FaultSlow, FaultLost:
		return r.injectStore(ctx, f)
	case FaultReplace:
		return r.replaceAll(ctx, f)
	case FaultOneWay:
		return r.cutLinks(ctx, f)
	default:
		return r.injectBackend(ctx, f)
	}
}

func (r *Runner) injectStore(ctx context.Context, f Fault) error {
	fault := imitator.StoreFault{}
	switch f.Kind {
	case FaultOutage:
		fault.Outage = true
	case FaultSlow:
		fault.Slow = f.Time
	default:
		fault.Lost = f.Share
	}
	if err := r.fleet.SetStoreFault(fault); err != nil {
		return err
	}
	sleepUntil(ctx, r.started.Add(f.To))
	return r.fleet.SetStoreFault(imitator.StoreFault{})
}

func (r *Runner) injectBackend(ctx context.Context, f Fault) error {
	b, ok := r.backendAt(f.Service, f.Index)
	if !ok {
		return eris.Wrapf(errNotInjected, "%s has no backend server %d", f.Service, f.Index)
	}
	now := time.Now()
	switch f.Kind {
	case FaultDrain, FaultLeave:
		r.monitor.expectDrain(b)
	case FaultTurn, FaultRepeat, FaultCopy, FaultCrash, FaultRestart, FaultOdd, FaultPart:
		// It is not a gray fault: the backend server turns work away, its refusals are not
		// believed, some of its answers are none, or it is down.
	default:
		r.monitor.expectGray(b, now, f.Found)
	}
	if err := r.setFault(b, f.ofBackend()); err != nil {
		return err
	}
	if err := r.restart(b, f); err != nil {
		return err
	}
	if f.staysGray() {
		r.watchGray(ctx, f, b)
	}
	sleepUntil(ctx, r.started.Add(f.To))
	if f.Kind == FaultRestart {
		if err := r.fleet.Deregister(b.Service(), b.ID()); err != nil {
			return err
		}
	}
	return r.setFault(b, imitator.BackendFault{})
}

const (
	// downTimeout bounds the wait until a backend server that crashed confirms a fault.
	downTimeout = 3 * time.Second
	// downPollInterval is the time between two tries.
	downPollInterval = 100 * time.Millisecond
)

// setFault sets the fault of a backend server. Where backend servers crash, one may be down because
// of another fault, and confirms this one when it is back.
func (r *Runner) setFault(b backend, f imitator.BackendFault) error {
	err := b.SetFault(f)
	if !r.scenario.crashes() {
		return err
	}
	for deadline := time.Now().Add(downTimeout); err != nil && time.Now().Before(deadline); {
		time.Sleep(downPollInterval)
		err = b.SetFault(f)
	}
	return err
}

// restart crashes a backend server if the fault does so, and lists it anew if it comes back under
// another ID.
func (r *Runner) restart(b backend, f Fault) error {
	if !f.crashes() {
		return nil
	}
	if err := b.Crash(); err != nil || f.Kind == FaultCrash {
		return err
	}
	return r.renew(b, f)
}

// ofBackend returns the fault that a backend server is set to.
func (f Fault) ofBackend() imitator.BackendFault {
	fault := imitator.BackendFault{}
	switch f.Kind {
	case FaultStall:
		fault.Stall = true
	case FaultErrors:
		fault.Errors = f.Share
	case FaultCut:
		fault.Cut = f.Share
	case FaultLate:
		fault.Late = f.Time
	case FaultFlap:
		fault.Flap = f.Time
	case FaultDrain:
		fault.Drain = true
	case FaultLeave:
		fault.Leave = true
	case FaultTurn:
		fault.Turn, fault.Pause = f.Share, f.Time
	case FaultRepeat:
		fault.Repeat = true
	case FaultOdd:
		fault.Odd = f.Share
	case FaultPart:
		fault.Part = f.Share
	case FaultCopy, FaultRestart:
		fault.Turn, fault.Copy = f.Share, true
	}
	return fault
}

// renew lists a backend server under another ID, beside its entry.
func (r *Runner) renew(b backend, f Fault) error {
	entry := b.Entry()
	entry.ID += "-" + f.Name
	r.monitor.expectEntry(b.Service())
	return r.fleet.Register(b.Service(), entry)
}

// backendAt returns the i-th backend server of a service, counted from 0.
func (r *Runner) backendAt(service string, i int) (backend, bool) {
	for _, b := range r.fleet.Backends() {
		if b.Service() != service {
			continue
		}
		if i == 0 {
			return b, true
		}
		i--
	}
	return nil, false
}

// cutLinks blocks the inbound direction of the links that an instance accepted
// until f.To.
func (r *Runner) cutLinks(ctx context.Context, f Fault) error {
	if err := r.fleet.Cut(f.Index); err != nil {
		return err
	}
	sleepUntil(ctx, r.started.Add(f.To))
	r.fleet.Heal(f.Index)
	return nil
}

// replaceAll performs a rolling replacement of all instances. It returns an error if the
// scenario ends before it.
func (r *Runner) replaceAll(ctx context.Context, f Fault) error {
	for i := range r.scenario.Instances {
		if ctx.Err() != nil {
			return eris.Wrapf(errNotInjected, "only %d of %d instances replaced", i, r.scenario.Instances)
		}
		if err := r.fleet.Replace(); err != nil {
			return err
		}
	}
	fmt.Fprintf(r.progress, "      fault %s: all instances replaced\n", f.Name)
	return nil
}
