// Package caller is a caller of the fleet: it asks which addresses to use, keeps
// the answer a while, sends work there and tells what became of it.
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
	// ErrNoAddress means that no instance answered which addresses to use.
	ErrNoAddress = eris.New("no instance answered")
	// ErrBroken means that the answer broke off or never came.
	ErrBroken = eris.New("answer broken")
)

const (
	clientName = "monsoonswitch-caller"
	// addressTimeout bounds the question which addresses to use.
	addressTimeout = 2 * time.Second
	// maxTries bounds the addresses tried for one piece of work.
	maxTries = 6
	// redirectPause is how much longer each further redirection waits: the
	// instances may be about to agree.
	redirectPause = 50 * time.Millisecond
)

// Work is one piece of work.
type Work struct {
	Service string
	Method  string
	// Path is the path with the query.
	Path string
	// Keyed tells that the work carries an idempotency key. Unique makes it
	// unique among the keys of this caller.
	Keyed  bool
	Unique string
	// Repeatable tells that the work may be sent again after a broken answer.
	Repeatable bool
	// Body returns the body anew for each try; nil means none.
	Body func() io.Reader
	// Size is the length of the body in bytes.
	Size int64
	// Timeout is how long the caller waits; 0 means without end.
	Timeout time.Duration
	// Name tells this caller from others at the same address.
	Name string
}

// Result is what became of a piece of work.
type Result struct {
	// Status is the HTTP status, or 0 if no answer came.
	Status int
	// Reason and Outcome are empty for answers of backend servers.
	Reason  string
	Outcome string
	// Body is the whole answer.
	Body []byte
	// Latency is the time from the first byte sent to the whole answer.
	Latency time.Duration
	// Tries is the number of times the work was sent.
	Tries int
	// Key is the idempotency key used.
	Key string
}

// Refused tells whether an instance refused the work.
func (r Result) Refused() bool { return r.Reason != "" }

// answer is a kept address answer.
type answer struct {
	addresses []forwarder.Address
	until     time.Time
}

// Caller sends work. It is safe for use by many goroutines.
type Caller struct {
	domain  string
	service httpc.Service

	mu sync.Mutex
	// entries lists the instances to ask: those given at first, and those that
	// answers named since, newest last. All instances may be replaced while a
	// caller lives.
	entries []string
	kept    map[string]answer
	turn    int
}

// New returns a caller that asks the given instances, in a failure domain.
func New(entries []string, domain string) *Caller {
	listener.Configure()
	breaker.NoBreakerFor(clientName)
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &Caller{
		entries: entries,
		domain:  domain,
		service: httpc.NewServiceWithClient(clientName, &http.Client{Transport: transport}),
		kept:    make(map[string]answer),
	}
}

// Addresses returns the addresses to use for a service.
func (c *Caller) Addresses(ctx context.Context, service, name string) ([]forwarder.Address, error) {
	c.mu.Lock()
	a, ok := c.kept[service+"/"+name]
	c.mu.Unlock()
	if ok && time.Now().Before(a.until) {
		return a.addresses, nil
	}
	return c.ask(ctx, service, name)
}

// ask asks the known instances in turn.
func (c *Caller) ask(ctx context.Context, service, name string) ([]forwarder.Address, error) {
	for range maxEntries {
		entry := c.nextEntry()
		got, err := c.askOne(ctx, entry, service, name)
		if err != nil || len(got.Addresses) == 0 {
			continue
		}
		c.remember(got.Addresses)
		c.keep(service, name, got.Addresses, time.Duration(got.Keep*float64(time.Second)))
		return got.Addresses, nil
	}
	return nil, eris.Wrap(ErrNoAddress, service)
}

// maxEntries bounds the instances that a caller remembers.
const maxEntries = 32

func (c *Caller) nextEntry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	return c.entries[c.turn%len(c.entries)]
}

// remember adds the instances of an answer to those to ask.
func (c *Caller) remember(list []forwarder.Address) {
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

func (c *Caller) keep(service, name string, list []forwarder.Address, keep time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept[service+"/"+name] = answer{addresses: list, until: time.Now().Add(keep)}
}

func (c *Caller) askOne(ctx context.Context, entry, service, name string) (forwarder.AddressAnswer, error) {
	var got forwarder.AddressAnswer
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	url := "http://" + entry + forwarder.AddressPath + "?service=" + service + "&domain=" + c.domain + "&caller=" + name
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return got, eris.Wrap(err, "build question")
	}
	response, err := c.service.DoRequest(r)
	if err != nil {
		return got, eris.Wrap(err, "ask for addresses")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return got, eris.Wrapf(ErrNoAddress, "status %d", response.StatusCode)
	}
	return got, eris.Wrap(json.NewDecoder(response.Body).Decode(&got), "read addresses")
}

// Do sends work until it is answered or refused for good. Work that was refused
// without being run goes to the next address; work whose answer broke off is
// sent again if it is repeatable or carries a key.
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
		result.Key = list[0].Ticket + "." + w.Unique
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
		c.forget(w)
	}
	if err == nil {
		return result, nil
	}
	return result, err
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// redirected returns the addresses that an instance named instead of itself.
func (c *Caller) redirected(w Work, result Result, before []forwarder.Address) []forwarder.Address {
	var body struct {
		Addresses []forwarder.Address `json:"addresses"`
	}
	if json.Unmarshal(result.Body, &body) != nil || len(body.Addresses) == 0 {
		return before
	}
	c.remember(body.Addresses)
	c.keep(w.Service, w.Name, body.Addresses, time.Second)
	return body.Addresses
}

func (c *Caller) forget(w Work) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.kept, w.Service+"/"+w.Name)
}

// errDial marks a try in which nothing was sent.
var errDial = eris.New("no connection")

func (c *Caller) mayResend(w Work, err error) bool {
	return errors.Is(err, errDial) || w.Repeatable || w.Keyed
}

// try sends work to one address.
func (c *Caller) try(ctx context.Context, address string, w Work, result *Result) error {
	var body io.Reader
	if w.Body != nil {
		body = io.NopCloser(w.Body())
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
		// Spelled so that net/http does not send the request again by itself.
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
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrapf(ErrBroken, "%v", err)
	}
	result.Status = response.StatusCode
	result.Body = data
	result.Reason = response.Header.Get("Monsoon-Reason")
	result.Outcome = response.Header.Get("Monsoon-Outcome")
	return nil
}

func sendError(err error) error {
	if strings.Contains(err.Error(), "dial tcp") {
		return eris.Wrapf(errDial, "%v", err)
	}
	return eris.Wrapf(ErrBroken, "%v", err)
}
