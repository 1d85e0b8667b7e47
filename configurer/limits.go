package configurer

import "time"

// Names of the policies that an instance can run with.
const (
	PolicyStandard    = "standard"
	PolicyRoundRobin  = "roundrobin"
	PolicyConsecutive = "consecutive"
)

// Limits bounds what callers can take, and chooses the policies.
type Limits struct {
	// HeadBytes bounds the head of a request in bytes.
	HeadBytes int
	// HeadTimeout bounds the time for the head of a request.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time between requests of a connection.
	IdleTimeout time.Duration
	// StallTimeout bounds the time without progress of a body.
	StallTimeout time.Duration
	// Policy is standard, or a baseline for comparison.
	Policy string
}

func loadLimits(s *section, all *Settings) {
	all.Limits = Limits{
		HeadBytes:    s.number("headbytes", 64<<10, 1<<10, 1<<20),
		HeadTimeout:  s.duration("headtimeout", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		IdleTimeout:  s.duration("idletimeout", 2*time.Minute, time.Second, time.Hour),
		StallTimeout: s.duration("stalltimeout", time.Minute, time.Second, time.Hour),
		Policy:       s.choice("policy", PolicyStandard, PolicyStandard, PolicyRoundRobin, PolicyConsecutive),
	}
}
