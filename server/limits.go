package server

import (
	"fmt"

	"monsoonswitch/descriptor"
	"monsoonswitch/listener"
)

// ownHeadBytes bounds the head of a request to the instance itself, in bytes.
const ownHeadBytes = 16 << 10

// newAdmission returns the admission for the limits of the settings.
func (s *Server) newAdmission() *listener.Admission {
	l := s.settings.Limits
	a := listener.NewAdmission(listener.NewLimits(l.Memory, l.Descriptors, l.UploadBytes))
	s.recorder.AddGauge("admission.limitbytes", func() int64 { return int64(a.Limit()) })
	for name, class := range map[string]listener.Class{
		"callers": listener.Callers, "uploads": listener.Uploads, "questions": listener.Questions,
		"instances": listener.Instances, "operators": listener.Operators,
	} {
		s.recorder.AddGauge("admission.heldbytes."+name, func() int64 { return int64(a.Held(class)) })
		if class != listener.Uploads {
			s.recorder.AddGauge("admission.connections."+name, func() int64 { return int64(a.Connections(class)) })
		}
	}
	s.recorder.AddGauge("admission.refused", func() int64 { return a.Counts().Refused })
	s.recorder.AddGauge("admission.closed", func() int64 { return a.Counts().Closed })
	s.recorder.AddGauge("admission.rejected", func() int64 { return a.Counts().Rejected })
	return a
}

// backendConnections returns the bound on connections to backend servers, or 0 if there is none.
func (s *Server) backendConnections() int {
	if d := s.settings.Limits.Descriptors; d > 0 {
		return (d - listener.KeptDescriptors(d)) / 5
	}
	return 0
}

// reportTurnedAway logs what was turned away since before, if anything. It returns the present counts.
func (s *Server) reportTurnedAway(before listener.Counts) listener.Counts {
	now := s.admission.Counts()
	if now != before {
		s.log.Event(descriptor.NoteTurnedAway, "", s.self.ID, fmt.Sprintf(
			"%d requests refused, %d connections closed, %d closed at once; callers hold %d of %d bytes with %d connections",
			now.Refused-before.Refused, now.Closed-before.Closed, now.Rejected-before.Rejected,
			s.admission.Held(listener.Callers), s.admission.Limit(), s.admission.Connections(listener.Callers)))
	}
	return now
}
