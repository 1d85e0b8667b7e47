// Package storer is the client of the platform: its key-value service with
// compare-and-swap, leases and watches, and its list of live and leaving backend
// servers. The protocol is documented in docs/PLATFORM.md.
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
	// ErrUnavailable reports that the call failed and had no effect.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrUnknown reports that a write may or may not have taken effect.
	ErrUnknown = eris.New("outcome of write unknown")
	// ErrConflict reports that the value has another revision than expected.
	ErrConflict = eris.New("revision conflict")
	// ErrNotFound reports that the key does not exist.
	ErrNotFound = eris.New("no such key")
	// ErrTooLarge reports a value larger than MaxValue.
	ErrTooLarge = eris.New("value too large")
	// ErrCompacted reports that the requested history is no longer stored.
	ErrCompacted = eris.New("history compacted")
	// ErrRemoved reports a document that was deleted.
	ErrRemoved = eris.New("document removed")
	// ErrMalformed reports a malformed answer of the platform or a malformed value.
	ErrMalformed = eris.New("malformed answer of platform")
)

const (
	// MaxValue bounds a value in bytes.
	MaxValue = 1 << 20
	// maxAnswerBytes bounds every answer in bytes, with room for many values.
	maxAnswerBytes = 256 << 20
	// callTimeout bounds a call. A watch is bounded by its wait plus callTimeout.
	callTimeout = 5 * time.Second
	// clientName is the name of the client in go-zero.
	clientName = "monsoonswitch-platform"
)

// Item is one value in the store.
type Item struct {
	// Key is the complete key, with its prefix.
	Key string `json:"key"`
	// Revision is the revision of the store at which the value was written. It grows
	// with every write to the store.
	Revision uint64 `json:"revision"`
	// At is when the store accepted the revision.
	At time.Time `json:"at"`
	// Value is the value, encoded as JSON.
	Value json.RawMessage `json:"value"`
	// Deleted reports whether the key was deleted at Revision.
	Deleted bool `json:"deleted,omitempty"`
	// Era is the era of the store in which the value was written, if the store tells; see Page.
	Era uint64 `json:"era,omitempty"`
}

// Stamp returns the revision of the item with its era as one number.
func (i Item) Stamp() uint64 { return descriptor.StampRevision(i.Era, i.Revision) }

// Page is an answer with many values.
type Page struct {
	// Revision is the newest revision of the store.
	Revision uint64 `json:"revision"`
	Items    []Item `json:"items"`
	// Era is how often the store was restored from an older copy of itself. Revisions fall then
	// and are assigned again, so that only those of one era can be compared.
	Era uint64 `json:"-"`
}

// Listing is the platform's list of backend servers.
type Listing struct {
	// Version grows with every change of the list.
	Version  uint64           `json:"version"`
	Services []ServiceListing `json:"services"`
	// Era is as in Page, for the versions of the list.
	Era uint64 `json:"-"`
}

// ServiceListing lists the backend servers of one service.
type ServiceListing struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// Backends holds the encoded backend servers, which other writers may have
	// published.
	Backends []json.RawMessage `json:"backends"`
}

// Store is a key-value service with compare-and-swap, leases and watches. It is
// safe for use by many goroutines.
type Store interface {
	// Get returns the value of a key.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all values whose keys begin with prefix.
	List(ctx context.Context, prefix string) (Page, error)
	// Watch returns the changes under prefix that are newer than after. It waits up to
	// wait for a change, and returns an empty page if there is none. It returns
	// ErrCompacted if some of the changes are no longer stored.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error)
	// Put writes a value if the key has the expected revision; 0 means that the key must
	// not exist. The revision is as Item.Stamp returns it: one of an earlier era is expected of
	// a value that was written in that era. If lease is positive, the value is removed after
	// that time, or earlier if the store grants shorter leases only. With ErrConflict, Put
	// returns the current item.
	Put(ctx context.Context, key string, value []byte, expect uint64, lease time.Duration) (Item, error)
}

