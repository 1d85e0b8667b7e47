package configurer

import (
	"time"

	"monsoonswitch/parser"
)

// Names of the policies of an instance.
const (
	PolicyStandard    = "standard"
	PolicyRoundRobin  = "roundrobin"
	PolicyConsecutive = "consecutive"
)

// Limits configures the limits on traffic and the policies.
type Limits struct {
	// HeadBytes bounds the head of a request in bytes.
	HeadBytes int
	// UploadBytes bounds the memory of all uploads together, in bytes.
	UploadBytes int
	// HeadTimeout bounds the time for reading the head of a request.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time between requests of a connection.
	IdleTimeout time.Duration
	// StallTimeout bounds the time without progress of a body.
	StallTimeout time.Duration
	// FreshTime is how long an idle connection to a backend server is reused for
	// non-idempotent work.
	FreshTime time.Duration
	// ConnectTimeout bounds the time for connecting to a backend server.
	ConnectTimeout time.Duration
	// Grace is the time after SIGTERM at which the platform kills the process; 0 means
	// that it never does.
	Grace time.Duration
	// Policy is PolicyStandard, or one of the other policies as a baseline for
	// comparison.
	Policy string
}

func loadLimits(s *parser.Section, all *Settings) {
	all.Limits = Limits{
		HeadBytes:      s.IntIn("headbytes", 64<<10, 1<<10, 1<<20),
		UploadBytes:    s.IntIn("uploadbytes", 32<<20, 1<<20, 1<<30),
		HeadTimeout:    s.DurationIn("headtimeout", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		IdleTimeout:    s.DurationIn("idletimeout", 2*time.Minute, time.Second, time.Hour),
		StallTimeout:   s.DurationIn("stalltimeout", time.Minute, time.Second, time.Hour),
		FreshTime:      s.DurationIn("freshtime", time.Second, 0, time.Minute),
		ConnectTimeout: s.DurationIn("connecttimeout", 250*time.Millisecond, time.Millisecond, 10*time.Second),
		Grace:          time.Duration(s.NumberIn("grace", 0, 0, 3600) * float64(time.Second)),
		Policy:         s.Choice("policy", PolicyStandard, PolicyStandard, PolicyRoundRobin, PolicyConsecutive),
	}
}
