package estimator

import (
	"fmt"
	"runtime"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/decider"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/messenger"
)

// Point is one measurement of a decider.
type Point struct {
	// Size is the number of members or services.
	Size int
	// Memory is the heap in bytes that the state occupies.
	Memory float64
	// Tick is the time of one gossip tick in which nothing else happens.
	Tick time.Duration
	// Change is the time to handle one change.
	Change time.Duration
	// Dump is the time to build a dump.
	Dump time.Duration
}

// Line is a straight line fitted to measurements.
type Line struct{ Base, Slope float64 }

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// fit returns the least-squares line of a value over the sizes.
func fit(points []Point, value func(Point) float64) Line {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		x, y := float64(p.Size), value(p)
		n++
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{Base: sy / n}
	}
	slope := (n*sxy - sx*sy) / d
	return Line{Base: (sy - slope*sx) / n, Slope: slope}
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newDecider returns a decider that knows the given numbers of ready members and
// services.
func newDecider(members, services int) *decider.Standard {
	d := decider.NewStandard(decider.Options{Self: memberOf(0), Seed: 1}, epoch)
	var records []descriptor.Member
	for i := 1; i < members; i++ {
		records = append(records, memberOf(i))
	}
	if len(records) > 0 {
		d.Step(descriptor.LinkOpened{At: epoch, Peer: records[0]})
		d.Step(descriptor.Received{At: epoch, From: records[0].ID, Message: descriptor.Members{Records: records}})
	}
	d.Step(descriptor.DocumentsRead{At: epoch, Kind: descriptor.KindService, Complete: true, Documents: documentsOf(services)})
	for i := range settleTicks {
		d.Step(descriptor.Ticked{At: epoch.Add(time.Duration(i+1) * 100 * time.Millisecond)})
	}
	return d
}

// settleTicks is the number of ticks after which all work caused by the start is
// done.
const settleTicks = 50

func memberOf(i int) descriptor.Member {
	return descriptor.Member{
		ID:          fmt.Sprintf("entry-%d", i),
		Incarnation: epoch.UnixMicro(),
		Version:     2,
		Public:      fmt.Sprintf("10.%d.%d.%d:9100", i>>16, i>>8&255, i&255),
		Inner:       fmt.Sprintf("10.%d.%d.%d:9200", i>>16, i>>8&255, i&255),
		Domain:      fmt.Sprintf("domain-%d", i%targetDomains),
		Ready:       true,
	}
}

func documentsOf(services int) []descriptor.Document {
	var list []descriptor.Document
	for i := range services {
		list = append(list, declarationOf(i, 1), backendsOf(i, 1))
	}
	return list
}

// declarationOf returns a declaration with the mean number of routes, rounded up.
func declarationOf(i int, revision uint64) descriptor.Document {
	s := declarer.Service{
		Name:  fmt.Sprintf("service-%d", i),
		Share: 0.6,
		Classes: []declarer.Class{
			{Name: "lookup", Target: 300 * time.Millisecond, Idempotent: true},
			{Name: "write", Target: time.Second},
			{Name: "upload", Target: time.Minute, Long: true},
		},
	}
	for r := range targetRoutes/targetServices + 1 {
		s.Routes = append(s.Routes, declarer.Route{
			Name:    fmt.Sprintf("route-%d", r),
			Methods: []string{"GET"},
			Path:    fmt.Sprintf("/part/%d/", r),
			Class:   "lookup",
		})
	}
	return descriptor.Document{Kind: descriptor.KindService, Name: s.Name, Revision: revision, At: epoch, Service: &s}
}

func backendsOf(i int, revision uint64) descriptor.Document {
	d := descriptor.Document{Kind: descriptor.KindBackends, Name: fmt.Sprintf("service-%d", i), Revision: revision}
	for b := range backendsPerService {
		d.Backends = append(d.Backends, descriptor.Backend{
			ID:      fmt.Sprintf("service-%d-%d", i, b),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", b, i>>8, i&255),
			Domain:  fmt.Sprintf("domain-%d", b%targetDomains),
			Slots:   slotsPerBackend,
		})
	}
	return d
}

// heap returns the number of bytes of live heap objects.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureMembers measures a decider that knows the given number of members.
func measureMembers(members int) Point {
	before := heap()
	d := newDecider(members, 1)
	p := Point{Size: members, Memory: heap() - before}
	now := epoch.Add(time.Minute)
	p.Tick = timeOf(func(i int) {
		d.Step(descriptor.Ticked{At: now.Add(time.Duration(i) * 200 * time.Millisecond)})
	})
	version := int64(3)
	p.Change = timeOf(func(i int) {
		m := memberOf(1 + i%(members-1))
		m.Version = version + int64(i)
		m.Ready = i%2 == 0
		d.Step(descriptor.Received{At: now, From: memberOf(1).ID, Message: descriptor.Members{Records: []descriptor.Member{m}}})
	})
	p.Dump = timeOf(func(int) { d.Dump(now) })
	runtime.KeepAlive(d)
	return p
}

