// Package caller is a client of the fleet. It asks an instance which addresses to use
// for a service, caches the answer, sends requests there and reports their outcomes.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"monsoonswitch/forwarder"
	"monsoonswitch/listener"
)

// Errors of a caller.
var (
	// ErrNoAddress means that no instance returned the addresses to use.
	ErrNoAddress = eris.New("no instance returned addresses")
	// ErrBroken means that the response was truncated or never arrived.
	ErrBroken = eris.New("response truncated or missing")
)

const (
	clientName = "monsoonswitch-caller"
	// addressTimeout bounds one request for addresses.
	addressTimeout = 2 * time.Second
	// maxTries bounds the number of times that a request is sent.
	maxTries = 6
	// redirectPause is added to the wait before each further redirection, since
	// the instances may not have agreed yet on which of them serve a service.
	redirectPause = 50 * time.Millisecond
)

// Work describes one request.
type Work struct {
	Service string
	Method  string
	// Path is the URL path with the query.
	Path string
	// Keyed reports whether the request carries an idempotency key. KeySuffix
	// distinguishes it from the other keys of this caller.
	Keyed     bool
	KeySuffix string
	// Repeatable reports whether the request may be sent again after its response
	// was truncated or missing.
	Repeatable bool
	// Body returns a new reader of the body for each try; nil means no body.
	Body func() io.Reader
	// Size is the length of the body in bytes.
	Size int64
	// Timeout is how long the caller waits in total; 0 means without limit.
	Timeout time.Duration
	// Name distinguishes this caller from others at the same address.
	Name string
}

// Result is the outcome of one request.
type Result struct {
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// Reason and Outcome are those of an instance's refusal; they are empty for
	// responses of backend servers.
	Reason  string
	Outcome string
	// Body is the complete response body.
	Body []byte
	// Latency is the time from the call of Do to the complete response.
	Latency time.Duration
	// Tries is the number of times that the request was sent.
	Tries int
	// Key is the idempotency key; it is empty if there is none.
	Key string
}

// Refused reports whether an instance refused the request.
func (r Result) Refused() bool { return r.Reason != "" }

// cachedAddresses is a cached answer to a request for addresses.
type cachedAddresses struct {
	addresses []forwarder.Address
	expires   time.Time
}

// Caller sends requests. It is safe for use by many goroutines.
type Caller struct {
	domain  string
	service httpc.Service

	mu sync.Mutex
	// entries lists the addresses of known instances: the initial ones, and those
	// in answers since, newest last. They are needed because all initial
	// instances may be replaced during the lifetime of a caller.
	entries []string
	// cache holds the addresses for each SERVICE/CALLER.
	cache map[string]cachedAddresses
	// queries counts the requests for addresses, to use the entries in turn.
	queries int
}

// New returns a caller in a failure domain that asks the given instances for
// addresses.
func New(entries []string, domain string) *Caller {
	listener.Configure()
	breaker.NoBreakerFor(clientName)
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &Caller{
		entries: entries,
		domain:  domain,
		service: httpc.NewServiceWithClient(clientName, &http.Client{Transport: transport}),
		cache:   make(map[string]cachedAddresses),
	}
}

// Addresses returns the addresses to use for a service, from the cache if possible.
// It returns an error that wraps ErrNoAddress if no instance returns any.
func (c *Caller) Addresses(ctx context.Context, service, name string) ([]forwarder.Address, error) {
	c.mu.Lock()
	a, ok := c.cache[service+"/"+name]
	c.mu.Unlock()
	if ok && time.Now().Before(a.expires) {
		return a.addresses, nil
	}
	return c.query(ctx, service, name)
}

// query asks the known instances in turn for the addresses to use for a service.
func (c *Caller) query(ctx context.Context, service, name string) ([]forwarder.Address, error) {
	for range maxEntries {
		entry := c.nextEntry()
		got, err := c.queryInstance(ctx, entry, service, name)
		if err != nil || len(got.Addresses) == 0 {
			continue
		}
		c.addEntries(got.Addresses)
		c.cacheAddresses(service, name, got.Addresses, time.Duration(got.Keep*float64(time.Second)))
		return got.Addresses, nil
	}
	return nil, eris.Wrap(ErrNoAddress, service)
}

// maxEntries bounds the known instances of a caller.
const maxEntries = 32

// nextEntry returns the known instances in turn.
func (c *Caller) nextEntry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queries++
	return c.entries[c.queries%len(c.entries)]
}

// addEntries adds the instances of an answer to the known ones and drops the oldest
// above maxEntries.
func (c *Caller) addEntries(list []forwarder.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range list {
		if !slices.Contains(c.entries, a.Address) {
			c.entries = append(c.entries, a.Address)
		}
	}
	if extra := len(c.entries) - maxEntries; extra > 0 {
		c.entries = append([]string(nil), c.entries[extra:]...)
	}
}

// cacheAddresses caches the addresses for a service and a caller's name.
func (c *Caller) cacheAddresses(service, name string, list []forwarder.Address, lifetime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache[service+"/"+name] = cachedAddresses{addresses: list, expires: time.Now().Add(lifetime)}
}

