// Package probe checks the health of backend servers.
//
//	p := probe.New()
//	err := p.Probe(ctx, "10.0.1.7:9000")
package probe

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Path is the path at which a healthy backend server answers with status 200.
const Path = "/healthz"

// timeout bounds one probe.
const timeout = 2 * time.Second

// Prober probes backend servers. Each probe uses a new connection, so that a
// broken connection does not count against the server.
type Prober struct {
	http *http.Client
}

// New returns a prober.
func New() *Prober {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Prober{http: &http.Client{Transport: transport, Timeout: timeout}}
}

// Probe returns nil if the backend server at the given IP address and port is
// healthy.
func (p *Prober) Probe(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return errors.Wrapf(err, "probe %s: write the address as IP:port", address)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "probe %s: the backend server does not answer", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("probe %s: status %d, the backend server is unhealthy", address, resp.StatusCode)
	}
	return nil
}
