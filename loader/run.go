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
	// keepTime is how long the callers keep address answers.
	keepTime = 2 * time.Second
	// maxOpen bounds the work of one kind under way.
	maxOpen = 4000
	// settleTime bounds the wait for work under way at the end.
	settleTime = 40 * time.Second
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
	watch    *watch
}

// Run runs a scenario with a fleet in this process and reports progress.
func Run(ctx context.Context, s Scenario, progress io.Writer) (Result, error) {
	d, err := deploymentOf(s.Deployment)
	if err != nil {
		return Result{}, err
	}
	f, err := newLocal(s, d)
	if err != nil {
		return Result{}, err
	}
	return runWith(ctx, s, d, f, progress)
}

// RunRemote runs a scenario with a fleet of other processes.
func RunRemote(ctx context.Context, s Scenario, a Remote, progress io.Writer) (Result, error) {
	d, err := deploymentOf(s.Deployment)
	if err != nil {
		return Result{}, err
	}
	f, err := newRemote(a)
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
	r.watch = newWatch(r.fleet, r.deployment, r.started)
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Duration)
	defer cancel()
	var drivers, open sync.WaitGroup
	for i := range r.scenario.Work {
		drivers.Add(1)
		go func() {
			defer drivers.Done()
			r.drive(ctx, i, &open)
		}()
	}
	for _, f := range r.scenario.Faults {
		drivers.Add(1)
		go func() {
			defer drivers.Done()
			r.inject(ctx, f)
		}()
	}
	r.report(ctx)
	drivers.Wait()
	waitAtMost(&open, settleTime)
	r.watch.stop()
	r.fleet.Finish()
	return r.result(), nil
}

// report prints a line of progress each second.
func (r *Runner) report(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			served, refused := r.record.totals()
			fmt.Fprintf(r.progress, "%3.0fs  served %d  refused %d  ejected %d\n",
				now.Sub(r.started).Seconds(), served, refused, r.watch.ejected())
		case <-ctx.Done():
			return
		}
	}
}

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

// drive sends one kind of work at random times, whatever becomes of it.
func (r *Runner) drive(ctx context.Context, index int, open *sync.WaitGroup) {
	w := r.scenario.Work[index]
	random := rand.New(rand.NewPCG(r.scenario.Seed, uint64(index)+1))
	slots := make(chan struct{}, maxOpen)
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
		open.Add(1)
		go func() {
			defer open.Done()
			defer func() { <-slots }()
			r.send(index, n, name)
		}()
	}
}

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

// rateAt returns the rate of work at a time.
func (r *Runner) rateAt(w Work, now time.Time) float64 {
	at := now.Sub(r.started)
	if at >= w.CrestFrom && at < w.CrestTo {
		return w.Rate * w.Crest
	}
	return w.Rate
}

// send does one piece of work and records what became of it.
func (r *Runner) send(index, n int, name string) {
	w := r.scenario.Work[index]
	token := fmt.Sprintf("%s-%d-%d", w.Name, r.scenario.Seed, n)
	poisoned := n < w.Poison
	path := fmt.Sprintf("%s?token=%s&size=%d&weight=%g", w.Path, token, w.Size, w.Weight)
	if poisoned {
		path = fmt.Sprintf("%s?token=poison-%s&crash=1", w.Path, w.Name)
	}
	work := caller.Work{
		Service:    w.Service,
		Method:     w.Method,
		Path:       path,
		Keyed:      w.Keyed,
		Unique:     token,
		Repeatable: w.Idempotent,
		Name:       name,
		Timeout:    w.Timeout,
	}
	if w.Body > 0 {
		work.Size = int64(w.Body)
		work.Body = func() io.Reader { return newSlowBody(w.Body, w.BodyRate) }
	}
	at := time.Since(r.started)
	from := r.callers[n%len(r.callers)]
	result, err := from.Do(context.Background(), work)
	r.record.add(index, at, token, w, result, err, poisoned)
}

// slowBody is a body of a given length that comes at a given rate.
type slowBody struct {
	left  int
	rate  int
	start time.Time
	sent  int
}

func newSlowBody(size, rate int) *slowBody {
	return &slowBody{left: size, rate: rate, start: time.Now()}
}

// bodyPart is the number of bytes of a slow body sent at a time.
const bodyPart = 8 << 10

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	if b.rate > 0 {
		n = min(n, bodyPart)
		due := time.Duration(float64(b.sent+n) / float64(b.rate) * float64(time.Second))
		time.Sleep(time.Until(b.start.Add(due)))
	}
	for i := range n {
		p[i] = 'x'
	}
	b.left -= n
	b.sent += n
	return n, nil
}
