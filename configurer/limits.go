package configurer

import (
	"strings"
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
	// Memory is the memory that the process may use, in bytes; 0 means that it is unknown.
	Memory int
	// Descriptors is the number of file descriptors that the process may use; 0 means that it is
	// unknown.
	Descriptors int
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
		Memory:         loadMemory(s),
		Descriptors:    loadDescriptors(s),
		Policy:         s.Choice("policy", PolicyStandard, PolicyStandard, PolicyRoundRobin, PolicyConsecutive),
	}
}

const (
	// bytesPerMegabyte is the unit of a memory with a fraction.
	bytesPerMegabyte = 1e6
	// minMemory is the least memory of an instance, in bytes. A smaller number is likely meant in
	// another unit.
	minMemory = 48e6
	// minDescriptors is the least number of descriptors of an instance: its own listeners, files
	// and links need about 40.
	minDescriptors = 128
)

// loadMemory returns the memory in bytes. A number with a fraction is in megabytes, followed by
// six zeros: the platform replaces a placeholder before the zeros by its number of megabytes.
func loadMemory(s *parser.Section) int {
	v := s.NumberIn("memory", 0, 0, 1e15)
	if strings.Contains(s.Text("memory", ""), ".") {
		v *= bytesPerMegabyte
	}
	if v != 0 && v < minMemory {
		s.Fail("memory", "%v is out of range: must be 0, or at least %.0f bytes", v, minMemory)
	}
	return int(v)
}

// loadDescriptors returns the number of descriptors.
func loadDescriptors(s *parser.Section) int {
	v := s.NumberIn("descriptors", 0, 0, 1e9)
	if v != 0 && v < minDescriptors {
		s.Fail("descriptors", "%v is out of range: must be 0, or at least %d", v, minDescriptors)
	}
	return int(v)
}
