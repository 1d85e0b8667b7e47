// Package storer speaks to the platform: its key-value service with
// compare-and-swap, leases and watches, and its list of live and leaving
// backend servers. docs/PLATFORM.md gives the protocol.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"monsoonswitch/descriptor"
	"monsoonswitch/listener"
)

// Errors of calls to the platform.
var (
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = eris.New("outcome of write unknown")
	// ErrConflict means that the value has another revision than expected.
	ErrConflict = eris.New("revision conflict")
	// ErrNotFound means that there is no value.
	ErrNotFound = eris.New("no such key")
	// ErrTooLarge means that a value is over MaxValue.
	ErrTooLarge = eris.New("value too large")
	// ErrCompacted means that the history asked for is gone.
	ErrCompacted = eris.New("history compacted")
	// ErrGarbage means that the platform's answer can't be read.
	ErrGarbage = eris.New("unreadable answer of platform")
)

const (
	// MaxValue bounds a value in bytes.
	MaxValue = 1 << 20
	// maxAnswer bounds an answer with many values in bytes.
	maxAnswer = 256 << 20
	// callTimeout bounds a call that does not wait.
	callTimeout = 5 * time.Second
	// clientName is the name under which go-zero knows the client.
	clientName = "monsoonswitch-platform"
)

// Item is one value in the store.
type Item struct {
	// Key is the whole key.
	Key string `json:"key"`
	// Revision grows with every write to the store.
	Revision uint64 `json:"revision"`
	// At is when the store accepted the revision.
	At time.Time `json:"at"`
	// Value is the value as JSON.
	Value json.RawMessage `json:"value"`
	// Deleted tells that the key is gone as of Revision.
	Deleted bool `json:"deleted,omitempty"`
}

// Page is an answer with many values.
type Page struct {
	// Revision is the newest revision of the store.
	Revision uint64 `json:"revision"`
	Items    []Item `json:"items"`
}

// Listing is the platform's list of backend servers.
type Listing struct {
	// Version grows with each change of the list.
	Version  uint64           `json:"version"`
	Services []ServiceListing `json:"services"`
}

// ServiceListing lists the backend servers of one service.
type ServiceListing struct {
	Name     string               `json:"name"`
	Version  uint64               `json:"version"`
	Backends []descriptor.Backend `json:"backends"`
}

// Store is a key-value service with compare-and-swap, leases and watches. It is
// safe for use by many goroutines.
type Store interface {
	// Get returns the value of a key.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all values whose keys begin with prefix.
	List(ctx context.Context, prefix string) (Page, error)
	// Watch returns the changes under prefix that are newer than after. It waits
	// for one at most for wait, and returns none then. ErrCompacted means that
	// not all of them are known any more.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error)
	// Put writes a value if the key has the expected revision; 0 means that there
	// is no value. A lease over 0 removes the value after that time. On
	// ErrConflict the item found is returned.
	Put(ctx context.Context, key string, value []byte, expect uint64, lease time.Duration) (Item, error)
}

// Client calls the platform's store. It is safe for use by many goroutines.
type Client struct {
	Store
	// lists is where the list of backend servers is, or nil if it lies in Store.
	lists *remote
}

// NewClient returns a client of the platform at address, which is host:port.
func NewClient(address string) *Client {
	r := newRemote(address)
	return &Client{Store: r, lists: r}
}

// NewStoreClient returns a client of a store.
func NewStoreClient(s Store) *Client { return &Client{Store: s} }

// remote is a platform that speaks the protocol of docs/PLATFORM.md.
type remote struct {
	base    string
	service httpc.Service
}

func newRemote(address string) *remote {
	listener.Configure()
	breaker.NoBreakerFor(clientName)
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	client := &http.Client{Transport: transport}
	return &remote{base: "http://" + address, service: httpc.NewServiceWithClient(clientName, client)}
}

// Get returns the value of a key.
func (c *remote) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := c.read(ctx, "/kv/"+key, nil, callTimeout, &item)
	return item, err
}

// List returns all values whose keys begin with prefix.
func (c *remote) List(ctx context.Context, prefix string) (Page, error) {
	var page Page
	err := c.read(ctx, "/kv", url.Values{"prefix": {prefix}}, callTimeout, &page)
	return page, err
}

