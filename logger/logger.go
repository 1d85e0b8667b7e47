// Package logger writes the numbered log events. docs/EVENTS.md is their
// catalogue.
package logger

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"monsoonswitch/descriptor"
)

// ErrSetting reports a log setting that can't be used.
var ErrSetting = eris.New("invalid log setting")

// Event is one kind of log event.
type Event struct {
	Level logrus.Level
	Text  string
}

// Catalogue holds every event by number.
var Catalogue = map[int]Event{
	descriptor.NoteStarted:       {logrus.InfoLevel, "instance started"},
	descriptor.NoteReady:         {logrus.InfoLevel, "instance ready"},
	descriptor.NoteLeaving:       {logrus.InfoLevel, "instance leaving"},
	descriptor.NoteStopped:       {logrus.InfoLevel, "instance stopped"},
	descriptor.NoteSignal:        {logrus.InfoLevel, "signal received"},
	descriptor.NoteRevision:      {logrus.InfoLevel, "declaration in force"},
	descriptor.NoteStoreAway:     {logrus.WarnLevel, "platform unreachable"},
	descriptor.NoteStoreBack:     {logrus.InfoLevel, "platform reachable again"},
	descriptor.NoteBadDocument:   {logrus.ErrorLevel, "document in store can't be used"},
	descriptor.NoteWatching:      {logrus.InfoLevel, "following the platform"},
	descriptor.NoteMemberNew:     {logrus.InfoLevel, "instance known"},
	descriptor.NoteMemberSuspect: {logrus.WarnLevel, "instance suspected"},
	descriptor.NoteMemberDead:    {logrus.WarnLevel, "instance given up"},
	descriptor.NoteMemberLeft:    {logrus.InfoLevel, "instance left"},
	descriptor.NoteLinkBad:       {logrus.WarnLevel, "link refused"},
	descriptor.NoteEjected:       {logrus.WarnLevel, "backend server ejected"},
	descriptor.NoteReturned:      {logrus.InfoLevel, "backend server back from ejection"},
	descriptor.NoteAvoided:       {logrus.InfoLevel, "backend server avoided"},
	descriptor.NoteDown:          {logrus.WarnLevel, "backend server down"},
	descriptor.NoteUp:            {logrus.InfoLevel, "backend server up"},
	descriptor.NoteDrain:         {logrus.InfoLevel, "backend server draining"},
	descriptor.NotePoison:        {logrus.ErrorLevel, "request brings backend servers down"},
	descriptor.NoteTrial:         {logrus.InfoLevel, "backend server on trial"},
	descriptor.NoteAdmitted:      {logrus.InfoLevel, "request admitted"},
	descriptor.NoteQueued:        {logrus.InfoLevel, "request queued"},
	descriptor.NotePlaced:        {logrus.InfoLevel, "request sent to backend server"},
	descriptor.NoteAnswered:      {logrus.InfoLevel, "backend server answered"},
	descriptor.NoteAttemptFailed: {logrus.InfoLevel, "attempt failed"},
	descriptor.NoteRefused:       {logrus.InfoLevel, "request refused"},
	descriptor.NoteCancelled:     {logrus.InfoLevel, "attempt cancelled"},
	descriptor.NoteEnded:         {logrus.InfoLevel, "request ended"},
	descriptor.NoteLogDropped:    {logrus.InfoLevel, "requests left out of the log"},
	descriptor.NoteTallyLate:     {logrus.WarnLevel, "tallies unconfirmed"},
	descriptor.NoteTallyFinal:    {logrus.InfoLevel, "tallies confirmed"},
}

// Logger writes events of one instance. It is safe for use by many goroutines.
type Logger struct {
	entry  *logrus.Entry
	writer *writer
	trails trails
}

// Volume bounds the lines about requests.
type Volume struct {
	// Notable is the number of requests a second that are told in full because
	// they failed, were refused, sent again or slow; Sampled that of others.
	Notable, Sampled float64
}

// New returns a logger with the given level and format, which is text or json.
func New(w io.Writer, level, format, instance string, v Volume) (*Logger, error) {
	l := logrus.New()
	out := newWriter(w)
	l.SetOutput(out)
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(ErrSetting, "level %q", level)
	}
	l.SetLevel(parsed)
	switch format {
	case "text":
		l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	case "json":
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	default:
		return nil, eris.Wrapf(ErrSetting, "format %q", format)
	}
	return &Logger{entry: l.WithField("instance", instance), writer: out, trails: trails{volume: v}}, nil
}

// closeTime bounds the wait for the last lines.
const closeTime = 500 * time.Millisecond

// Close waits a moment until what was logged is written; what is logged later is
// dropped. It is called once.
func (l *Logger) Close() {
	close(l.writer.stop)
	select {
	case <-l.writer.done:
	case <-time.After(closeTime):
	}
}

// Event writes one numbered event. An unknown number is written as an error.
func (l *Logger) Event(number int, service, subject, detail string) {
	e, ok := Catalogue[number]
	if !ok {
		e = Event{logrus.ErrorLevel, "unknown event"}
	}
	fields := logrus.Fields{"event": number, "subject": subject}
	if service != "" {
		fields["service"] = service
	}
	if detail != "" {
		fields["detail"] = detail
	}
	l.entry.WithFields(fields).Log(e.Level, e.Text)
}

// Note writes the event of an action.
func (l *Logger) Note(n descriptor.Note) { l.Event(n.Number, n.Service, n.Subject, n.Detail) }
