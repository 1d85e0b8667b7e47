package configurer

import (
	"time"

	"monsoonswitch/parser"
)

// Quotas configures how the limits of customers that a routing names are checked.
type Quotas struct {
	// Window is the length of the windows in which the requests of a customer are counted; 0 means
	// that no limits are checked.
	Window time.Duration
	// Excess is the part of a limit, and Slack the number of requests, by which the requests of
	// a customer in a window may exceed its limit.
	Excess, Slack float64
}

// maxQuotaSlack bounds Slack, in requests.
const maxQuotaSlack = 1e6

func loadQuotas(s *parser.Section, all *Settings) {
	all.Quotas = Quotas{
		Window: time.Duration(s.NumberIn("window", 0, 0, 600) * float64(time.Second)),
		Excess: s.NumberIn("excess", 0.1, 0, 10),
		Slack:  s.NumberIn("slack", 20, 0, maxQuotaSlack),
	}
}
