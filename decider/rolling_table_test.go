package decider

import (
	"testing"
	"time"

	"monsoonswitch/descriptor"
)

// table logs the bytes that an instance sent, by message type.
func (f *rollingFleet) table(t *testing.T, title string, span time.Duration) (mean, maximum float64) {
	t.Helper()
	n := float64(len(f.nodes))
	kb := func(v int) float64 { return float64(v) / 1000 / n }
	total, crossed := 0, 0
	t.Logf("%s, %d instances, %v, plain encoded bytes:", title, len(f.nodes), span)
	for i := range f.bytes.byType {
		total += f.bytes.byType[i]
		crossed += f.bytes.crossed[i]
		if f.bytes.messages[i] > 0 {
			t.Logf("| %s | %.1f | %.1f | %.1f |", descriptor.MessageType(i), kb(f.bytes.byType[i]), kb(f.bytes.crossed[i]), float64(f.bytes.messages[i])/n)
		}
	}
	largest := ""
	for id, v := range f.bytes.bySender {
		if kb := float64(v) / 1000 / span.Seconds(); kb > maximum {
			maximum, largest = kb, id
		}
	}
	for i, v := range f.bytes.ofSender[largest] {
		if v > 0 {
			t.Logf("%s, which sends most: %s %.1f KB", largest, descriptor.MessageType(i), float64(v)/1000)
		}
	}
	mean = float64(total) / 1000 / n / span.Seconds()
	t.Logf("| all | %.1f | %.1f | |", kb(total), kb(crossed))
	t.Logf("KB a second: mean %.2f, maximum %.2f, between domains %.2f; links opened %.1f", mean, maximum, kb(crossed)/span.Seconds(), float64(f.bytes.hellos)/n)
	return mean, maximum
}

// times logs and returns the largest of some times.
func times(t *testing.T, what string, list []time.Duration) time.Duration {
	t.Helper()
	var sum, largest time.Duration
	for _, v := range list {
		sum += v
		largest = max(largest, v)
	}
	t.Logf("%s: %d, mean %v, maximum %v", what, len(list), (sum / time.Duration(max(1, len(list)))).Round(time.Millisecond), largest)
	return largest
}
