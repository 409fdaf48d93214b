package jobhost

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
)

// entryFeed passes entries of workers to a host that has a configuration.
type entryFeed struct {
	t *testing.T
	h *Host
}

func newEntryFeed(t *testing.T) *entryFeed {
	f := &entryFeed{t, New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))}
	f.configure(1, "s", "t")
	return f
}

func (f *entryFeed) configure(version int64, services ...string) {
	cfg := &deps.Configuration{Version: version}
	for _, s := range services {
		cfg.Pools = append(cfg.Pools, deps.Pool{Service: s})
	}
	f.h.applyConfiguration(cfg)
}

// write passes the entry of worker w with a service on.
func (f *entryFeed) write(service string, whole bool) {
	value, err := json.Marshal(shard.Worker{ID: "w", Address: "w", Service: service, Incarnation: 1})
	require.NoError(f.t, err)
	f.h.applyWorkerRecords([]shard.Record{{Key: "w", Value: value}}, whole)
}

// services lists the services as whose worker w counts, in any shard.
func (f *entryFeed) services(jobsFor ...string) []string {
	var list []string
	hasJobs := func(service string) bool { return len(jobsFor) > 0 && jobsFor[0] == service }
	for i := range f.h.cfg.Partitions {
		for _, w := range f.h.workersOf(deps.Partition{Topic: deps.TopicJobs, Index: i}, hasJobs) {
			list = append(list, w.Service)
		}
	}
	return list
}

// Another writer's entry under a worker's ID named a service that nobody has configured. The
// owner of the shard to which the name belongs fenced the worker off, stopped its runs and
// acknowledged their ends (review/12).
func TestEntryOfAnUnknownServiceLeavesTheWorkerToItsOwner(t *testing.T) {
	for _, whole := range []bool{false, true} {
		f := newEntryFeed(t)
		f.write("s", false)
		f.write("nobody's", whole)
		assert.Equal(t, []string{"s"}, f.services())
		f.write("t", false)
		assert.Equal(t, []string{"t"}, f.services(), "an entry that is sound")
	}
}

func TestWorkersOfANewServiceAreTakenOnceItIsConfigured(t *testing.T) {
	f := newEntryFeed(t)
	f.write("new", false)
	assert.Empty(t, f.services())
	f.configure(2, "s", "new")
	assert.Equal(t, []string{"new"}, f.services())
}

// Jobs of a service that was taken out of the configuration still run on its workers.
func TestWorkersOfAFormerServiceStayWhileItHasJobs(t *testing.T) {
	f := newEntryFeed(t)
	f.write("t", false)
	f.configure(2, "s")
	f.write("t", false)
	assert.Equal(t, []string{"t"}, f.services(), "the node has known it")

	started := newEntryFeed(t)
	started.configure(2, "s")
	started.write("t", true)
	assert.Empty(t, started.services())
	assert.Equal(t, []string{"t"}, started.services("t"))
}