// Watch returns the values under prefix that are newer than after. It waits for
// one at most for wait, and returns none then.
func (c *remote) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error) {
	var page Page
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {wait.String()},
	}
	err := c.read(ctx, "/watch", query, wait+callTimeout, &page)
	return page, err
}

// Instances returns the list of backend servers once it is newer than after, or
// what there is after wait.
func (c *remote) Instances(ctx context.Context, after uint64, wait time.Duration) (Listing, error) {
	var listing Listing
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	err := c.read(ctx, "/instances", query, wait+callTimeout, &listing)
	return listing, err
}

func (c *remote) read(ctx context.Context, path string, query url.Values, timeout time.Duration, result any) error {
	return Read(ctx, c.service, c.base+path+"?"+query.Encode(), timeout, result)
}

// Read calls for something of the platform and decodes the answer.
func Read(ctx context.Context, service httpc.Service, address string, timeout time.Duration, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return eris.Wrap(err, "build call")
	}
	response, err := service.DoRequest(r)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "%v", err)
	}
	defer CloseBody(response)
	switch response.StatusCode {
	case http.StatusOK:
		return DecodeBody(response, result)
	case http.StatusNotFound:
		return eris.Wrap(ErrNotFound, r.URL.Path)
	case http.StatusGone:
		return eris.Wrap(ErrCompacted, r.URL.Path)
	}
	return eris.Wrapf(ErrUnavailable, "%s: status %d", r.URL.Path, response.StatusCode)
}

// Put writes a value if the key has the expected revision; 0 means that there is
// no value. A lease over 0 removes the value after that time. On ErrConflict the
// item found is returned.
func (c *remote) Put(ctx context.Context, key string, value []byte, expect uint64, lease time.Duration) (Item, error) {
	if len(value) > MaxValue {
		return Item{}, eris.Wrapf(ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{"expect": {strconv.FormatUint(expect, 10)}}
	if lease > 0 {
		query.Set("lease", lease.String())
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+"/kv/"+key+"?"+query.Encode(), bytes.NewReader(value))
	if err != nil {
		return Item{}, eris.Wrap(err, "build call")
	}
	// A write is never sent again by the HTTP client, so that an unknown outcome
	// is seen as one.
	r.GetBody = nil
	response, err := c.service.DoRequest(r)
	if err != nil {
		return Item{}, writeError(key, err)
	}
	defer CloseBody(response)
	return readWrite(key, response)
}

func writeError(key string, err error) error {
	if isDialError(err) {
		return eris.Wrapf(ErrUnavailable, "%s: %v", key, err)
	}
	return eris.Wrapf(ErrUnknown, "%s: %v", key, err)
}

func readWrite(key string, response *http.Response) (Item, error) {
	var item Item
	switch response.StatusCode {
	case http.StatusOK:
		if err := DecodeBody(response, &item); err != nil {
			return item, eris.Wrapf(ErrUnknown, "%s: %v", key, err)
		}
		return item, nil
	case http.StatusConflict:
		if err := DecodeBody(response, &item); err != nil {
			return item, err
		}
		return item, eris.Wrap(ErrConflict, key)
	case http.StatusRequestEntityTooLarge:
		return item, eris.Wrap(ErrTooLarge, key)
	case http.StatusServiceUnavailable:
		return item, eris.Wrap(ErrUnavailable, key)
	}
	return item, eris.Wrapf(ErrUnknown, "%s: status %d", key, response.StatusCode)
}

// DecodeBody reads the JSON body of an answer of the platform.
func DecodeBody(response *http.Response, result any) error {
	err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(result)
	if err != nil {
		return eris.Wrapf(ErrGarbage, "%v", err)
	}
	return nil
}

// CloseBody reads an answer of the platform to its end, so that its connection can
// be used again.
func CloseBody(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer))
	_ = response.Body.Close()
}

// Instances returns the list of a platform that keeps one.
func (c *Client) Instances(ctx context.Context, after uint64, wait time.Duration) (Listing, error) {
	if c.lists == nil {
		return Listing{}, eris.Wrap(ErrNotFound, "list of backend servers")
	}
	return c.lists.Instances(ctx, after, wait)
}
