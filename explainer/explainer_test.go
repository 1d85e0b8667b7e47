package explainer

import (
	"bytes"
	"strings"
	"testing"

	"monsoonswitch/asserter"
)

const golden = `{"event":4005,"instance":"entry-1","service":"billing","subject":"i-1@5","detail":"refused a connection","time":"2026-03-01T00:00:09Z"}
{"event":6001,"id":"r1","instance":"entry-1","service":"billing","at":"2026-03-01T00:00:10.1Z","queued":0,"inflight":2,"left":2000,"time":"2026-03-01T00:00:10Z"}
{"event":6003,"id":"r1","instance":"entry-1","service":"billing","at":"2026-03-01T00:00:10.1Z","backend":"i-2@5","attempt":1,"trust":0.98,"load":0.333,"queued":0,"inflight":2,"time":"2026-03-01T00:00:10Z"}
{"event":6003,"id":"r2","instance":"entry-1","service":"billing","at":"2026-03-01T00:00:10.1Z","backend":"i-2@5","attempt":1,"time":"2026-03-01T00:00:10Z"}
a foreign line
{"event":6004,"id":"r1","instance":"entry-1","service":"billing","at":"2026-03-01T00:00:10.102Z","backend":"i-2@5","attempt":1,"status":500,"trust":0.55,"load":0.333,"queued":0,"inflight":3,"time":"2026-03-01T00:00:10Z"}
{"event":6008,"id":"r1","instance":"entry-1","service":"billing","class":"once","at":"2026-03-01T00:00:10.102Z","reason":"served","outcome":"ran","millis":2,"target":1000,"revision":7,"listed":31,"currentage":180,"time":"2026-03-01T00:00:10Z"}
{"event":6008,"id":"r1","instance":"entry-1","service":"bill`

const timeline = `   -1.100s  entry-1              4005 backend server down: i-1@5 refused a connection
   +0.000s  entry-1              6001 request admitted: queued 0, in flight 2; 2000 ms left
   +0.000s  entry-1              6003 request sent to backend server: i-2@5, attempt 1, trust 0.98, load 0.33; queued 0, in flight 2
   +0.002s  entry-1              6004 backend server answered: i-2@5, attempt 1, trust 0.55, load 0.33; status 500; queued 0, in flight 3
`

func TestExplain(t *testing.T) {
	l := NewLog()
	asserter.NoError(t, "read", l.Read("a.log", strings.NewReader(golden)))
	t.Run("the events in order", func(t *testing.T) {
		var out bytes.Buffer
		asserter.NoError(t, "explain", l.Explain(&out, "r1"))
		asserter.True(t, "timeline:\n"+out.String(), strings.Contains(out.String(), timeline))
		asserter.True(t, "the end", strings.Contains(out.String(), "6008 request ended: served, ran, after 2 ms of a target of 1000 ms; class once at revision 7, list 31, confirmed 180 ms before"))
		asserter.Equal(t, "other requests", strings.Contains(out.String(), "r2"), false)
	})
	t.Run("foreign and truncated lines are counted", func(t *testing.T) {
		asserter.Equal(t, "skipped", l.Skipped["a.log"], 2)
	})
	t.Run("an unknown request", func(t *testing.T) {
		asserter.ErrorIs(t, "error", l.Explain(&bytes.Buffer{}, "r9"), ErrUnknown)
	})
}