// measureServices measures a decider that knows the given number of services and
// 200 members. It serves only its share of the services.
func measureServices(services int) Point {
	before := heap()
	d := newDecider(200, services)
	p := Point{Size: services, Memory: heap() - before}
	now := epoch.Add(time.Minute)
	p.Tick = timeOf(func(i int) {
		d.Step(descriptor.Ticked{At: now.Add(time.Duration(i) * 200 * time.Millisecond)})
	})
	revision := uint64(2)
	p.Change = timeOf(func(i int) {
		document := backendsOf(i%services, revision+uint64(i))
		d.Step(descriptor.DocumentsRead{At: now, Documents: []descriptor.Document{document}})
	})
	runtime.KeepAlive(d)
	return p
}

// timeOf returns the mean time of a call. It calls for at least minTime, but at
// most maxCalls times.
func timeOf(call func(int)) time.Duration {
	const minTime = 100 * time.Millisecond
	const maxCalls = 20000
	start := time.Now()
	n := 0
	for n < maxCalls && (n < 5 || time.Since(start) < minTime) {
		call(n)
		n++
	}
	return time.Since(start) / time.Duration(n)
}

// Sizes holds the encoded lengths of messages in bytes.
type Sizes struct {
	Heartbeat, Digest, Member, Reference, Declaration, Backends, Evidence, Tally float64
}

// frameOverhead is the assumed length in bytes of the header of a WebSocket frame: 2
// bytes and a mask of 4. Frames with 126 bytes of data and more have a longer header,
// and frames of the accepting side have no mask.
const frameOverhead = 6

func measureSizes() (Sizes, error) {
	var s Sizes
	evidence := descriptor.Evidence{Service: "service-1000"}
	for i := range backendsPerService {
		evidence.Scores = append(evidence.Scores, descriptor.Score{Backend: fmt.Sprintf("service-1000-%d", i), Value: 1.2345, Recent: 50})
	}
	tally := descriptor.Tally{Service: "service-1000", Instance: "entry-1000", Incarnation: epoch.UnixMicro(), Since: epoch, At: epoch, Latency: make([]uint64, descriptor.LatencyBuckets)}
	for i := range tally.Latency {
		tally.Latency[i] = uint64(i * 100)
	}
	for i := range 8 {
		tally.Counts = append(tally.Counts, descriptor.Count{Class: "lookup", Reason: descriptor.Reason(i), Requests: 100000, Bytes: 1 << 30})
	}
	var sums container.BucketSums
	for i := range container.Buckets {
		sums.Buckets[i] = ^uint64(i)
	}
	declaration, backends := declarationOf(1000, 1), backendsOf(1000, 1)
	reference := descriptor.Reference{Kind: descriptor.KindBackends, Name: "service-1000", Revision: 1 << 40}
	for _, c := range []struct {
		to *float64
		m  descriptor.Message
	}{
		{&s.Heartbeat, descriptor.Heartbeat{Sequence: 1 << 20}},
		{&s.Digest, descriptor.Digest{Members: sums, Documents: sums}},
		{&s.Member, descriptor.Members{Records: []descriptor.Member{memberOf(7000)}}},
		{&s.Reference, descriptor.References{List: []descriptor.Reference{reference}}},
		{&s.Declaration, descriptor.Documents{List: []descriptor.Document{declaration}}},
		{&s.Backends, descriptor.Documents{List: []descriptor.Document{backends}}},
		{&s.Evidence, evidence},
		{&s.Tally, descriptor.TallyReport{Tally: tally}},
	} {
		data, err := messenger.Encode(c.m)
		if err != nil {
			return s, err
		}
		*c.to = float64(len(data) + frameOverhead)
	}
	return s, nil
}

// codecTime returns the time to encode and decode a typical message, and the
// length of that message in bytes.
func codecTime() (time.Duration, float64, error) {
	m := descriptor.Members{Records: []descriptor.Member{memberOf(1)}}
	data, err := messenger.Encode(m)
	if err != nil {
		return 0, 0, err
	}
	t := timeOf(func(int) {
		if b, err := messenger.Encode(m); err == nil {
			_, _ = messenger.Decode(b)
		}
	})
	return t, float64(len(data)), nil
}

// requestTime returns the time that the decider takes for one request from
// arrival to end.
func requestTime() time.Duration {
	d := newDecider(1, 1)
	now := epoch.Add(time.Hour)
	return timeOf(func(i int) {
		id := descriptor.RequestID(i + 1)
		at := now.Add(time.Duration(i) * 50 * time.Microsecond)
		d.Step(descriptor.Arrived{At: at, Request: id, Service: "service-0", Class: "lookup", Caller: "c", Fingerprint: uint64(id), Replayable: true})
		d.Step(descriptor.Answered{At: at, Request: id, Attempt: 1, Status: 200})
		d.Step(descriptor.Finished{At: at, Request: id, Attempt: 1, Bytes: 100})
	})
}
