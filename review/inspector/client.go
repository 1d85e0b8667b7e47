package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// client sends requests to one instance, on a connection that it keeps.
type client struct {
	fleet     *fleet
	to        *instance
	transport *http.Transport
	// key is the API key that is sent, if any.
	key string
}

// answer is what a client got for one attempt. err is set if the answer is not complete.
type answer struct {
	id     string
	status int
	err    error
}

func newClient(f *fleet, to *instance) *client {
	t := &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &client{fleet: f, to: to, transport: t}
}

func (c *client) close() { c.transport.CloseIdleConnections() }

// send sends one attempt and returns its answer.
func (c *client) send(method, host, path, body string, deadline time.Duration) answer {
	a := answer{id: c.fleet.nextID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.to.at(frontPort)+path, content)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if c.key != "" {
		r.Header.Set("Authorization", "Token "+c.key)
	}
	// The transport must not send the attempt again by itself.
	r.GetBody = nil
	c.fleet.add("client sends %s %s %s, %d bytes, to %s", a.id, method, path, len(body), c.to.name)
	response, err := c.transport.RoundTrip(r)
	var data []byte
	if err == nil {
		a.status = response.StatusCode
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	a.err = err
	c.fleet.add("client gets %d for %s at %s, body %q, end %v", a.status, a.id, c.to.name, data, err)
	return a
}

// send sends one attempt on a new connection and returns its answer.
func (f *fleet) send(to *instance, method, host, path string, deadline time.Duration) answer {
	c := newClient(f, to)
	defer c.close()
	return c.send(method, host, path, "", deadline)
}

// sendWithKey sends one attempt with an API key.
func (f *fleet) sendWithKey(to *instance, method, host, path, key string, deadline time.Duration) answer {
	c := newClient(f, to)
	c.key = key
	defer c.close()
	return c.send(method, host, path, "", deadline)
}
