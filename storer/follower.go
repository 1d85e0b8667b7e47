package storer

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/catcher"
	"monsoonswitch/descriptor"
	"monsoonswitch/timekeeper"
)

// Delays after failed calls.
const (
	// firstRetryDelay is the mean delay after the first failed call. It doubles with
	// each further one.
	firstRetryDelay = 100 * time.Millisecond
	// maxRetryDelay bounds the mean delay.
	maxRetryDelay = 800 * time.Millisecond
)

// Pace sets how often the platform is asked for changes.
type Pace struct {
	// Wait is how long one watch waits for a change.
	Wait time.Duration
	// Gap is the delay between a watch that returned changes and the next watch.
	Gap time.Duration
}

// Poster accepts events.
type Poster interface {
	// Post posts an event.
	Post(descriptor.Event)
}

// Reporter receives reports about the platform.
type Reporter interface {
	// ReachabilityChanged is called after the first failed call, at the start or after a
	// successful one, and after the first successful call that follows a failed one. err
	// is nil if ok is true. ErrCompacted does not count as a failure.
	ReachabilityChanged(source string, ok bool, err error)
	// StoreRestored is called when a source turns out to be restored from an older copy of
	// itself, with its new era.
	StoreRestored(source string, era uint64)
	// BadDocument is called for each document that can't be decoded.
	BadDocument(key string, err error)
}

// Feed is a set of keys that an instance follows with one watch.
type Feed struct {
	// Name is the name of the source in reports.
	Name string
	// Prefix is the common prefix of the keys of all parts. It may be empty.
	Prefix string
	Parts  []Part
}

// Part is the documents of one kind in a feed.
type Part struct {
	// Prefix is the prefix of the keys of this part.
	Prefix string
	// Kind is the kind of the documents, or of the first of them if there are several.
	Kind descriptor.Kind
	// DecodeDocument returns the document of an item, and false if the item holds none. It
	// returns ErrRemoved if the item held one that was deleted. With another error, which is reported, it
	// may return a document that stands for the value. It is nil for a feed of entries.
	DecodeDocument func(Item) (descriptor.Document, bool, error)
	// DecodeEntry returns the entry of a backend server in an item. It is nil for a
	// feed of documents.
	DecodeEntry func(key string, value []byte) (Entry, error)
}

// Follower watches the platform while it is active and posts the documents it receives.
// It is safe for use by many goroutines.
type Follower struct {
	client   *Client
	poster   Poster
	reporter Reporter
	feeds    []Feed
	pace     Pace
	catcher  *catcher.Catcher

	mu sync.Mutex
	// active is nil while the follower is not active.
	active *following
}

// following is the time for which a follower is active.
type following struct {
	ctx    context.Context
	cancel context.CancelFunc
	// trial is set if each source is followed only until its first failed call, and ended once one is not
	// followed any more for that.
	trial, ended atomic.Bool
}

// NewFollower returns a follower that is not active. Panics in reading the platform are reported
// to k and count as failed calls.
func NewFollower(c *Client, feeds []Feed, pace Pace, p Poster, r Reporter, k *catcher.Catcher) *Follower {
	return &Follower{client: c, feeds: feeds, pace: pace, poster: p, reporter: r, catcher: k}
}

// SetActive starts or stops following.
func (f *Follower) SetActive(active bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if active && f.active != nil {
		f.active.trial.Store(false)
		if !f.active.ended.Load() {
			return
		}
	}
	if f.active != nil {
		f.active.cancel()
		f.active = nil
	}
	if active {
		f.start(false)
	}
}

// Try starts following each source until its first failed call, unless the follower is active.
func (f *Follower) Try() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active == nil {
		f.start(true)
	}
}

// start starts following. mu is held.
func (f *Follower) start(trial bool) {
	a := &following{}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.trial.Store(trial)
	f.active = a
	for _, feed := range f.feeds {
		go func() { f.runSteps(a, feed.Name, newFeedReader(f, feed).step) }()
	}
	if f.client.listSource != nil {
		go func() { f.runSteps(a, "list", f.listStep()) }()
	}
}

