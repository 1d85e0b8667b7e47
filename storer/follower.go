package storer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"monsoonswitch/descriptor"
)

// Times of following.
const (
	// watchWait is how long one watch waits.
	watchWait = 30 * time.Second
	// retryFirst and retryLast bound the waits after failed calls.
	retryFirst = 200 * time.Millisecond
	retryLast  = 5 * time.Second
)

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

// Follower watches the platform while it is active and posts what it learns.
type Follower struct {
	client   *Client
	poster   Poster
	reporter Reporter

	mu     sync.Mutex
	cancel context.CancelFunc
}

// NewFollower returns a follower that is not active.
func NewFollower(c *Client, p Poster, r Reporter) *Follower {
	return &Follower{client: c, poster: p, reporter: r}
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
	go func() { f.repeat(ctx, "store", f.followConfig(ctx)) }()
	go func() { f.repeat(ctx, "list", f.followList(ctx)) }()
}

// repeat calls step until ctx ends, with growing random waits after errors.
func (f *Follower) repeat(ctx context.Context, source string, step func() error) {
	wait := retryFirst
	failing := false
	for ctx.Err() == nil {
		err := step()
		if ctx.Err() != nil {
			return
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

// followConfig returns a step that reads everything first and changes then.
func (f *Follower) followConfig(ctx context.Context) func() error {
	var after uint64
	complete := false
	return func() error {
		if !complete {
			page, err := f.client.List(ctx, ConfigPrefix)
			if err != nil {
				return err
			}
			after = page.Revision
			complete = true
			f.post(page.Items, true)
			return nil
		}
		page, err := f.client.Watch(ctx, ConfigPrefix, after, watchWait)
		if err != nil {
			return err
		}
		after = max(after, page.Revision)
		if len(page.Items) > 0 {
			f.post(page.Items, false)
		}
		return nil
	}
}

func (f *Follower) post(items []Item, complete bool) {
	e := descriptor.Learned{At: time.Now(), Kind: descriptor.KindService, Complete: complete}
	for _, item := range items {
		d, err := ParseDocument(item)
		if err != nil {
			f.reporter.BadDocument(item.Key, err)
			continue
		}
		e.Documents = append(e.Documents, d)
	}
	f.poster.Post(e)
}

// followList returns a step that reads the list of backend servers.
func (f *Follower) followList(ctx context.Context) func() error {
	var after uint64
	known := make(map[string]uint64)
	return func() error {
		listing, err := f.client.Instances(ctx, after, watchWait)
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