// Client calls the platform's store. It is safe for use by many goroutines.
type Client struct {
	Store
	// listSource serves the list of backend servers. It is nil if the list is kept in
	// Store.
	listSource *httpStore
}

// NewClient returns a client of the platform at address, which is host:port.
func NewClient(address string) *Client {
	r := newHTTPStore(address)
	return &Client{Store: r, listSource: r}
}

// NewStoreClient returns a client of a store that also holds the list of backend
// servers.
func NewStoreClient(s Store) *Client { return &Client{Store: s} }

// httpStore is a platform with the protocol of docs/PLATFORM.md.
type httpStore struct {
	base    string
	service httpc.Service
}

func newHTTPStore(address string) *httpStore {
	listener.Configure()
	breaker.NoBreakerFor(clientName)
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	client := &http.Client{Transport: transport}
	return &httpStore{base: "http://" + address, service: httpc.NewServiceWithClient(clientName, client)}
}

// Get returns the value of a key.
func (c *httpStore) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	_, err := c.read(ctx, "/kv/"+key, nil, callTimeout, &item)
	return item, err
}

// List returns all values whose keys begin with prefix.
func (c *httpStore) List(ctx context.Context, prefix string) (Page, error) {
	var page Page
	era, err := c.read(ctx, "/kv", url.Values{"prefix": {prefix}}, callTimeout, &page)
	page.Era = era
	return page, err
}

// Watch returns the values under prefix that are newer than after. It waits up to wait
// for a change, and returns an empty page if there is none.
func (c *httpStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error) {
	var page Page
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {wait.String()},
	}
	era, err := c.read(ctx, "/watch", query, wait+callTimeout, &page)
	page.Era = era
	return page, err
}

// Instances returns the list of backend servers as soon as its version is newer than
// after, or the current list after wait.
func (c *httpStore) Instances(ctx context.Context, after uint64, wait time.Duration) (Listing, error) {
	var listing Listing
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	era, err := c.read(ctx, "/instances", query, wait+callTimeout, &listing)
	listing.Era = era
	return listing, err
}

// EraHeader is the header of all answers of the store that holds its era; see Page. It is missing
// in era 0.
const EraHeader = "Kv-Era"

func (c *httpStore) read(ctx context.Context, path string, query url.Values, timeout time.Duration, result any) (uint64, error) {
	return Read(ctx, c.service, c.base+path+"?"+query.Encode(), timeout, EraHeader, result)
}

// Read sends a GET request to the platform and decodes the answer. It returns the era of the store,
// which the header with the given name holds. It returns ErrUnavailable, ErrNotFound, ErrCompacted
// or ErrMalformed on failure.
func Read(ctx context.Context, service httpc.Service, address string, timeout time.Duration, eraHeader string, result any) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, eris.Wrap(err, "build call")
	}
	response, err := service.DoRequest(r)
	if err != nil {
		return 0, eris.Wrapf(ErrUnavailable, "%v", err)
	}
	defer CloseBody(response)
	switch response.StatusCode {
	case http.StatusOK:
		era, err := parseEra(response.Header.Get(eraHeader))
		if err != nil {
			return 0, err
		}
		return era, DecodeBody(response, result)
	case http.StatusNotFound:
		return 0, eris.Wrap(ErrNotFound, r.URL.Path)
	case http.StatusGone:
		return 0, eris.Wrap(ErrCompacted, r.URL.Path)
	}
	return 0, eris.Wrapf(ErrUnavailable, "%s: status %d", r.URL.Path, response.StatusCode)
}

// parseEra returns the era in a header; a missing one is era 0. It returns ErrMalformed if it is
// not a whole number.
func parseEra(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, eris.Wrapf(ErrMalformed, "era %q", text)
	}
	return era, nil
}

