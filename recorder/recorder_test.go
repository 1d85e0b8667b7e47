package recorder

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

func TestWrite(t *testing.T) {
	r := New()
	r.Begin()
	r.End(descriptor.Served, 20*time.Millisecond, 100)
	r.Begin()
	r.End(descriptor.NoBackend, time.Millisecond, 0)
	r.AddGauge("links.sentbytes", func() int64 { return 7 })
	r.SetQuotas(descriptor.QuotaCounts{Granted: 5, Refused: 2})
	var out bytes.Buffer
	r.Write(&out)
	for _, line := range []string{
		`monsoonswitch_requests_ended{reason="served"} 1`,
		`monsoonswitch_requests_ended{reason="no-backend"} 1`,
		`monsoonswitch_served_seconds{quantile="0.5"} 0.02`,
		`monsoonswitch_served_seconds_count 1`,
		`monsoonswitch_links_sentbytes 7`,
		`monsoonswitch_bytes 100`,
		`monsoonswitch_quotas_granted 5`,
		`monsoonswitch_quotas_refused 2`,
	} {
		asserter.True(t, line, strings.Contains(out.String(), line+"\n"))
	}
}
