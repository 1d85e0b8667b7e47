package storer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"monsoonswitch/descriptor"
)

// Times of following.
const (
	// retryFirst and retryLast bound the waits after failed calls.
	retryFirst = 100 * time.Millisecond
	retryLast  = 800 * time.Millisecond
)

// Pace is how often the platform is asked for changes.
type Pace struct {
	// Wait is how long one watch waits.
	Wait time.Duration
	// Gap is the least time between two watches of which the first returned
	// changes.
	Gap time.Duration
}

// Poster takes events in.
type Poster interface {
	// Post passes an event on.
	Post(descriptor.Event)
}

// Reporter is told of the state of the platform.
type Reporter interface {
	// Reachable is called when the platform answers or fails after the opposite.
	Reachable(source string, ok bool, err error)
	// BadDocument is called for each document that can't be used.
	BadDocument(key string, err error)
}

// Feed is a prefix of keys that an instance follows.
type Feed struct {
	// Name is the source in reports.
	Name   string
	Prefix string
	// Kind is the kind of the documents, or that of the first of them.
	Kind descriptor.Kind
	// Read returns the document of an item, and false if it holds none. It is
	// nil for a feed of entries.
	Read func(Item) (descriptor.Document, bool, error)
	// Entry returns what an item of a backend server says. It is nil for a feed of
	// documents.
	Entry func(key string, value []byte) (Entry, error)
}

// Follower watches the platform while it is active and posts what it learns.
type Follower struct {
	client   *Client
	poster   Poster
	reporter Reporter
	feeds    []Feed
	pace     Pace

	mu     sync.Mutex
	cancel context.CancelFunc
}

// NewFollower returns a follower that is not active.
func NewFollower(c *Client, feeds []Feed, pace Pace, p Poster, r Reporter) *Follower {
	return &Follower{client: c, feeds: feeds, pace: pace, poster: p, reporter: r}
}

// SetActive starts or stops following.
func (f *Follower) SetActive(active bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if active == (f.cancel != nil) {
		return
	}
	if !active {
		f.cancel()
		f.cancel = nil
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for _, feed := range f.feeds {
		go func() { f.repeat(ctx, feed.Name, newChaser(f, feed).step) }()
	}
	if f.client.lists != nil {
		go func() { f.repeat(ctx, "list", f.followList()) }()
	}
}

// repeat calls step until ctx ends, with growing random waits after errors.
func (f *Follower) repeat(ctx context.Context, source string, step func(context.Context) error) {
	wait := retryFirst
	failing := false
	for ctx.Err() == nil {
		err := step(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrCompacted) {
			continue
		}
		if failing != (err != nil) {
			failing = err != nil
			f.reporter.Reachable(source, !failing, err)
		}
		if err == nil {
			wait = retryFirst
			continue
		}
		if waitFor(ctx, wait/2+rand.N(wait)) != nil {
			return
		}
		wait = min(2*wait, retryLast)
	}
}

// chaser is the progress of one feed.
type chaser struct {
	owner *Follower
	feed  Feed
	// after is the revision up to which everything is known; it counts once
	// complete is set.
	after    uint64
	complete bool
	roster   *Roster
}

func newChaser(f *Follower, feed Feed) *chaser {
	return &chaser{owner: f, feed: feed, roster: NewRoster()}
}

// step reads everything first and changes then, and starts over when the history
// in between is gone.
func (c *chaser) step(ctx context.Context) error {
	started := time.Now()
	page, listed, err := c.call(ctx)
	now := time.Now()
	if errors.Is(err, ErrCompacted) {
		c.complete = false
		return err
	}
	if err != nil {
		return err
	}
	c.complete = true
	c.after = max(c.after, page.Revision)
	c.post(page, listed, c.asOf(started, now, listed, len(page.Items)), now)
	if !listed && len(page.Items) > 0 {
		_ = waitFor(ctx, c.owner.pace.Gap)
	}
	return nil
}

// call makes the next call and tells whether it was for everything.
func (c *chaser) call(ctx context.Context) (Page, bool, error) {
	if !c.complete {
		page, err := c.owner.client.List(ctx, c.feed.Prefix)
		return page, true, err
	}
	page, err := c.owner.client.Watch(ctx, c.feed.Prefix, c.after, c.owner.pace.Wait)
	return page, false, err
}

// asOf returns the time as of which an answer holds: a watch without changes
// holds up to the end of its wait, everything else as of its call.
func (c *chaser) asOf(started, now time.Time, listed bool, changes int) time.Time {
	if end := started.Add(c.owner.pace.Wait); !listed && changes == 0 && !end.After(now) {
		return end
	}
	return started
}

// post passes on what an answer says.
func (c *chaser) post(page Page, listed bool, asOf, now time.Time) {
	e := descriptor.Learned{At: now, Kind: c.feed.Kind, Complete: listed, AsOf: asOf, Revision: page.Revision}
	if c.feed.Entry != nil {
		e.Documents = c.entries(page, listed)
	} else {
		e.Documents = c.documents(page)
	}
	c.owner.poster.Post(e)
}

func (c *chaser) documents(page Page) []descriptor.Document {
	var result []descriptor.Document
	for _, item := range page.Items {
		d, ok, err := c.feed.Read(item)
		if err != nil {
			c.owner.reporter.BadDocument(item.Key, err)
			continue
		}
		if ok {
			result = append(result, d)
		}
	}
	return result
}

// entries returns the lists of backend servers that an answer changes.
func (c *chaser) entries(page Page, listed bool) []descriptor.Document {
	var present []string
	for _, item := range page.Items {
		if item.Deleted {
			c.roster.Remove(item.Key)
			continue
		}
		present = append(present, item.Key)
		entry, err := c.feed.Entry(item.Key, item.Value)
		if err != nil {
			c.owner.reporter.BadDocument(item.Key, err)
			c.roster.Remove(item.Key)
			continue
		}
		c.roster.Put(item.Key, entry)
	}
	if listed {
		c.roster.Keep(present)
	}
	return c.roster.Flush(page.Revision)
}

// followList returns a step that reads the list of backend servers of a platform
// that keeps one.
func (f *Follower) followList() func(context.Context) error {
	var after uint64
	known := make(map[string]uint64)
	return func(ctx context.Context) error {
		listing, err := f.client.lists.Instances(ctx, after, f.pace.Wait)
		if err != nil {
			return err
		}
		after = max(after, listing.Version)
		e := descriptor.Learned{At: time.Now(), Kind: descriptor.KindBackends}
		for _, l := range listing.Services {
			if l.Version > known[l.Name] {
				known[l.Name] = l.Version
				e.Documents = append(e.Documents, backendsDocument(l))
			}
		}
		if len(e.Documents) > 0 {
			f.poster.Post(e)
		}
		return nil
	}
}