// queryInstance asks one instance for the addresses to use for a service.
func (c *Caller) queryInstance(ctx context.Context, entry, service, name string) (forwarder.AddressAnswer, error) {
	var got forwarder.AddressAnswer
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	url := "http://" + entry + forwarder.AddressPath + "?service=" + service + "&domain=" + c.domain + "&caller=" + name
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return got, eris.Wrap(err, "build address request")
	}
	response, err := c.service.DoRequest(r)
	if err != nil {
		return got, eris.Wrap(err, "request addresses")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return got, eris.Wrapf(ErrNoAddress, "status %d", response.StatusCode)
	}
	return got, eris.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxAddressBytes)).Decode(&got), "decode addresses")
}

// Do sends a request and returns its response or its refusal. A misdirected request
// goes to the addresses that the instance returned. A request that failed without a
// complete response goes to the next address if nothing was sent, if it is
// repeatable or if it carries a key; otherwise Do returns an error.
func (c *Caller) Do(ctx context.Context, w Work) (Result, error) {
	if w.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, w.Timeout)
		defer cancel()
	}
	started := time.Now()
	list, err := c.Addresses(ctx, w.Service, w.Name)
	if err != nil {
		return Result{}, err
	}
	result := Result{}
	if w.Keyed {
		result.Key = list[0].Ticket + "." + w.KeySuffix
	}
	for i := 0; i < len(list) && result.Tries < maxTries; i++ {
		result.Tries++
		err = c.try(ctx, list[i].Address, w, &result)
		result.Latency = time.Since(started)
		if err == nil && result.Reason != "misdirected" {
			return result, nil
		}
		if err == nil {
			list = c.redirected(w, result, list)
			i = -1
			pause(ctx, time.Duration(result.Tries-1)*redirectPause)
			continue
		}
		if ctx.Err() != nil || !c.mayResend(w, err) {
			return result, err
		}
		c.dropCached(w)
	}
	if err == nil {
		return result, nil
	}
	return result, err
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// redirected returns the addresses in a misdirected response, or before if there are
// none.
func (c *Caller) redirected(w Work, result Result, before []forwarder.Address) []forwarder.Address {
	var body struct {
		Addresses []forwarder.Address `json:"addresses"`
	}
	if json.Unmarshal(result.Body, &body) != nil || len(body.Addresses) == 0 {
		return before
	}
	c.addEntries(body.Addresses)
	c.cacheAddresses(w.Service, w.Name, body.Addresses, time.Second)
	return body.Addresses
}

// dropCached removes the cached addresses for the service of a request.
func (c *Caller) dropCached(w Work) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, w.Service+"/"+w.Name)
}

// errDial means that no connection was established, so that nothing was sent.
var errDial = eris.New("connection failed")

// mayResend reports whether a request may be sent again after err.
func (c *Caller) mayResend(w Work, err error) bool {
	return errors.Is(err, errDial) || w.Repeatable || w.Keyed
}

// try sends a request to one address and fills in the response.
func (c *Caller) try(ctx context.Context, address string, w Work, result *Result) error {
	var body io.Reader
	if w.Body != nil {
		body = io.NopCloser(w.Body())
	} else if !w.Repeatable && !w.Keyed {
		body = forwarder.EmptyOnceBody{}
	}
	r, err := http.NewRequestWithContext(ctx, w.Method, "http://"+address+w.Path, body)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	r.ContentLength = w.Size
	r.Header.Set("Service", w.Service)
	if w.Name != "" {
		r.Header.Set("Caller", w.Name)
	}
	if result.Key != "" {
		// The key is in lower case because net/http resends a request with the canonical
		// Idempotency-Key header by itself when a reused connection breaks.
		r.Header["idempotency-key"] = []string{result.Key}
	}
	if w.Timeout > 0 {
		r.Header.Set("Request-Timeout", strconv.FormatFloat(w.Timeout.Seconds(), 'f', 3, 64))
	}
	response, err := c.service.DoRequest(r)
	if err != nil {
		return sendError(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return eris.Wrapf(ErrBroken, "%v", err)
	}
	if len(data) > maxAnswerBytes {
		return eris.Wrapf(ErrBroken, "answer of more than %d bytes", maxAnswerBytes)
	}
	result.Status = response.StatusCode
	result.Body = data
	result.Reason = response.Header.Get("Monsoon-Reason")
	result.Outcome = response.Header.Get("Monsoon-Outcome")
	return nil
}

// maxAnswerBytes bounds the body of an answer in bytes. A longer one counts as broken off, since
// it may have no end.
const maxAnswerBytes = 64 << 20

// maxAddressBytes bounds a list of addresses in bytes.
const maxAddressBytes = 1 << 20

// sendError returns errDial if the connection could not be established, and
// ErrBroken otherwise.
func sendError(err error) error {
	if strings.Contains(err.Error(), "dial tcp") {
		return eris.Wrapf(errDial, "%v", err)
	}
	return eris.Wrapf(ErrBroken, "%v", err)
}
