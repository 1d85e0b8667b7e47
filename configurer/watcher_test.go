package configurer

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// TestWatcher guards against settings that were replaced without a signal and never come into force, and against
// loading a file that is being written.
func TestWatcher(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	at := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	write := func(t *testing.T, text string) {
		t.Helper()
		at = at.Add(time.Second)
		asserter.NoError(t, "write", os.WriteFile(path, []byte(text), 0o600))
		asserter.NoError(t, "set time", os.Chtimes(path, at, at))
	}
	write(t, "one")
	w := NewWatcher(path)
	wantChanged := func(t *testing.T, want ...bool) {
		t.Helper()
		for _, v := range want {
			asserter.Equal(t, "changed", w.Changed(), v)
		}
	}
	t.Run("a file that stays", func(t *testing.T) { wantChanged(t, false, false) })
	t.Run("a file that is being written", func(t *testing.T) {
		write(t, "")
		wantChanged(t, false)
		write(t, "two")
		wantChanged(t, false, true)
	})
	t.Run("is loaded", func(t *testing.T) {
		w.Load()
		wantChanged(t, false, false)
	})
	t.Run("a file of the same size", func(t *testing.T) {
		write(t, "six")
		wantChanged(t, false, true)
		w.Load()
	})
	t.Run("a file that is gone", func(t *testing.T) {
		asserter.NoError(t, "remove", os.Remove(path))
		wantChanged(t, false, false)
	})
}
