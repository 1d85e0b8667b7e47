package decider

import (
	"fmt"
	"slices"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/rationer"
	"monsoonswitch/registrar"
)

// askRegisterInterval is the time between two requests for the register, each to another instance.
const askRegisterInterval = time.Second

// registerState is what a decider keeps beside the register itself.
type registerState struct {
	// write is the open write of the register, or 0.
	write descriptor.WriteID
	// asked counts the requests for the register, the last one at askedAt.
	asked   int
	askedAt time.Time
	// usable is what the last log event about the share of this instance told.
	usable bool
}

// fleetSize returns the number of instances of the fleet: those that serve callers, and the listed ones that
// this instance does not hear of. It is the only source of that number; see docs/design/register.md.
func (d *Decider[E, D, P, L]) fleetSize() int {
	missing, _ := d.registrar.Missing()
	return max(1, d.index.Members()) + missing
}

// updateHeard tells the balancers which share of the fleet this instance hears of. It is 0 under a routing
// while the number of instances is not known.
func (d *Decider[E, D, P, L]) updateHeard() {
	heard := float64(max(1, d.index.Members())) / float64(d.fleetSize())
	if _, known := d.registrar.Missing(); !known && d.options.Routing {
		heard = 0
	}
	if heard == d.heard {
		return
	}
	d.heard = heard
	for _, s := range d.served.All {
		s.SetHeard(heard)
	}
}

// handleRegisterRead handles what a read of the store showed in the place of the register.
func (d *Decider[E, D, P, L]) handleRegisterRead(e descriptor.DocumentsRead) {
	r := registrar.Reading{Began: d.uptime, Complete: e.Complete}
	if e.Uptime > 0 {
		r.Began = e.Uptime
	}
	if n := len(e.Documents); n > 0 {
		r.Document = &e.Documents[n-1]
	}
	if d.registrar.Read(d.uptime, r) {
		d.registerChanged()
	}
}

// handleRegisterReport handles the register of another instance, or its request for the one of this instance.
func (d *Decider[E, D, P, L]) handleRegisterReport(from descriptor.Member, m descriptor.RegisterReport) {
	if !m.Asks {
		if d.registrar.HandleReport(d.uptime, m) {
			d.registerChanged()
		}
		return
	}
	d.sendRegister(from)
}

// sendRegister sends the register that this instance holds, if it knows one.
func (d *Decider[E, D, P, L]) sendRegister(to descriptor.Member) {
	if report, ok := d.registrar.Report(d.uptime); ok {
		d.send(to, report)
	}
}

// handleAnnouncedRegister asks the instance that an announcement came from for a newer register. An origin
// that found an older one, because the store was restored, is sent the one that is held here.
func (d *Decider[E, D, P, L]) handleAnnouncedRegister(from descriptor.Member, m descriptor.Freshness) {
	if d.registrar.Announced(d.uptime, m.Register, time.Duration(m.Age)*time.Millisecond) {
		d.send(from, descriptor.RegisterReport{Asks: true})
		return
	}
	if m.Register > 0 && m.Register < d.registrar.Held().Version && from.ID == m.Origin {
		d.sendRegister(from)
	}
}

// updateRegister asks for a register while none is known, and writes it if that is due.
func (d *Decider[E, D, P, L]) updateRegister() {
	if !d.options.Routing {
		return
	}
	d.askRegister()
	if d.registerState.write == 0 && !d.shutdown.started {
		if next, expect, ok := d.registrar.Next(d.uptime, d.writerRank(), d.membersKnown); ok {
			d.registerState.write = d.nextWrite()
			d.emit(descriptor.WriteRegister{Write: d.registerState.write, Register: next, Expect: expect})
		}
	}
	d.noteShare()
}

// askRegister asks one instance after the other for the register while none is known.
func (d *Decider[E, D, P, L]) askRegister() {
	if d.registrar.Held().Version > 0 || d.now.Sub(d.registerState.askedAt) < askRegisterInterval {
		return
	}
	d.registerState.askedAt = d.now
	links := d.gossiper.Links()
	if len(links) == 0 {
		return
	}
	d.registerState.asked++
	if to, ok := d.gossiper.Member(links[d.registerState.asked%len(links)]); ok {
		d.send(to, descriptor.RegisterReport{Asks: true})
	}
}

// writerRank returns the place of this instance in the order in which instances write the register: those that
// watch the store come first. All others write at the same time, and only one of them is not refused.
func (d *Decider[E, D, P, L]) writerRank() int {
	watchers := d.index.Get(watchRole)
	i := slices.IndexFunc(watchers, func(m descriptor.Member) bool { return m.ID == d.options.Self.ID })
	if i < 0 {
		return routedWatcherCount
	}
	return min(i, routedWatcherCount)
}

// registerWritten handles the result of a write of the register, and reports whether it is one.
func (d *Decider[E, D, P, L]) registerWritten(e descriptor.Written) bool {
	if e.Write == 0 || e.Write != d.registerState.write {
		return false
	}
	d.registerState.write = 0
	isAccepted := e.Result == descriptor.WriteAccepted
	if !isAccepted {
		d.note(descriptor.NoteRegisterWritten, d.options.Self.ID, "not accepted: "+e.Result.String())
	}
	if d.registrar.Result(d.uptime, isAccepted, e.Revision) {
		d.registerChanged()
	}
	return true
}

// registerChanged applies another register to all that depends on the number of instances.
func (d *Decider[E, D, P, L]) registerChanged() {
	held := d.registrar.Held()
	d.note(descriptor.NoteRegister, d.options.Self.ID, fmt.Sprintf("version %d, period %d: %d own a share, %d wait for one, %d join",
		held.Version, held.Period, held.Owners(), len(held.Waiting), len(held.Joining)))
	d.keeper.SetFleetSize(d.fleetSize())
	d.updateHeard()
	d.updateQuotas()
}

// noteShare notes the begin and the end of the time in which this instance may use its share of the limits.
func (d *Decider[E, D, P, L]) noteShare() {
	usable := d.registrar.Usable(d.uptime)
	if usable == d.registerState.usable {
		return
	}
	d.registerState.usable = usable
	detail := "not used: the register does not name this instance as an owner, or was not confirmed for long"
	if usable {
		detail = fmt.Sprintf("used: one of %d", d.registrar.Held().Shares())
	}
	d.note(descriptor.NoteShare, d.options.Self.ID, detail)
}

// quotaView returns what is known of the instances among which the limits of customers are divided.
func (d *Decider[E, D, P, L]) quotaView() rationer.View {
	v := rationer.View{
		Callers: d.index.Get(callersRole),
		Shares:  d.registrar.Held().Shares(),
		Owner:   d.registrar.Usable(d.uptime),
		Ready:   d.membersKnown && !d.shutdown.started,
	}
	for _, m := range d.gossiper.Members() {
		if !m.Ready || m.State >= descriptor.Dead {
			continue
		}
		v.Members = append(v.Members, m)
		if d.registrar.Owns(m.ID) {
			v.Owners = append(v.Owners, m)
		}
	}
	v.AbsentOwners = d.registrar.Held().Owners() - len(v.Owners)
	return v
}
