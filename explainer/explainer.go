// Package explainer puts the story of one request together from the logs of
// several instances.
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

// ErrUnknown reports that no line tells of a request.
var ErrUnknown = eris.New("no line about the request")

// maxLine bounds a line in bytes.
const maxLine = 1 << 20

// line is one log line.
type line struct {
	Event    int       `json:"event"`
	ID       string    `json:"id"`
	Instance string    `json:"instance"`
	Time     time.Time `json:"time"`
	// At is the time of a decision, which is finer than Time.
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

// when returns the time of the decision.
func (l line) when() time.Time {
	if l.At.IsZero() {
		return l.Time
	}
	return l.At
}

// Log holds the lines of all files that can be read.
type Log struct {
	lines []line
	// Skipped counts the lines that are no log lines, by file.
	Skipped map[string]int
}

// NewLog returns a log without lines.
func NewLog() *Log { return &Log{Skipped: make(map[string]int)} }

// Read takes the lines of one file in. A line may have words before its JSON, as
// collectors of logs add them; one that can't be read is counted.
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

// isRequest tells whether an event is about a request.
func isRequest(event int) bool {
	return event >= descriptor.NoteAdmitted && event <= descriptor.NoteEnded
}

// Explain writes the story of a request: its decisions in order, and what the
// instances that took part began to believe shortly before and meanwhile.
func (l *Log) Explain(w io.Writer, id string) error {
	var own []line
	services, instances := make(map[string]bool), make(map[string]bool)
	for _, v := range l.lines {
		if v.ID == id && isRequest(v.Event) {
			own = append(own, v)
			services[v.Service] = true
			instances[v.Instance] = true
		}
	}
	if len(own) == 0 {
		return eris.Wrapf(ErrUnknown, "%s: it was never here, or the log's budget left it out (event %d)", id, descriptor.NoteLogDropped)
	}
	sort.SliceStable(own, func(i, j int) bool { return own[i].when().Before(own[j].when()) })
	begin, end := own[0].when(), own[len(own)-1].when()
	story := append(l.around(begin, end, services, instances), own...)
	sort.SliceStable(story, func(i, j int) bool { return story[i].when().Before(story[j].when()) })
	for _, v := range story {
		fmt.Fprintf(w, "%+9.3fs  %-20s %s\n", v.when().Sub(begin).Seconds(), v.Instance, v.text())
	}
	return nil
}

// before is how long before a request the beliefs of an instance are told.
const before = 5 * time.Second

// around returns what the given instances noted about the given services or about
// themselves while a request was open and shortly before.
func (l *Log) around(begin, end time.Time, services, instances map[string]bool) []line {
	var result []line
	for _, v := range l.lines {
		about := services[v.Service] || v.Service == ""
		if !isRequest(v.Event) && about && instances[v.Instance] && v.when().After(begin.Add(-before)) && !v.when().After(end) {
			result = append(result, v)
		}
	}
	return result
}

// text returns one line of a story.
func (l line) text() string {
	name := logger.Catalogue[l.Event].Text
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	switch {
	case l.Event == descriptor.NoteEnded:
		add("%s, %s, after %d ms of a target of %d ms", l.Reason, l.Outcome, l.Millis, l.Target)
		add("class %s at revision %d, list %d, confirmed %d ms before", l.Class, l.Revision, l.Listed, l.Age)
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
