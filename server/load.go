package server

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/linker"
	"monsoonswitch/listener"
	"monsoonswitch/timekeeper"
)

// loadInterval is the time between two reports of the load of an instance.
const loadInterval = 5 * time.Second

// loadReporter logs the load of an instance periodically.
type loadReporter struct {
	stop chan struct{}
	done chan struct{}
}

// newLoadReporter starts a reporter for s.
func newLoadReporter(s *Server) *loadReporter {
	r := &loadReporter{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		ticker := time.NewTicker(loadInterval)
		defer ticker.Stop()
		var processor time.Duration
		var traffic linker.Traffic
		var turnedAway listener.Counts
		for {
			select {
			case <-ticker.C:
				processor, traffic = s.reportLoad(processor, traffic)
				turnedAway = s.reportTurnedAway(turnedAway)
			case <-r.stop:
				return
			}
		}
	}()
	return r
}

func (r *loadReporter) close() {
	close(r.stop)
	<-r.done
}

// reportLoad logs the load since a report with the given processor time and traffic. It
// returns the present ones.
func (s *Server) reportLoad(processor time.Duration, traffic linker.Traffic) (time.Duration, linker.Traffic) {
	usedProcessor, usedTraffic := processorTime(), s.linker.Traffic()
	load := s.controller.TakeLoad()
	s.controlLag.Store(int64(load.MaxLag))
	var sent strings.Builder
	for t, c := range usedTraffic.Sent {
		if c = c.Since(traffic.Sent[t]); c.Messages > 0 {
			fmt.Fprintf(&sent, " %v %d/%d", descriptor.MessageType(t), c.Messages, c.Bytes)
		}
	}
	s.log.Event(descriptor.NoteLoad, "", s.self.ID, fmt.Sprintf(
		"processor %d ms; %d events, at most %d ms late; received %d/%d, dropped %d; sent%s",
		(usedProcessor-processor).Milliseconds(), load.Events, load.MaxLag.Milliseconds(),
		usedTraffic.ReceivedMessages-traffic.ReceivedMessages, usedTraffic.ReceivedBytes-traffic.ReceivedBytes,
		usedTraffic.Dropped-traffic.Dropped, sent.String()))
	return usedProcessor, usedTraffic
}

// processorTime returns the processor time used by this process, or 0 if the system does
// not report it.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// proofAge returns the age of the proof that the routing is the newest in nanoseconds, or -1 if
// there is none.
func (s *Server) proofAge() int64 {
	seen := s.routingSeen.Load()
	if seen == 0 {
		return -1
	}
	return int64(timekeeper.Uptime()) - seen
}
