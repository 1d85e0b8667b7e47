package assembler

import (
	"context"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Direction is a direction of the links that an instance accepted; its value is the
// name of the proxy's stream.
type Direction string

// Directions of links.
const (
	// Inward is from the dialing instances to the one that accepted.
	Inward Direction = "upstream"
	// Outward is from the one that accepted to the dialing instances.
	Outward Direction = "downstream"
)

// newProxy starts a proxy for the inner listener of an instance. Its upstream is set
// by forward, since the instance's address is not known before it listens.
func newProxy(name string) (*toxiproxy.Proxy, error) { return NewProxy(name, loopback) }

// NewProxy starts a proxy on a free loopback port that forwards to an address. It returns
// an error if it can't listen.
func NewProxy(name, upstream string) (*toxiproxy.Proxy, error) {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := toxiproxy.NewProxy(server, name, loopback, upstream)
	return p, eris.Wrap(p.Start(), "start proxy")
}

// forward sets the upstream address of a proxy.
func forward(p *toxiproxy.Proxy, address string) {
	p.Lock()
	defer p.Unlock()
	p.Upstream = address
}

// Cut blocks one direction of the links that an instance accepted, while the other
// direction keeps working. i counts the instances in the order of their start from 0,
// including stopped ones. It returns an error if there is no proxy for i.
func (f *Fleet) Cut(i int, d Direction) error {
	p, ok := f.proxyAt(i)
	if !ok {
		return eris.Wrap(ErrStart, "no proxy in front of that instance")
	}
	toxic := `{"name":"cut","type":"timeout","stream":"` + string(d) + `","attributes":{"timeout":0}}`
	_, err := p.Toxics.AddToxicJson(strings.NewReader(toxic))
	return eris.Wrap(err, "cut link")
}

// Heal restores the links after Cut with the same i.
func (f *Fleet) Heal(i int) {
	if p, ok := f.proxyAt(i); ok {
		p.Toxics.ResetToxics(context.Background())
	}
}

func (f *Fleet) proxyAt(i int) (*toxiproxy.Proxy, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i < 0 || i >= len(f.proxies) {
		return nil, false
	}
	return f.proxies[i], true
}