// runSteps calls step until the follower is not active, with growing random delays after errors. In a trial
// it returns after the first one. It reports changes of reachability.
func (f *Follower) runSteps(a *following, source string, step func(context.Context) error) {
	ctx := a.ctx
	wait := firstRetryDelay
	failing := false
	for ctx.Err() == nil {
		err := ErrMalformed
		f.catcher.Run(source, func() { err = step(ctx) })
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrCompacted) {
			continue
		}
		if failing != (err != nil) {
			failing = err != nil
			f.reporter.ReachabilityChanged(source, !failing, err)
		}
		if err == nil {
			wait = firstRetryDelay
			continue
		}
		if a.trial.Load() {
			a.ended.Store(true)
			return
		}
		if sleep(ctx, wait/2+rand.N(wait)) != nil {
			return
		}
		wait = min(2*wait, maxRetryDelay)
	}
}

// feedReader reads one feed and holds its progress. It belongs to one goroutine.
type feedReader struct {
	follower *Follower
	feed     Feed
	// after is the revision up to which all changes are known. It is valid only if
	// complete is set.
	after uint64
	// complete reports whether the feed was listed since its history was last
	// compacted.
	complete bool
	// era is the era of the store that was read last, once read is set.
	era  uint64
	read bool
	// compactions counts the watches in a row that found their history compacted.
	compactions int
	roster      *Roster
	// malformed holds the revisions of the values that could not be decoded and were
	// reported. It is replaced with each list, which bounds it.
	malformed map[string]uint64
}

func newFeedReader(f *Follower, feed Feed) *feedReader {
	return &feedReader{follower: f, feed: feed, roster: NewRoster(), malformed: make(map[string]uint64)}
}

// step lists the feed first and then watches it for changes. If the history of the
// changes was compacted, the next step lists again.
func (c *feedReader) step(ctx context.Context) error {
	uptime, started := timekeeper.Uptime(), time.Now()
	page, listed, err := c.call(ctx)
	now := time.Now()
	if errors.Is(err, ErrCompacted) {
		return c.forget(ctx, err)
	}
	if err == nil {
		err = c.enterEra(page.Era)
	}
	if err != nil {
		return err
	}
	if !listed && !c.complete {
		// The changes are those of a history that does not follow what is known.
		return nil
	}
	if !listed {
		c.compactions = 0
	}
	c.complete = true
	// A list may also be older than the one before: without an era, the store does not tell that it
	// was restored.
	c.after = page.Revision
	asOf := c.asOf(started, now, listed, len(page.Items))
	c.post(page, listed, descriptor.DocumentsRead{At: now, AsOf: asOf, Uptime: uptime, Seen: uptime + asOf.Sub(started)})
	if !listed && len(page.Items) > 0 {
		_ = sleep(ctx, c.follower.pace.Gap)
	}
	return nil
}

// forget makes the next step list the feed. From the second time in a row on it pauses first: the
// watch that followed the list found no history either.
func (c *feedReader) forget(ctx context.Context, err error) error {
	c.complete = false
	c.compactions++
	if c.compactions > 1 {
		_ = sleep(ctx, min(firstRetryDelay<<min(c.compactions-2, 8), maxRetryDelay))
	}
	return err
}

// enterEra records the era of an answer. If it rose, all that is known of the feed is listed anew.
// It returns ErrUnavailable if the era fell: another answer of the store showed that this one is
// from an older copy.
func (c *feedReader) enterEra(era uint64) error {
	before, first := c.era, !c.read
	if !first && era < before {
		return eris.Wrapf(ErrUnavailable, "%s: answer of era %d after %d", c.feed.Name, era, before)
	}
	c.era, c.read = era, true
	if !first && era > before {
		c.complete = false
		c.follower.reporter.StoreRestored(c.feed.Name, era)
	}
	return nil
}

// call lists or watches the feed, and reports whether it listed it.
func (c *feedReader) call(ctx context.Context) (Page, bool, error) {
	if !c.complete {
		page, err := c.follower.client.List(ctx, c.feed.Prefix)
		return page, true, err
	}
	page, err := c.follower.client.Watch(ctx, c.feed.Prefix, c.after, c.follower.pace.Wait)
	return page, false, err
}

// asOf returns the time as of which an answer is current. A watch without changes is
// current as of the end of its wait, and any other answer as of the start of its call.
func (c *feedReader) asOf(started, now time.Time, listed bool, changes int) time.Time {
	if end := started.Add(c.follower.pace.Wait); !listed && changes == 0 && !end.After(now) {
		return end
	}
	return started
}

