package configurer

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// TestCustomers guards against placeholders without a value that prevent a start or make keys strict.
func TestCustomers(t *testing.T) {
	for _, c := range []struct {
		strict, withdraw string
		want             time.Duration
	}{
		{"", "", 0},
		{"false", "5", 0},
		{"", "0", 0},
		{"true", "", 5 * time.Second},
		{"true", "0", 5 * time.Second},
		{"True", "2.5", 2500 * time.Millisecond},
	} {
		t.Run("strict "+c.strict+", withdraw "+c.withdraw, func(t *testing.T) {
			text := "[instance]\nname=a\ndomain=b\n[callers]\nlisten=127.0.0.1:9100\n" +
				"[inner]\nlisten=127.0.0.1:9200\nkey=change-this-shared-key\n[platform]\naddress=127.0.0.1:9400\n" +
				"[customers]\nstrict = " + c.strict + "\nwithdraw = " + c.withdraw + "\n"
			s, err := Parse("s.ini", []byte(text))
			asserter.NoError(t, "parse", err)
			asserter.Equal(t, "age of the proof", s.Customers.ProofAge(), c.want)
		})
	}
}
