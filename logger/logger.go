// Package logger writes the numbered log events, which docs/EVENTS.md documents.
package logger

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"monsoonswitch/descriptor"
)

// ErrSetting reports an invalid log setting.
var ErrSetting = eris.New("invalid log setting")

// Event is the level and text of a numbered log event.
type Event struct {
	Level logrus.Level
	Text  string
}

// Catalogue holds all events by number.
var Catalogue = map[int]Event{
	descriptor.NoteStarted:          {logrus.InfoLevel, "instance started"},
	descriptor.NoteReady:            {logrus.InfoLevel, "instance ready"},
	descriptor.NoteLeaving:          {logrus.InfoLevel, "instance shutting down"},
	descriptor.NoteStopped:          {logrus.InfoLevel, "instance stopped"},
	descriptor.NoteSignal:           {logrus.InfoLevel, "signal received"},
	descriptor.NoteLoad:             {logrus.InfoLevel, "instance load"},
	descriptor.NoteReloaded:         {logrus.InfoLevel, "settings reloaded"},
	descriptor.NoteReloadFailed:     {logrus.ErrorLevel, "settings not reloaded"},
	descriptor.NoteLibrary:          {logrus.WarnLevel, "library message"},
	descriptor.NotePanic:            {logrus.ErrorLevel, "panic recovered"},
	descriptor.NoteTurnedAway:       {logrus.WarnLevel, "connections or requests turned away"},
	descriptor.NoteRevision:         {logrus.InfoLevel, "declaration in force"},
	descriptor.NoteStoreUnreachable: {logrus.WarnLevel, "platform unreachable"},
	descriptor.NoteStoreReachable:   {logrus.InfoLevel, "platform reachable again"},
	descriptor.NoteDocumentInvalid:  {logrus.ErrorLevel, "invalid document in store"},
	descriptor.NoteWatching:         {logrus.InfoLevel, "watching the platform's store"},
	descriptor.NoteProofLost:        {logrus.WarnLevel, "configuration not proved recent"},
	descriptor.NoteProofFound:       {logrus.InfoLevel, "configuration proved recent"},
	descriptor.NoteStoreRestored:    {logrus.WarnLevel, "store restored"},
	descriptor.NoteMemberNew:        {logrus.InfoLevel, "instance discovered"},
	descriptor.NoteMemberSuspect:    {logrus.WarnLevel, "instance suspected"},
	descriptor.NoteMemberDead:       {logrus.WarnLevel, "instance declared dead"},
	descriptor.NoteMemberLeft:       {logrus.InfoLevel, "instance left"},
	descriptor.NoteLinkRefused:      {logrus.WarnLevel, "link refused"},
	descriptor.NoteCallers:          {logrus.InfoLevel, "instances that callers are sent to changed"},
	descriptor.NoteCallersDiffer:    {logrus.WarnLevel, "instances that callers are sent to differ"},
	descriptor.NoteRegister:         {logrus.InfoLevel, "register of the instances changed"},
	descriptor.NoteRegisterWritten:  {logrus.WarnLevel, "register not written"},
	descriptor.NoteEjected:          {logrus.WarnLevel, "backend server ejected"},
	descriptor.NoteReinstated:       {logrus.InfoLevel, "backend server reinstated after ejection"},
	descriptor.NoteAvoided:          {logrus.InfoLevel, "backend server avoided"},
	descriptor.NoteDown:             {logrus.WarnLevel, "backend server down"},
	descriptor.NoteUp:               {logrus.InfoLevel, "backend server up"},
	descriptor.NoteDrain:            {logrus.InfoLevel, "backend server draining"},
	descriptor.NotePaused:           {logrus.InfoLevel, "backend server asks for a pause"},
	descriptor.NotePoison:           {logrus.ErrorLevel, "request crashes backend servers"},
	descriptor.NoteCrash:            {logrus.WarnLevel, "backend server crashed under a request"},
	descriptor.NoteLimit:            {logrus.InfoLevel, "backend server changed its limit"},
	descriptor.NoteQuotaExceeded:    {logrus.InfoLevel, "customer above its limit"},
	descriptor.NoteQuotaSilent:      {logrus.WarnLevel, "grantor of quotas does not answer"},
	descriptor.NoteQuotaPlan:        {logrus.InfoLevel, "grantors of quotas changed"},
	descriptor.NoteYield:            {logrus.InfoLevel, "less urgent requests yield"},
	descriptor.NoteShare:            {logrus.InfoLevel, "share of the limits"},
	descriptor.NoteCrashWithdrawn:   {logrus.InfoLevel, "crash under a request withdrawn"},
	descriptor.NoteTrial:            {logrus.InfoLevel, "backend server on trial"},
	descriptor.NoteAdmitted:         {logrus.InfoLevel, "request admitted"},
	descriptor.NoteQueued:           {logrus.InfoLevel, "request queued"},
	descriptor.NoteDispatched:       {logrus.InfoLevel, "request sent to backend server"},
	descriptor.NoteAnswered:         {logrus.InfoLevel, "backend server answered"},
	descriptor.NoteAttemptFailed:    {logrus.InfoLevel, "attempt failed"},
	descriptor.NoteRefused:          {logrus.InfoLevel, "request refused"},
	descriptor.NoteCancelled:        {logrus.InfoLevel, "attempt cancelled"},
	descriptor.NoteEnded:            {logrus.InfoLevel, "request ended"},
	descriptor.NoteLogDropped:       {logrus.InfoLevel, "requests omitted from the log"},
	descriptor.NoteTallyLate:        {logrus.WarnLevel, "tallies unconfirmed"},
	descriptor.NoteTallyFinal:       {logrus.InfoLevel, "tallies confirmed"},
}

// Logger writes the events of one instance. It is safe for use by many goroutines.
type Logger struct {
	entry         *logrus.Entry
	writer        *writer
	requestBudget requestBudget
	panics        panicLog
}

// RequestLimits bounds the number of requests that are logged.
type RequestLimits struct {
	// Notable is the number of requests per second that are logged because they failed,
	// were refused, were retried or missed their target. Sampled is the number of other
	// requests per second.
	Notable, Sampled float64
}

// New returns a logger with the given level and format, which is text or json. It
// returns ErrSetting if the level or the format is unknown.
func New(w io.Writer, level, format, instance string, v RequestLimits) (*Logger, error) {
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
	return &Logger{entry: l.WithField("instance", instance), writer: out, requestBudget: requestBudget{limits: v}}, nil
}

// SetLimits changes the lowest level that is logged and the limits on requests. It returns
// ErrSetting, and changes nothing, if the level is unknown.
func (l *Logger) SetLimits(level string, v RequestLimits) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return eris.Wrapf(ErrSetting, "level %q", level)
	}
	l.entry.Logger.SetLevel(parsed)
	l.requestBudget.setLimits(v)
	return nil
}

// closeTimeout bounds the time for writing the queued lines.
const closeTimeout = 500 * time.Millisecond

// Close waits up to closeTimeout until all queued lines are written. Lines logged later
// are dropped. It must be called only once.
func (l *Logger) Close() {
	close(l.writer.stop)
	select {
	case <-l.writer.done:
	case <-time.After(closeTimeout):
	}
}

// Event writes one numbered event. An unknown number is logged as an error.
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

// Note writes the event of a Note action.
func (l *Logger) Note(n descriptor.Note) { l.Event(n.Number, n.Service, n.Subject, n.Detail) }