// Put writes a value if the key has the expected revision; 0 means that the key must
// not exist. If lease is positive, the value is removed after that time. With
// ErrConflict, Put returns the current item.
func (c *httpStore) Put(ctx context.Context, key string, value []byte, expect uint64, lease time.Duration) (Item, error) {
	if len(value) > MaxValue {
		return Item{}, eris.Wrapf(ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	era, revision := descriptor.SplitRevision(expect)
	query := url.Values{"expect": {strconv.FormatUint(revision, 10)}}
	if era > 0 {
		query.Set("era", strconv.FormatUint(era, 10))
	}
	if lease > 0 {
		query.Set("lease", lease.String())
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+"/kv/"+key+"?"+query.Encode(), bytes.NewReader(value))
	if err != nil {
		return Item{}, eris.Wrap(err, "build call")
	}
	// Without GetBody, the HTTP client does not resend the write, so that an unknown
	// outcome is reported as ErrUnknown.
	r.GetBody = nil
	response, err := c.service.DoRequest(r)
	if err != nil {
		return Item{}, writeError(key, err)
	}
	defer CloseBody(response)
	return writeResult(key, response)
}

// writeError returns the error of a write without an answer. A write whose connection
// was not established had no effect.
func writeError(key string, err error) error {
	if isDialError(err) {
		return eris.Wrapf(ErrUnavailable, "%s: %v", key, err)
	}
	return eris.Wrapf(ErrUnknown, "%s: %v", key, err)
}

// writeResult returns the item or the error of an answer to a write.
func writeResult(key string, response *http.Response) (Item, error) {
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

// DecodeBody decodes the JSON body of an answer of the platform. It returns
// ErrMalformed if the body is malformed. Values that are nested too deeply are decoded
// as null, so that one such value does not make the whole answer malformed.
func DecodeBody(response *http.Response, result any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return eris.Wrapf(ErrMalformed, "%v", err)
	}
	if err := json.Unmarshal(cutNesting(data), result); err != nil {
		return eris.Wrapf(ErrMalformed, "%v", err)
	}
	return nil
}

// maxNesting is the number of levels of arrays and objects in an answer. Declarations
// have fewer than ten.
const maxNesting = 64

// cutNesting replaces the arrays and objects of JSON text that are nested deeper than
// maxNesting by null. It does not validate the text.
func cutNesting(data []byte) []byte {
	if !nestedTooDeeply(data) {
		return data
	}
	result := make([]byte, 0, len(data))
	n := nesting{}
	for _, c := range data {
		before := n.depth
		n = n.WithByte(c)
		switch {
		case before <= maxNesting && n.depth <= maxNesting:
			result = append(result, c)
		case before == maxNesting:
			result = append(result, "null"...)
		}
	}
	return result
}

func nestedTooDeeply(data []byte) bool {
	n := nesting{}
	for _, c := range data {
		if n = n.WithByte(c); n.depth > maxNesting {
			return true
		}
	}
	return false
}

// nesting is the position within JSON text that is read byte by byte.
type nesting struct {
	depth int
	// quoted is set within a string, and escaped after a backslash there.
	quoted, escaped bool
}

// WithByte returns n after the next byte.
func (n nesting) WithByte(c byte) nesting {
	switch {
	case n.escaped:
		n.escaped = false
	case n.quoted:
		n.escaped = c == '\\'
		n.quoted = c != '"'
	case c == '"':
		n.quoted = true
	case c == '[' || c == '{':
		n.depth++
	case c == ']' || c == '}':
		n.depth--
	}
	return n
}

// CloseBody reads an answer of the platform to its end and closes it, so that its
// connection can be reused.
func CloseBody(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes))
	_ = response.Body.Close()
}

// Instances returns the list of backend servers. It returns ErrNotFound if the platform
// has no separate list.
func (c *Client) Instances(ctx context.Context, after uint64, wait time.Duration) (Listing, error) {
	if c.listSource == nil {
		return Listing{}, eris.Wrap(ErrNotFound, "list of backend servers")
	}
	return c.listSource.Instances(ctx, after, wait)
}
