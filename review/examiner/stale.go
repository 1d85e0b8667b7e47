package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// staleFleet is the number of instances, and cutMost how many of them are cut from the store at most: a
	// third.
	staleFleet, cutMost = 36, 12
	// cutTime is how long they are cut, and configBound the bound config_apply_s.
	cutTime, configBound = 12 * time.Second, 2 * time.Second
)

// cutter cuts the instances that read the store, one after the other.
type cutter struct {
	mu     sync.Mutex
	record *record
	active bool
	most   int
	cut    map[int]bool
}

// isCut reports whether the instance with a number is cut from the store when it calls.
func (c *cutter) isCut(number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active {
		return false
	}
	if !c.cut[number] && len(c.cut) < c.most {
		c.cut[number] = true
		c.record.write("instance %d is cut from the store", number+1)
	}
	return c.cut[number]
}

// setActive starts or ends the cut.
func (c *cutter) setActive(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = active
}

// everCut reports whether the instance with a number was cut.
func (c *cutter) everCut(number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[number]
}

// gateStore returns a handler that serves the store to one instance, and leaves its calls without an answer
// while it is cut.
func gateStore(s *store, c *cutter, number int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.isCut(number) {
			<-r.Context().Done()
			return
		}
		s.ServeHTTP(w, r)
	})
}

// playStale cuts the instances that read the store from it, and moves a route.
func playStale(rec *record, trouble bool) (bool, error) {
	cut := &cutter{record: rec, most: cutMost, cut: make(map[int]bool)}
	gate := func(s *store, number int) http.Handler { return gateStore(s, cut, number) }
	routes := []route{{"jepu9.example", "/lepu270/", "safe", "huvo", 3, 1, 2}, {"hulo84.example", "/xapu221/", "safe", "kafi", 3, 1, 2}}
	f, err := newGatedFleet(rec, staleFleet, smallMachine, routes, gate)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	for n := range 12 {
		service := []string{"huvo", "kafi"}[n%2]
		if _, err := newBackend(f.store, rec, service, n+1, 6, func(*http.Request) time.Duration { return 5 * time.Millisecond }); err != nil {
			return false, err
		}
	}
	if err := f.wait(); err != nil {
		return false, err
	}
	cut.setActive(trouble)
	rec.write("the cut begins: %v", trouble)
	time.Sleep(3 * time.Second)
	routes[0].service = "kafi"
	f.store.put("op/config", configuration(2, routes))
	acknowledged := time.Now()
	rec.write("version r2 moves the first route from huvo to kafi; acknowledged")
	stale := 0
	for time.Since(acknowledged) < cutTime-4*time.Second {
		stale += askAll(rec, f, cut, acknowledged)
		time.Sleep(300 * time.Millisecond)
	}
	cut.setActive(false)
	rec.write("the cut ends; %d requests were handled by the old version later than %v after the acknowledgement, by instances with a way to the store", stale, configBound)
	return stale > 0, nil
}

// askAll sends a request to each instance and returns how many that were never cut handle it by the old
// version later than the bound.
func askAll(rec *record, f *fleet, cut *cutter, acknowledged time.Time) int {
	stale := 0
	for number, p := range f.instances {
		sent := time.Now()
		service, err := servedBy(p.front, fmt.Sprintf("c%d.%d", number, sent.UnixMilli()))
		late := sent.Sub(acknowledged)
		if err != nil {
			rec.write("%s, %d ms after the acknowledgement: %v", p.name, late.Milliseconds(), err)
			continue
		}
		if service == "huvo" && late > configBound && !cut.everCut(number) {
			stale++
			rec.write("%s, %d ms after the acknowledgement: handled by the old service huvo", p.name, late.Milliseconds())
		}
	}
	return stale
}

// servedBy sends a request and returns the service that ran it.
func servedBy(front, id string) (string, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return "", err
	}
	defer closeQuietly(conn)
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.WriteString(conn, clientHead("GET", "/lepu270/2f", "jepu9.example", id, 0))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer closeQuietly(response.Body)
	signature := response.Header.Get("Server-Signature")
	if response.StatusCode != http.StatusOK || len(signature) < 6 {
		return "", fmt.Errorf("status %d", response.StatusCode)
	}
	return signature[2:6], nil
}
