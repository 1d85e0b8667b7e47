package loader

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"monsoonswitch/caller"
)

const (
	// addressKeepTime is how long callers cache address answers.
	addressKeepTime = 2 * time.Second
	// maxInFlight bounds the requests in flight of one kind of work.
	maxInFlight = 4000
	// finishTimeout bounds the wait for requests in flight at the end.
	finishTimeout = 40 * time.Second
)

// Runner runs one scenario.
type Runner struct {
	scenario   Scenario
	deployment deployment
	fleet      fleet
	// callers holds one caller for each failure domain.
	callers  []*caller.Caller
	started  time.Time
	progress io.Writer
	record   *record
	monitor  *monitor
	// answering is the number of instances that answered after the load.
	answering int
}

// Run runs a scenario with a fleet in this process and writes its progress. It
// returns an error if the fleet does not start.
func Run(ctx context.Context, s Scenario, progress io.Writer) (Result, error) {
	d, err := deploymentOf(s.Deployment)
	if err != nil {
		return Result{}, err
	}
	f, err := newLocalFleet(s, d)
	if err != nil {
		return Result{}, err
	}
	return runWith(ctx, s, d, f, progress)
}

// RunRemote runs a scenario with a fleet of other processes and writes its progress. It
// returns ErrFleet if an address, an instance or a backend server of the deployment is
// missing, and another error if the platform does not answer.
func RunRemote(ctx context.Context, s Scenario, a Remote, progress io.Writer) (Result, error) {
	d, err := deploymentOf(s.Deployment)
	if err != nil {
		return Result{}, err
	}
	f, err := newRemoteFleet(a, d)
	if err != nil {
		return Result{}, err
	}
	return runWith(ctx, s, d, f, progress)
}

func runWith(ctx context.Context, s Scenario, d deployment, f fleet, progress io.Writer) (Result, error) {
	defer f.Close()
	r := &Runner{
		scenario:   s,
		deployment: d,
		fleet:      f,
		progress:   progress,
		record:     newRecord(s),
	}
	for _, domain := range d.domains {
		r.callers = append(r.callers, caller.New(f.Entries(), domain))
	}
	return r.run(ctx)
}

func (r *Runner) run(ctx context.Context) (Result, error) {
	r.started = time.Now()
	r.monitor = newMonitor(r.fleet, r.deployment, r.started)
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Duration)
	defer cancel()
	var generators, inFlight sync.WaitGroup
	for i := range r.scenario.Work {
		generators.Add(1)
		go func() {
			defer generators.Done()
			if r.scenario.Work[i].Behind > 0 {
				r.pipeline(ctx, i, &inFlight)
				return
			}
			r.generate(ctx, i, &inFlight)
		}()
	}
	for _, f := range r.scenario.Faults {
		generators.Add(1)
		go func() {
			defer generators.Done()
			r.inject(ctx, f)
		}()
	}
	r.report(ctx)
	generators.Wait()
	waitAtMost(&inFlight, finishTimeout)
	r.monitor.stop()
	r.answering = countInstances(r.fleet.Dumps())
	if !r.scenario.Disturbed {
		r.fleet.Finish()
	}
	return r.result(), nil
}

// report writes a progress line every second.
func (r *Runner) report(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			served, refused := r.record.totals()
			fmt.Fprintf(r.progress, "%3.0fs  served %d  refused %d  ejected %d\n",
				now.Sub(r.started).Seconds(), served, refused, r.monitor.ejected())
		case <-ctx.Done():
			return
		}
	}
}

// waitAtMost waits for the group, but no longer than limit.
func waitAtMost(group *sync.WaitGroup, limit time.Duration) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// generate sends one kind of work with exponentially distributed gaps. The gaps do
// not depend on the outcomes, so that a slow fleet does not reduce the load.
func (r *Runner) generate(ctx context.Context, index int, inFlight *sync.WaitGroup) {
	w := r.scenario.Work[index]
	random := rand.New(rand.NewPCG(r.scenario.Seed, uint64(index)+1))
	slots := make(chan struct{}, maxInFlight)
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / r.rateAt(w, next) * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			return
		}
		name := w.Name + "-" + strconv.Itoa(random.IntN(max(1, w.Callers)))
		select {
		case slots <- struct{}{}:
		default:
			r.record.skip(index)
			continue
		}
		inFlight.Add(1)
		r.record.start(index)
		go func() {
			defer inFlight.Done()
			defer func() { <-slots }()
			r.send(index, n, name)
		}()
	}
}

// sleepUntil waits until t and reports whether ctx is still active.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// rateAt returns the rate of a kind of work at a time, in requests a second.
func (r *Runner) rateAt(w Work, now time.Time) float64 {
	at := now.Sub(r.started)
	if at >= w.PeakFrom && at < w.PeakTo {
		return w.Rate * w.PeakFactor
	}
	return w.Rate
}

// send sends one request and records its outcome.
func (r *Runner) send(index, n int, name string) {
	w := r.scenario.Work[index]
	token := fmt.Sprintf("%s-%d-%d", w.Name, r.scenario.Seed, n)
	poisoned := n < w.Poison
	path := fmt.Sprintf("%s?token=%s&size=%d&weight=%g", w.Path, token, w.Size, w.Weight)
	if w.Body > 0 {
		path += "&sum=" + sumOf(token, w.Body)
	}
	if poisoned {
		path = fmt.Sprintf("%s?token=poison-%s&crash=1", w.Path, w.Name)
	}
	work := caller.Work{
		Service:    w.Service,
		Method:     w.Method,
		Path:       path,
		Keyed:      w.Keyed,
		KeySuffix:  token,
		Repeatable: w.Idempotent,
		Name:       name,
		Timeout:    w.Timeout,
	}
	if w.Body > 0 {
		work.Size = int64(w.Body)
		if w.Chunked {
			work.Size = -1
		}
		work.Body = func() io.Reader { return newSlowBody(token, w.Body, w.BodyRate) }
	}
	at := time.Since(r.started)
	from := r.callers[n%len(r.callers)]
	result, err := from.Do(context.Background(), work)
	r.record.add(index, at, token, w, result, err, poisoned)
}
