package decider

import (
	"errors"
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/container"
	"monsoonswitch/descriptor"
	"monsoonswitch/explorer"
	"monsoonswitch/messenger"
)

// action is what happens in a step of a model.
type action string

// Steps of all models.
const (
	actDeliver action = "deliver"
	actWait    action = "wait"
	actRestart action = "restart"
	actRead    action = "read"
	actWrite   action = "write"
	actArrive  action = "arrive"
	actCut     action = "cut"
	actHeal    action = "heal"
	actJoin    action = "join"
	actAnswer  action = "answer"
	actLeave   action = "leave"
)

// modelStep is one step of a model. Messages are named by what they are and not by a number, so
// that a trace without some of its steps means the same.
type modelStep struct {
	action action
	// id is the instance that gets the event.
	id string
	// from and message name a held message to id, and n distinguishes those with equal names.
	from    string
	message descriptor.MessageType
	n       int
}

// String returns the step as it stands in traces.
func (s modelStep) String() string {
	switch s.action {
	case actDeliver:
		return fmt.Sprintf("deliver %v %d from %s to %s", s.message, s.n, s.from, s.id)
	}
	return fmt.Sprintf("%s %s %d", s.action, s.id, s.n)
}

// modelDigester hashes deciders without what they keep for dumps.
var modelDigester = explorer.NewDigester(
	reflect.TypeFor[*container.Ring[descriptor.Note]](),
	reflect.TypeFor[*container.Table[descriptor.RequestID, []descriptor.TraceEntry]](),
	reflect.TypeFor[*descriptor.Directory](),
)

var errNoEnd = errors.New("messages answer each other without end")

const (
	// maxMessages is a bound on the messages that follow from one event.
	maxMessages = 5000
	// modelStart is the time in which the instances of a model learn of each other.
	modelStart = 800 * time.Millisecond
	// modelWait is the time of a step that waits, and modelTick that between two ticks.
	modelWait = time.Second
	modelTick = 200 * time.Millisecond
)

// modelFleet is a routed fleet whose messages of some kinds are held, so that a search chooses
// whether and in which order they arrive. All others arrive at once.
type modelFleet struct {
	*routedFleet
	mailbox
	// reading is set if instances that watch the store read it at each tick.
	reading bool
	// restarts counts the restarts so far.
	restarts int
}

// mailbox holds the messages between the instances of a model that a search delivers.
type mailbox struct {
	holds func(descriptor.Message) bool
	held  []routedMessage
	// violation is the first violation seen, or nil.
	violation error
}

// newModelFleet returns a fleet whose instances are ready and know each other.
func newModelFleet(n int, prepare func(*routedFleet), holds func(descriptor.Message) bool) *modelFleet {
	f := &modelFleet{routedFleet: newRoutedFleet(0), mailbox: mailbox{holds: func(descriptor.Message) bool { return false }}}
	f.sentBytes = nil
	prepare(f.routedFleet)
	for i := range n {
		f.add(fmt.Sprintf("entry-%d", i), fmt.Sprintf("domain-%d", i))
	}
	f.settleMessages()
	for _, id := range f.order {
		f.read(id, f.version)
	}
	f.wait(modelStart)
	f.holds = holds
	return f
}

// settleMessages delivers all messages that are not held.
func (f *modelFleet) settleMessages() {
	for n := 0; len(f.pending) > 0; n++ {
		if n == maxMessages {
			f.violate(fmt.Errorf("%w, the last from %s to %s: %v", errNoEnd, f.pending[0].from, f.pending[0].to, f.pending[0].message.Type()))
			f.pending = nil
			return
		}
		m := f.pending[0]
		f.pending = f.pending[1:]
		if f.holds(m.message) {
			m.message = f.decoded(m.message)
			f.held = append(f.held, m)
			continue
		}
		f.receive(m)
	}
}

// decoded returns a message as its receiver decodes it.
func (f *mailbox) decoded(m descriptor.Message) descriptor.Message {
	data, err := messenger.Encode(m)
	if err == nil {
		m, err = messenger.Decode(data)
	}
	if err != nil {
		f.violate(err)
	}
	return m
}

