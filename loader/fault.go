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
	}
	now := time.Now()
	switch f.Kind {
	case FaultDrain, FaultLeave:
		r.monitor.expectDrain(b)
	case FaultTurn, FaultRepeat:
		// It is not a gray fault: the backend server turns work away, or its refusals
		// are not believed.
	default:
		r.monitor.expectGray(b, now)
	}
	b.SetFault(fault)
	sleepUntil(ctx, r.started.Add(f.To))
	b.SetFault(imitator.BackendFault{})
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