// post posts the documents of an answer, one event for each part of the feed. read holds the
// times of the answer.
func (c *feedReader) post(page Page, listed bool, read descriptor.DocumentsRead) {
	if listed {
		c.forgetMalformed(page)
	}
	for _, p := range c.feed.Parts {
		e := read
		e.Kind, e.Complete, e.Revision = p.Kind, listed, descriptor.StampRevision(page.Era, page.Revision)
		if items := page.withPrefix(p.Prefix); p.DecodeEntry != nil {
			e.Documents = c.entries(p, items, listed)
		} else {
			e.Documents, e.Unreadable = c.documents(p, items)
		}
		c.follower.poster.Post(e)
	}
}

// withPrefix returns p with only the items whose keys begin with prefix.
func (p Page) withPrefix(prefix string) Page {
	var items []Item
	for _, item := range p.Items {
		if strings.HasPrefix(item.Key, prefix) {
			items = append(items, item)
		}
	}
	return Page{Revision: p.Revision, Items: items, Era: p.Era}
}

// reportMalformed reports a value that can't be decoded, once for each revision of it.
func (c *feedReader) reportMalformed(item Item, err error) {
	if revision, ok := c.malformed[item.Key]; ok && revision == item.Revision {
		return
	}
	c.malformed[item.Key] = item.Revision
	c.follower.reporter.BadDocument(item.Key, err)
}

// forgetMalformed drops the record of malformed values that a list no longer contains.
func (c *feedReader) forgetMalformed(page Page) {
	kept := make(map[string]uint64)
	for _, item := range page.Items {
		if revision, ok := c.malformed[item.Key]; ok {
			kept[item.Key] = revision
		}
	}
	c.malformed = kept
}

// documents returns the documents of an answer and reports those that can't be decoded. It also
// returns whether there are such documents, or documents were removed.
func (c *feedReader) documents(p Part, page Page) (result []descriptor.Document, unreadable bool) {
	for _, item := range page.Items {
		d, ok, err := p.DecodeDocument(item)
		unreadable = unreadable || err != nil
		if errors.Is(err, ErrRemoved) {
			continue
		}
		if err != nil {
			c.reportMalformed(item, err)
		}
		if ok {
			result = append(result, d)
		}
	}
	return result, unreadable
}

// entries applies the entries of an answer and returns the lists of backend servers
// that changed. A backend server whose entry can't be decoded is removed.
func (c *feedReader) entries(p Part, page Page, listed bool) []descriptor.Document {
	var present []string
	for _, item := range page.Items {
		if item.Deleted {
			c.roster.Remove(item.Key)
			continue
		}
		present = append(present, item.Key)
		entry, err := p.DecodeEntry(item.Key, item.Value)
		if err != nil {
			c.reportMalformed(item, err)
			c.roster.Remove(item.Key)
			continue
		}
		c.roster.Put(item.Key, entry)
	}
	if listed {
		c.roster.Retain(present)
	}
	return c.roster.Flush(descriptor.StampRevision(page.Era, page.Revision))
}

// listStep returns a step that watches the platform's separate list of backend servers.
func (f *Follower) listStep() func(context.Context) error {
	var after, era uint64
	read := false
	known := make(map[string]uint64)
	return func(ctx context.Context) error {
		listing, err := f.client.listSource.Instances(ctx, after, f.pace.Wait)
		if err != nil {
			return err
		}
		if read && listing.Era < era {
			return eris.Wrapf(ErrUnavailable, "list: answer of era %d after %d", listing.Era, era)
		}
		if read && listing.Era > era {
			// The answer may leave out what has a lower version than the one asked for.
			f.reporter.StoreRestored("list", listing.Era)
			era, after = listing.Era, 0
			clear(known)
			return nil
		}
		era, read = listing.Era, true
		after = max(after, listing.Version)
		e := descriptor.DocumentsRead{At: time.Now(), Kind: descriptor.KindBackends}
		for _, l := range listing.Services {
			if l.Version > known[l.Name] {
				known[l.Name] = l.Version
				e.Documents = append(e.Documents, backendsDocument(l, era))
			}
		}
		if len(e.Documents) > 0 {
			f.poster.Post(e)
		}
		return nil
	}
}
