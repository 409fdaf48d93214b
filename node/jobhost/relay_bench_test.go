package jobhost

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/deps/depstest"
)

// quickWorkers are workers in memory that cost little processor time. Every run
// succeeds after runTime.
type quickWorkers struct {
	runTime time.Duration
	byID    map[string]*quickWorker
}

type quickWorker struct {
	mu       sync.Mutex
	born     int64
	running  map[shard.RunRef]bool
	ended    []shard.ListedEnd
	lastEnd  int
	endAdded chan struct{}
}

func (w *quickWorkers) Poll(ctx context.Context, p shard.Poll) (shard.PollResponse, error) {
	q := w.byID[p.Worker]
	expired := time.After(time.Duration(p.WaitMS) * time.Millisecond)
	for {
		q.mu.Lock()
		for len(q.ended) > 0 && q.ended[0].End <= p.AckedUpto {
			q.ended = q.ended[1:]
		}
		l := shard.PollResponse{ClockMS: time.Now().UnixMilli() - q.born, Incarnation: q.born, Ended: append([]shard.ListedEnd(nil), q.ended...)}
		for ref := range q.running {
			l.Running = append(l.Running, shard.ListedRun{RunRef: ref, Percent: 100})
		}
		added := q.endAdded
		q.mu.Unlock()
		if len(l.Ended) > 0 {
			return l, nil
		}
		select {
		case <-added:
		case <-expired:
			return l, nil
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
}

func (w *quickWorkers) Start(_ context.Context, s shard.Start) shard.StartResult {
	q := w.byID[s.Worker]
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[s.RunRef] = true
	time.AfterFunc(w.runTime, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.running, s.RunRef)
		q.lastEnd++
		q.ended = append(q.ended, shard.ListedEnd{End: q.lastEnd, RunRef: s.RunRef, Kind: shard.EndDone})
		close(q.endAdded)
		q.endAdded = make(chan struct{})
	})
	return shard.StartResult{Outcome: shard.StartAccepted, ClockMS: time.Now().UnixMilli() - q.born}
}

func (w *quickWorkers) Stop(context.Context, shard.Stop) error { return nil }
func (w *quickWorkers) Pace(context.Context, shard.Pace) error { return nil }

// BenchmarkOwnerWithRelays measures the processor time per task of a pool of 600
// workers whose owner uses four relays in the same process. It includes the
// relays and the fakes: compare it only with other runs of this benchmark, and
// use a profile to see the owner's part.
func BenchmarkOwnerWithRelays(b *testing.B) {
	const workers, tasksPerJob, jobsPerSecond = 600, 8, 250
	store := depstest.NewStore()
	put := func(topic deps.Topic, key string, value any) { require.NoError(b, store.Put(topic, key, value)) }
	put(deps.TopicOperator, "config", deps.Configuration{Version: 1,
		Routes: []deps.Route{{Host: "h", PathPrefix: "/q/", Queue: shard.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, TargetMS: 5_000}}},
		Pools:  []deps.Pool{{Service: "s"}}})
	fakes := &quickWorkers{runTime: 680 * time.Millisecond, byID: map[string]*quickWorker{}}
	for i := range workers {
		id, born := fmt.Sprintf("w-%d", i), time.Now().UnixMilli()
		fakes.byID[id] = &quickWorker{born: born, running: map[shard.RunRef]bool{}, endAdded: make(chan struct{})}
		put(deps.TopicWorkers, id, shard.Worker{ID: id, Address: id, Zone: "z", Service: "s", Capacity: spec.Resources{MilliCPU: 16_000, MemoryMB: 64_000}, Incarnation: born})
	}
	port := freePort(b)
	var hosts []*Host
	ctx, cancel := context.WithCancel(context.Background())
	for i := range 6 {
		h := New(Config{Node: fmt.Sprintf("n%d", i), Zone: "z", IP: fmt.Sprintf("127.0.2.%d", i+1), Cores: 0.8, PeerPort: port, Partitions: 4, MaxLeaseMS: 6_000,
			StatusRetentionMS: 60_000, ShutdownGrace: 3 * time.Second, PeerKey: []byte("a key that all nodes of the test share"),
			Store: store, Workers: fakes, VMs: depstest.VMs{}, Codec: depstest.Codec{}})
		hosts = append(hosts, h)
		go func() { _ = h.Run(ctx) }()
	}
	submit := func(i int) Outcome {
		job := &spec.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []spec.Step{{Count: tasksPerJob, Need: spec.Resources{MilliCPU: 2_200, MemoryMB: 3_000}, EstimateMS: 680}}}
		return hosts[i%len(hosts)].Do(ctx, Request{Op: OpSubmit, Service: "s", Queue: "q", ID: job.ID, Job: job}).Outcome
	}
	require.Eventually(b, func() bool { return submit(0) == Done }, 10*time.Second, 50*time.Millisecond)
	time.Sleep(2 * time.Second)
	b.ResetTimer()
	before := processCPUTime(b)
	var submits sync.WaitGroup
	for i := range b.N {
		time.Sleep(time.Second / jobsPerSecond)
		submits.Go(func() { submit(i + 1) })
	}
	submits.Wait()
	lastJobFinal := func() bool {
		return hosts[0].Do(ctx, Request{Op: OpShow, Service: "s", Queue: "q", ID: fmt.Sprintf("%016x", b.N)}).State.Final()
	}
	require.Eventually(b, lastJobFinal, 20*time.Second, 20*time.Millisecond)
	b.ReportMetric(float64((processCPUTime(b)-before).Microseconds())/float64(b.N*tasksPerJob), "cpu_us/task")
	cancel()
	for _, h := range hosts {
		<-h.HandedOver()
		h.Close()
	}
}

// processCPUTime returns the processor time that this process has used so far.
func processCPUTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
