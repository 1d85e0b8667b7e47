package configurer

import (
	"os"
	"time"
)

// fileState is what tells one content of a file from another.
type fileState struct {
	modified time.Time
	size     int64
}

// Watcher tells whether a settings file was replaced since it was loaded. Platforms may do that without a
// signal. It is not safe for concurrent use.
type Watcher struct {
	path string
	// loaded is the state of the file when it was loaded, and seen that at the last check.
	loaded, seen fileState
}

// NewWatcher returns a watcher of a file that is about to be loaded.
func NewWatcher(path string) *Watcher {
	w := &Watcher{path: path}
	w.Load()
	return w
}

// Load records that the file is about to be loaded.
func (w *Watcher) Load() {
	w.loaded = w.state()
	w.seen = w.loaded
}

// Changed reports whether the file differs from the one that was loaded, and did not change since the last
// call: it may be written in parts.
func (w *Watcher) Changed() bool {
	before := w.seen
	w.seen = w.state()
	return w.seen == before && w.seen != w.loaded && w.seen != fileState{}
}

// state returns the state of the file, or the zero value if there is none.
func (w *Watcher) state() fileState {
	info, err := os.Stat(w.path)
	if err != nil {
		return fileState{}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}
