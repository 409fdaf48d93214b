package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra/standin"
)

// faultyProber is a prober for which selected addresses do not answer.
type faultyProber struct {
	mu     sync.Mutex
	down   map[string]bool
	probes map[string]int
}

func (p *faultyProber) Probe(_ context.Context, address string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes[address]++
	if p.down[address] {
		return errors.New("no answer")
	}
	return nil
}

func (p *faultyProber) setDown(address string, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[address] = down
}

func (p *faultyProber) probeCount(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probes[address]
}

func TestFailedWorkerIsDetectedAndReturnsAfterProbation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		c.listWorkers()
		prober := &faultyProber{down: make(map[string]bool), probes: make(map[string]int)}
		for _, p := range c.specs {
			c.start(p, 1, func(cfg *Config) { cfg.Prober = prober })
		}
		time.Sleep(5 * time.Second)
		c.publish(c.node(1))
		time.Sleep(time.Hour)
		vm := c.node(1).View().VMs[0]
		require.Equal(t, structs.VMActive, vm.State)
		prober.setDown(vm.Address, true)
		time.Sleep(activeProbeInterval + time.Minute)
		failed, _ := c.node(1).View().VMByID(vm.ID)
		require.Equal(t, structs.VMFailed, failed.State)
		prober.setDown(vm.Address, false)
		time.Sleep(20 * time.Minute)
		back, _ := c.node(1).View().VMByID(vm.ID)
		require.Equal(t, structs.VMActive, back.State)
		require.Positive(t, prober.probeCount(vm.Address))
	})
}