// receive delivers a message.
func (f *modelFleet) receive(m routedMessage) {
	if f.instances[m.to] == nil || f.cut != nil && f.cut(m.from, m.to) {
		return
	}
	f.step(m.to, descriptor.Received{At: f.now, From: m.from, Message: m.message})
}

// wait lets time pass for all instances.
func (f *modelFleet) wait(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(modelTick)
		for _, id := range f.order {
			if f.reading && f.watches[id] {
				f.read(id, f.version)
			}
			f.step(id, descriptor.Ticked{At: f.now})
			f.settleMessages()
		}
	}
}

// heldSteps returns the steps that deliver a held message. One that is never delivered is lost.
func (f *mailbox) heldSteps() []modelStep {
	var list []modelStep
	for _, m := range f.held {
		s := modelStep{action: actDeliver, id: m.to, from: m.from, message: m.message.Type()}
		for slices.Contains(list, s) {
			s.n++
		}
		list = append(list, s)
	}
	return list
}

// take removes the held message that a step names.
func (f *mailbox) take(s modelStep) routedMessage {
	n := s.n
	for i, m := range f.held {
		if m.to != s.id || m.from != s.from || m.message.Type() != s.message {
			continue
		}
		if n == 0 {
			f.held = slices.Delete(f.held, i, i+1)
			return m
		}
		n--
	}
	return routedMessage{}
}

// restartInstance replaces an instance by one that has just started and is linked to all
// others. Messages to the former one are lost.
func (f *modelFleet) restartInstance(id string) {
	f.restarts++
	f.clock++
	f.held = slices.DeleteFunc(f.held, func(m routedMessage) bool { return m.to == id })
	f.restart(id)
	f.linkToAll(id)
}

// linkToAll opens the links of an instance to all others.
func (f *modelFleet) linkToAll(id string) {
	for _, other := range f.order {
		if other != id {
			f.link(id, other)
		}
	}
	f.settleMessages()
}

// violate records a violation unless there was one.
func (f *mailbox) violate(err error) {
	if f.violation == nil {
		f.violation = err
	}
}

// Check returns the first violation.
func (f *mailbox) Check() error { return f.violation }

// digestOf hashes the instances, the held messages and what a model adds.
func (f *modelFleet) digestOf(more ...any) uint64 {
	held := make(map[uint64]int)
	for _, m := range f.held {
		held[modelDigester.Sum(m)]++
	}
	values := []any{f.now, held, f.restarts, f.version, f.revision, f.watches, f.linked}
	for _, id := range f.order {
		values = append(values, f.instances[id])
	}
	return modelDigester.Sum(append(values, more...)...)
}

// deeper searches the models further than each run of the tests can.
var deeper = flag.Int("deeper", 0, "search the models by so many steps deeper")

// modelCase is a model with the limits of its search.
type modelCase struct {
	start func() explorer.System[modelStep]
	// depth is the number of steps of the search, which deeper raises.
	depth int
	// walks is the number of random walks beside it, from seed 1 on, and length that of steps
	// of each.
	walks, length int
}

// holds fails the test if a search or a walk finds a violation, and logs the figures.
func (c modelCase) holds(t *testing.T) {
	t.Parallel()
	for what, r := range map[string]explorer.Report[modelStep]{
		"search": explorer.Search(c.start, explorer.Limits{Depth: c.depth + *deeper}),
		"walks":  explorer.Walk(c.start, 1, c.walks*(1+*deeper), c.length),
	} {
		t.Logf("%s: %v", what, r)
		asserter.Equal(t, what+": violations", len(r.Violations), 0)
		asserter.AtLeast(t, what+": states", r.States, 50)
	}
}

// breaks fails the test unless a search finds the given violation, which its trace shows again.
func (c modelCase) breaks(t *testing.T, want error) {
	t.Parallel()
	r := explorer.Search(c.start, explorer.Limits{Depth: c.depth})
	t.Logf("search: %v", r)
	if len(r.Violations) == 0 {
		t.Fatalf("violations: got none, want one")
	}
	asserter.ErrorIs(t, "violation", r.Violations[0].Err, want)
	asserter.ErrorIs(t, "replay", explorer.Replay(c.start, r.Violations[0].Trace), want)
}
