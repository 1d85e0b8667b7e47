package loader

import (
	"context"
	"fmt"
	"time"

	"monsoonswitch/imitator"
)

// inject applies one fault from f.From until f.To, both relative to the start of the
// scenario. FaultReplace ends when all instances are replaced.
func (r *Runner) inject(ctx context.Context, f Fault) {
	if !sleepUntil(ctx, r.started.Add(f.From)) {
		return
	}
	fmt.Fprintf(r.progress, "      fault %s begins\n", f.Name)
	switch f.Kind {
	case FaultOutage, FaultSlow, FaultLost:
		r.injectStore(ctx, f)
	case FaultReplace:
		r.replaceAll(ctx, f)
	case FaultOneWay:
		r.cutLinks(ctx, f)
	default:
		r.injectBackend(ctx, f)
	}
}

func (r *Runner) injectStore(ctx context.Context, f Fault) {
	fault := imitator.StoreFault{}
	switch f.Kind {
	case FaultOutage:
		fault.Outage = true
	case FaultSlow:
		fault.Slow = f.Time
	default:
		fault.Lost = f.Share
	}
	r.fleet.SetStoreFault(fault)
	sleepUntil(ctx, r.started.Add(f.To))
	r.fleet.SetStoreFault(imitator.StoreFault{})
}

func (r *Runner) injectBackend(ctx context.Context, f Fault) {
	b, ok := r.backendAt(f.Service, f.Index)
	if !ok {
		return
	}
	now := time.Now()
	switch f.Kind {
	case FaultDrain, FaultLeave:
		r.monitor.expectDrain(b)
	case FaultTurn, FaultRepeat, FaultCopy, FaultCrash, FaultRestart:
		// It is not a gray fault: the backend server turns work away, its refusals are not
		// believed, or it is down.
	default:
		r.monitor.expectGray(b, now)
	}
	b.SetFault(f.ofBackend())
	switch f.Kind {
	case FaultCrash:
		b.Crash()
	case FaultRestart:
		b.Crash()
		r.renew(b, f)
		defer r.fleet.Deregister(b.Service(), b.ID())
	}
	if f.isGray() {
		r.watchGray(ctx, f, b)
	}
	sleepUntil(ctx, r.started.Add(f.To))
	b.SetFault(imitator.BackendFault{})
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
	case FaultCopy, FaultRestart:
		fault.Turn, fault.Copy = f.Share, true
	}
	return fault
}

// renew lists a backend server under another ID, beside its entry.
func (r *Runner) renew(b backend, f Fault) {
	entry := b.Entry()
	entry.ID += "-" + f.Name
	r.monitor.expectEntry(b.Service())
	r.fleet.Register(b.Service(), entry)
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
func (r *Runner) cutLinks(ctx context.Context, f Fault) {
	if err := r.fleet.Cut(f.Index); err != nil {
		fmt.Fprintf(r.progress, "      fault %s: %v\n", f.Name, err)
		return
	}
	sleepUntil(ctx, r.started.Add(f.To))
	r.fleet.Heal(f.Index)
}

// replaceAll performs a rolling replacement of all instances.
func (r *Runner) replaceAll(ctx context.Context, f Fault) {
	for range r.scenario.Instances {
		if ctx.Err() != nil {
			return
		}
		if err := r.fleet.Replace(); err != nil {
			fmt.Fprintf(r.progress, "      fault %s: %v\n", f.Name, err)
			return
		}
	}
	fmt.Fprintf(r.progress, "      fault %s: all instances replaced\n", f.Name)
}
