// Package explainer assembles the timeline of one request from the logs of several
// instances.
package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
	"monsoonswitch/logger"
)

// ErrUnknown reports that the logs hold no line about a request.
var ErrUnknown = eris.New("no log line about the request")

// maxLine bounds the length of a log line in bytes.
const maxLine = 1 << 20

// line is one log line.
type line struct {
	Event    int       `json:"event"`
	ID       string    `json:"id"`
	Instance string    `json:"instance"`
	Time     time.Time `json:"time"`
	// At is the time of the decision, with a finer resolution than Time.
	At       time.Time `json:"at"`
	Service  string    `json:"service"`
	Class    string    `json:"class"`
	Subject  string    `json:"subject"`
	Detail   string    `json:"detail"`
	Backend  string    `json:"backend"`
	Attempt  int       `json:"attempt"`
	Trust    float64   `json:"trust"`
	Load     float64   `json:"load"`
	Queued   int       `json:"queued"`
	InFlight int       `json:"inflight"`
	Left     int64     `json:"left"`
	Status   int       `json:"status"`
	Cause    string    `json:"cause"`
	Reason   string    `json:"reason"`
	Outcome  string    `json:"outcome"`
	Millis   int64     `json:"millis"`
	Target   int64     `json:"target"`
	Revision uint64    `json:"revision"`
	Listed   uint64    `json:"listed"`
	Age      int64     `json:"currentage"`
}

// when returns the time of the decision, or the time of the line if it has none.
func (l line) when() time.Time {
	if l.At.IsZero() {
		return l.Time
	}
	return l.At
}

// Log holds the valid lines of all files.
type Log struct {
	lines []line
	// Skipped is the number of lines in each file that are not valid log lines.
	Skipped map[string]int
}

// NewLog returns a log without lines.
func NewLog() *Log { return &Log{Skipped: make(map[string]int)} }

// Read adds the lines of one file. A line may have text before its JSON, as log
// collectors add it. Lines that can't be decoded are counted in Skipped. It returns an
// error if the file can't be read or a line is longer than 1 MiB.
func (l *Log) Read(file string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		var v line
		if start < 0 || json.Unmarshal([]byte(text[start:]), &v) != nil || v.Event == 0 {
			l.Skipped[file]++
			continue
		}
		l.lines = append(l.lines, v)
	}
	return eris.Wrapf(scanner.Err(), "read %s", file)
}

// isRequest reports whether an event belongs to a request.
func isRequest(event int) bool {
	return event >= descriptor.NoteAdmitted && event <= descriptor.NoteEnded
}

// Explain writes the timeline of a request: its events in order, and the events of the
// instances involved from shortly before the request until its end. It returns ErrUnknown
// if the log has no line about the request.
func (l *Log) Explain(w io.Writer, id string) error {
	var ownLines []line
	services, instances := make(map[string]bool), make(map[string]bool)
	for _, v := range l.lines {
		if v.ID == id && isRequest(v.Event) {
			ownLines = append(ownLines, v)
			services[v.Service] = true
			instances[v.Instance] = true
		}
	}
	if len(ownLines) == 0 {
		return eris.Wrapf(ErrUnknown, "%s: it never reached these instances, or the log budget omitted it (event %d)", id, descriptor.NoteLogDropped)
	}
	sort.SliceStable(ownLines, func(i, j int) bool { return ownLines[i].when().Before(ownLines[j].when()) })
	begin, end := ownLines[0].when(), ownLines[len(ownLines)-1].when()
	timeline := append(l.contextLines(begin, end, services, instances), ownLines...)
	sort.SliceStable(timeline, func(i, j int) bool { return timeline[i].when().Before(timeline[j].when()) })
	for _, v := range timeline {
		fmt.Fprintf(w, "%+9.3fs  %-20s %s\n", v.when().Sub(begin).Seconds(), v.Instance, v.text())
	}
	return nil
}

// contextTime is the time before a request from which other events are included.
const contextTime = 5 * time.Second

// contextLines returns the events of the given instances about the given services or the
// instances themselves, from contextTime before begin until end.
func (l *Log) contextLines(begin, end time.Time, services, instances map[string]bool) []line {
	var result []line
	for _, v := range l.lines {
		about := services[v.Service] || v.Service == ""
		if !isRequest(v.Event) && about && instances[v.Instance] && v.when().After(begin.Add(-contextTime)) && !v.when().After(end) {
			result = append(result, v)
		}
	}
	return result
}

// text returns the line as written in a timeline.
func (l line) text() string {
	name := logger.Catalogue[l.Event].Text
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	switch {
	case l.Event == descriptor.NoteEnded:
		add("%s, %s, after %d ms of a target of %d ms", l.Reason, l.Outcome, l.Millis, l.Target)
		add("class %s at revision %s, list %s, confirmed %d ms before", l.Class, descriptor.RevisionText(l.Revision), descriptor.RevisionText(l.Listed), l.Age)
	case !isRequest(l.Event):
		add("%s", strings.TrimSpace(l.Subject+" "+l.Detail))
	case l.Backend != "":
		add("%s, attempt %d, trust %.2f, load %.2f", l.Backend, l.Attempt, l.Trust, l.Load)
	}
	if l.Status != 0 {
		add("status %d", l.Status)
	}
	if l.Cause != "" {
		add("%s", l.Cause)
	}
	if isRequest(l.Event) && l.Event != descriptor.NoteEnded {
		add("queued %d, in flight %d", l.Queued, l.InFlight)
	}
	if l.Left != 0 {
		add("%d ms left", l.Left)
	}
	return fmt.Sprintf("%d %s: %s", l.Event, name, strings.Join(parts, "; "))
}
