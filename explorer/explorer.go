// Package explorer searches the reachable states of a system whose steps may happen in any
// order. It knows nothing of the system: a step is a value that the system names and executes.
//
// Search visits all states within a number of steps, shortest paths first. Walk takes random
// paths from a seed, which may be longer. Both report a violation with the steps that lead to
// it, and Replay executes these steps again.
package explorer

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// System is one run of a system. It must be deterministic: the same steps from the start give
// the same state. It need not be able to copy its state; a state is reached again by its steps.
type System[S comparable] interface {
	// Steps returns the steps that are possible now, in an order that depends on the state only.
	Steps() []S
	// Do executes a step that Steps returned.
	Do(step S)
	// Digest returns a hash of everything on which later steps depend. Of the states with equal
	// digests only the first is explored.
	Digest() uint64
	// Check returns an error if the state violates what must always hold.
	Check() error
	// Settle lets the system come to rest and returns an error if it then violates what must hold
	// at the end. It is the last call on a run.
	Settle() error
}

// Limits bound a search. A search stops after the level of states in which it reached one.
type Limits struct {
	// Depth is the largest number of steps from the start.
	Depth int
	// States is the number of states after which the search stops; 0 means no limit.
	States int
	// Violations is the number of violations after which the search stops; 0 means one.
	Violations int
}

// Violation is a state that violates what must hold.
type Violation[S comparable] struct {
	// Seed is the seed of the walk that found it, or 0 for a search.
	Seed uint64
	// Trace lists the steps from the start.
	Trace []S
	Err   error
}

// String returns the violation with one step a line.
func (v Violation[S]) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v (seed %d, %d steps)", v.Err, v.Seed, len(v.Trace))
	for i, s := range v.Trace {
		fmt.Fprintf(&b, "\n  %2d. %v", i+1, s)
	}
	return b.String()
}

// Report is the result of a search or of walks.
type Report[S comparable] struct {
	// States is the number of different states, Steps that of steps from them, and Depth the
	// largest number of steps from the start to one of them.
	States, Steps, Depth int
	// Complete reports whether all states within the depth were explored.
	Complete   bool
	Violations []Violation[S]
}

// String returns the figures and all violations.
func (r Report[S]) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d states, %d steps, depth %d, complete %t, %d violations", r.States, r.Steps, r.Depth, r.Complete, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "\n%v", v)
	}
	return b.String()
}

// search is the progress of a Search.
type search[S comparable] struct {
	start  func() System[S]
	limits Limits
	seen   map[uint64]bool
	report Report[S]
	// next holds the states found at the present depth.
	next []found[S]
}

// found is a state by its trace, with the steps that are possible there.
type found[S comparable] struct{ trace, steps []S }

// Search explores all states that are within the limits of the state that start returns. A
// violation ends its path, so each one is reported by a shortest trace.
func Search[S comparable](start func() System[S], limits Limits) Report[S] {
	s := &search[S]{start: start, limits: limits, seen: make(map[uint64]bool)}
	s.limits.Violations = max(1, limits.Violations)
	s.visit(nil)
	for depth := 0; depth < limits.Depth && len(s.next) > 0 && !s.full(); depth++ {
		level := s.next
		s.next = nil
		for _, f := range level {
			s.expand(f)
			if len(s.report.Violations) >= s.limits.Violations {
				return s.report
			}
		}
	}
	s.report.Complete = !s.full()
	return s.report
}

// full reports whether the limit of states is reached.
func (s *search[S]) full() bool {
	return s.limits.States > 0 && s.report.States >= s.limits.States
}

// expand visits the states one step after f.
func (s *search[S]) expand(f found[S]) {
	for _, step := range f.steps {
		if len(s.report.Violations) >= s.limits.Violations {
			return
		}
		s.report.Steps++
		s.visit(append(f.trace[:len(f.trace):len(f.trace)], step))
	}
}

// visit checks the state of a trace unless it was seen before.
func (s *search[S]) visit(trace []S) {
	run := Run(s.start, trace)
	digest := run.Digest()
	if s.seen[digest] {
		return
	}
	s.seen[digest] = true
	s.report.States++
	s.report.Depth = max(s.report.Depth, len(trace))
	steps := run.Steps()
	if err := verdict(run); err != nil {
		s.report.Violations = append(s.report.Violations, Violation[S]{Trace: trace, Err: err})
		return
	}
	s.next = append(s.next, found[S]{trace: trace, steps: steps})
}

// verdict returns the violation of the state of a run, which it ends.
func verdict[S comparable](run System[S]) error {
	if err := run.Check(); err != nil {
		return err
	}
	return run.Settle()
}

// Run returns a new run after the steps of a trace.
func Run[S comparable](start func() System[S], trace []S) System[S] {
	run := start()
	for _, step := range trace {
		run.Do(step)
	}
	return run
}

// Replay executes the steps of a trace that are possible in their turn, and returns the first
// violation or nil.
func Replay[S comparable](start func() System[S], trace []S) error {
	run := start()
	for _, step := range trace {
		if !possible(run, step) {
			continue
		}
		run.Do(step)
		if err := run.Check(); err != nil {
			return err
		}
	}
	return run.Settle()
}

func possible[S comparable](run System[S], step S) bool {
	for _, s := range run.Steps() {
		if s == step {
			return true
		}
	}
	return false
}

// Walk takes a random path of at most the given length for each of a number of seeds from first
// on, and stops at the first violation. Its trace is shortened until no single step can be left
// out.
func Walk[S comparable](start func() System[S], first uint64, walks, length int) Report[S] {
	report := Report[S]{Complete: false}
	seen := make(map[uint64]bool)
	for seed := first; seed < first+uint64(walks); seed++ {
		trace, err := walk(start, seed, length, func(run System[S]) {
			seen[run.Digest()] = true
			report.Steps++
		})
		report.States = len(seen)
		report.Depth = max(report.Depth, len(trace))
		if err != nil {
			report.Violations = []Violation[S]{shorten(start, Violation[S]{Seed: seed, Trace: trace, Err: err})}
			return report
		}
	}
	return report
}

// walk takes one random path and returns its steps and the violation at its end, or nil.
func walk[S comparable](start func() System[S], seed uint64, length int, visit func(System[S])) ([]S, error) {
	random := rand.New(rand.NewPCG(seed, seed))
	run := start()
	var trace []S
	for range length {
		steps := run.Steps()
		if len(steps) == 0 {
			break
		}
		step := steps[random.IntN(len(steps))]
		trace = append(trace, step)
		run.Do(step)
		visit(run)
		if err := run.Check(); err != nil {
			return trace, err
		}
	}
	return trace, run.Settle()
}

// shorten leaves out steps until none can be left out without losing the violation.
func shorten[S comparable](start func() System[S], v Violation[S]) Violation[S] {
	for before := 0; before != len(v.Trace); {
		before = len(v.Trace)
		for i := len(v.Trace) - 1; i >= 0; i-- {
			shorter := without(v.Trace, i)
			if err := Replay(start, shorter); err != nil {
				v.Trace, v.Err = shorter, err
			}
		}
	}
	return v
}

// without returns a trace without its i-th step.
func without[S comparable](trace []S, i int) []S {
	return append(append([]S(nil), trace[:i]...), trace[i+1:]...)
}
