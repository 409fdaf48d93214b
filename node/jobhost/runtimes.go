package jobhost

// runTimesView is what the shards of this node have learned of run times, for its
// metrics.
type runTimesView struct {
	queues, histories int
	// declared and expected are the sums over the queues of the factors by which
	// run times are off.
	declared, expected float64
}

// viewRunTimes publishes what the owned shards have learned.
func (h *Host) viewRunTimes() {
	v := &runTimesView{}
	for _, s := range h.owned {
		if s.core == nil {
			continue
		}
		queues, histories := s.core.RunTimes()
		v.histories += histories
		v.queues += len(queues)
		for _, q := range queues {
			v.declared += q.DeclaredFactor
			v.expected += q.ExpectedFactor
		}
	}
	h.runTimesView.Store(v)
}
