package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// laterLife is a cluster whose workers start again under their IDs.
type laterLife struct {
	*Cluster
	queue  queue
	client *Client
}

func startLaterLife(t *testing.T) *laterLife {
	t.Helper()
	s := &laterLife{Cluster: startCluster(t, 3), queue: queues[0]}
	s.client = s.NewClient(s.options.random(streamScenarios))
	t.Cleanup(s.client.Close)
	return s
}

func (s *laterLife) submit(t *testing.T, id string, job Job) {
	t.Helper()
	status, _ := s.client.Submit(t.Context(), s.node(s.judge.Owner(s.queue.service)), s.queue, id, job)
	require.Equal(t, http.StatusOK, status)
}

// awaitStep waits until all tasks of a job's step have ended done.
func (s *laterLife) awaitStep(t *testing.T, id string, step int) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.judge.mu.Lock()
		defer s.judge.mu.Unlock()
		return s.judge.jobs[id].openTask(step) == ""
	}, 15*time.Second, time.Millisecond)
}

// awaitDone waits until all tasks of a job have ended done.
func (s *laterLife) awaitDone(t *testing.T, id string) {
	t.Helper()
	s.judge.mu.Lock()
	steps := len(s.judge.jobs[id].job.Steps)
	s.judge.mu.Unlock()
	for step := range steps {
		s.awaitStep(t, id, step)
	}
}

// requireKept waits until a second start would have come, and checks all promises.
func (s *laterLife) requireKept(t *testing.T) {
	t.Helper()
	time.Sleep(3 * time.Second)
	for _, v := range s.judge.Violations() {
		t.Error(v)
	}
}

// An acknowledgement that was held up reached the next life of the worker, which forgot the
// end of a run that its owner had not seen; the task ran again.
func TestLateAcknowledgementReachesLaterLife(t *testing.T) {
	s := startLaterLife(t)
	defer s.calm.Begin(everything)()
	held := map[string]bool{}
	s.late.mu.Lock()
	s.late.pick = func(c lateCall) bool {
		if c.path != pathHold || c.order.Acked == 0 || c.life.service != s.queue.service || held[c.life.id] {
			return false
		}
		held[c.life.id] = true
		return true
	}
	s.late.mu.Unlock()
	s.submit(t, "00000000000000e1", NewJob(300*time.Millisecond, 0, 16))
	s.awaitDone(t, "00000000000000e1")
	// The owner gives the polls up and polls again.
	time.Sleep(4 * time.Second)
	require.NotEmpty(t, held)
	for worker := range held {
		s.machines.Crash(worker, 100*time.Millisecond, true)
	}
	time.Sleep(1500 * time.Millisecond)
	s.submit(t, "00000000000000e2", NewJob(500*time.Millisecond, 0, 16))
	s.awaitDone(t, "00000000000000e2")
	s.requireKept(t)
	s.late.mu.Lock()
	defer s.late.mu.Unlock()
	carriedOut := false
	for worker := range held {
		carriedOut = carriedOut || len(s.late.atEnd[worker]) == 0
	}
	require.True(t, carriedOut, "no later life has got a late call")
}

// Workers started again while the store was slow to take their ends. The acknowledgements
// then waited at the next lives, which forgot ends that the owner had not seen.
func TestAcknowledgementForEarlierLifeWaitsAtLaterOne(t *testing.T) {
	s := startLaterLife(t)
	defer s.calm.Begin(everything)()
	for _, id := range []string{"00000000000000f1", "00000000000000f2", "00000000000000f3"} {
		s.submit(t, id, NewJob(300*time.Millisecond, 0, 8, 16))
		for _, n := range s.nodes {
			n.proxy.SetDelay(storeDelay)
		}
		s.awaitStep(t, id, 0)
		time.Sleep(50 * time.Millisecond)
		for _, w := range s.machines.Workers() {
			if w.service == s.queue.service {
				s.machines.Crash(w.id, 20*time.Millisecond, true)
			}
		}
		time.Sleep(2 * time.Second)
		for _, n := range s.nodes {
			n.proxy.Restore()
		}
		s.awaitDone(t, id)
	}
	s.requireKept(t)
}

// Workers start again under their IDs all the time, and calls to them come late or get no
// answer.
func TestWorkersRestartWhileCallsComeLate(t *testing.T) {
	report, err := Run(t.Context(), Options{Program: program, Dir: logsOf(t), Seed: 23, Nodes: 5, Workers: 10, Duration: 20 * time.Second, Kinds: RestartKinds})
	require.NoError(t, err)
	var text strings.Builder
	report.Write(&text)
	t.Log(text.String())
	require.True(t, report.OK())
}
