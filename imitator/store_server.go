package imitator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/storer"
)

// Paths of the stand-ins' control interface; the platform itself does not have them.
const (
	FaultPath    = "/-/fault"
	CallsPath    = "/-/calls"
	RegisterPath = "/-/register/"
)

// maxWait bounds how long a call may wait for changes.
const maxWait = time.Minute

// ServeHTTP implements http.Handler. It serves the platform's protocol and the
// control interface of the stand-in.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == FaultPath:
		s.serveFault(w, r)
	case r.URL.Path == CallsPath:
		writeJSON(w, http.StatusOK, s.Calls())
	case strings.HasPrefix(r.URL.Path, RegisterPath):
		s.serveRegister(w, r)
	default:
		s.servePlatform(w, r)
	}
}

func (s *Store) serveFault(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, s.Fault())
		return
	}
	var f StoreFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	s.SetFault(f)
	writeJSON(w, http.StatusOK, f)
}

// serveRegister adds or removes a backend server by PUT or DELETE of
// /-/register/SERVICE/ID.
func (s *Store) serveRegister(w http.ResponseWriter, r *http.Request) {
	service, id, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, RegisterPath), "/")
	if !ok || service == "" || id == "" {
		writeProblem(w, http.StatusBadRequest, errors.New("want /-/register/SERVICE/ID"))
		return
	}
	if r.Method == http.MethodDelete {
		s.Deregister(service, id)
		writeJSON(w, http.StatusOK, id)
		return
	}
	var b descriptor.Backend
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	b.ID = id
	s.Register(service, b)
	writeJSON(w, http.StatusOK, b)
}

// servePlatform serves the platform's protocol with the current faults.
func (s *Store) servePlatform(w http.ResponseWriter, r *http.Request) {
	fault := s.Fault()
	if fault.Slow > 0 {
		time.Sleep(fault.Slow)
	}
	if fault.Outage {
		s.count(func(c *StoreCalls) { c.Refused++ })
		writeProblem(w, http.StatusServiceUnavailable, errors.New("outage"))
		return
	}
	s.stampEra(w)
	switch {
	case r.URL.Path == "/kv" && r.Method == http.MethodGet:
		s.count(func(c *StoreCalls) { c.Reads++ })
		s.serveList(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv/") && r.Method == http.MethodGet:
		s.count(func(c *StoreCalls) { c.Reads++ })
		s.serveGet(w, strings.TrimPrefix(r.URL.Path, "/kv/"))
	case strings.HasPrefix(r.URL.Path, "/kv/") && r.Method == http.MethodPut:
		s.count(func(c *StoreCalls) { c.Writes++ })
		s.servePut(w, r, strings.TrimPrefix(r.URL.Path, "/kv/"))
	case r.URL.Path == "/watch":
		s.count(func(c *StoreCalls) { c.Watches++ })
		s.serveWatch(w, r)
	case r.URL.Path == "/instances":
		s.count(func(c *StoreCalls) { c.Lists++ })
		s.serveInstances(w, r)
	default:
		writeProblem(w, http.StatusNotFound, errors.New("no such path"))
	}
}

// stampEra sets the header that tells the era of the store. A call that waits sets it again.
func (s *Store) stampEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era > 0 {
		w.Header().Set(storer.EraHeader, strconv.FormatUint(s.era, 10))
	}
}

func (s *Store) count(f func(*StoreCalls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.calls)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	p := s.page(r.URL.Query().Get("prefix"), 0, time.Now())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, p)
}

func (s *Store) serveGet(w http.ResponseWriter, key string) {
	s.mu.Lock()
	item, ok := s.get(key, time.Now())
	s.mu.Unlock()
	if !ok {
		writeProblem(w, http.StatusNotFound, errors.New("no such key"))
		return
	}
	writeJSON(w, http.StatusOK, item)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(io.LimitReader(r.Body, storer.MaxValue+1))
	if err != nil {
		return
	}
	if len(data) > storer.MaxValue {
		writeProblem(w, http.StatusRequestEntityTooLarge, errors.New("value too large"))
		return
	}
	if !json.Valid(data) {
		writeProblem(w, http.StatusBadRequest, errors.New("value is not valid JSON"))
		return
	}
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	if text := r.URL.Query().Get("era"); text != "" {
		era, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeProblem(w, http.StatusBadRequest, err)
			return
		}
		expect = descriptor.StampRevision(era, expect)
	}
	lease, _ := time.ParseDuration(r.URL.Query().Get("lease"))
	item, ok := s.put(key, data, expect, lease, time.Now())
	if ok && s.losesReply() {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	writeJSON(w, status, item)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	var p storer.Page
	lost := false
	ok := s.wait(r, func() bool {
		p = s.page(query.Get("prefix"), after, time.Now())
		lost = after > s.revision
		return lost || len(p.Items) > 0
	})
	s.stampEra(w)
	if lost {
		writeProblem(w, http.StatusGone, errors.New("no such revision"))
		return
	}
	if !ok {
		writeProblem(w, http.StatusServiceUnavailable, errors.New("outage"))
		return
	}
	writeJSON(w, http.StatusOK, p)
}

func (s *Store) serveInstances(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	var l storer.Listing
	ok := s.wait(r, func() bool {
		l = s.listing(after)
		return after > s.version || len(l.Services) > 0
	})
	s.stampEra(w)
	if !ok {
		writeProblem(w, http.StatusServiceUnavailable, errors.New("outage"))
		return
	}
	writeJSON(w, http.StatusOK, l)
}

// wait calls ready with the lock held, at first and after each change, until it
// returns true, the wait parameter of the request has elapsed or the request is
// cancelled. It returns false during an outage.
func (s *Store) wait(r *http.Request, ready func() bool) bool {
	limit, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || limit < 0 || limit > maxWait {
		limit = 0
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	s.count(func(c *StoreCalls) { c.Waiting++ })
	defer s.count(func(c *StoreCalls) { c.Waiting-- })
	for {
		s.mu.Lock()
		outage, done, changed := s.fault.Outage, ready(), s.changed
		s.mu.Unlock()
		if outage || done {
			return !outage
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-r.Context().Done():
			return true
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeProblem writes an error as JSON.
func writeProblem(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{err.Error()})
}
