package configurer

import "time"

// Callers says where and how callers are served.
type Callers struct {
	// Listen is the address to listen on.
	Listen string
	// Advertise is the address that callers are told; empty means Listen.
	Advertise string
	// Header names the header that tells callers apart; empty means their
	// address.
	Header string
	// Keep is how long callers use an answer to which addresses to use.
	Keep time.Duration
}

func loadCallers(s *section, all *Settings) {
	all.Callers = Callers{
		Listen:    s.address("listen", ""),
		Advertise: s.text("advertise", ""),
		Header:    s.text("header", ""),
		Keep:      s.duration("keep", 30*time.Second, time.Second, time.Hour),
	}
	checkAdvertise(s, all.Callers.Advertise)
}

func checkAdvertise(s *section, v string) {
	if v == "" {
		return
	}
	if problem := addressProblem(v); problem != "" {
		s.fail("advertise", "%q: %s", v, problem)
	}
}
