package forward

import (
	"context"
	"math/rand"
	"time"

	"wigeonwinch/fleet/structs"
)

// injectFaults injects one fault after another until ctx ends.
func (f *simFleet) injectFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		heal := f.injectFault(rng)
		time.Sleep(time.Duration(500+rng.Intn(4000)) * time.Millisecond)
		heal()
		time.Sleep(time.Duration(rng.Intn(1500)) * time.Millisecond)
	}
}

// injectFault injects one fault and returns the function that repairs it.
func (f *simFleet) injectFault(rng *rand.Rand) (heal func()) {
	w := f.workers[rng.Intn(len(f.workers))]
	zone := f.zones[rng.Intn(len(f.zones))]
	switch rng.Intn(13) {
	case 0, 1:
		return f.killNodes(rng, zone)
	case 2:
		return f.setCondition(func(on bool) {
			f.isolatedZones[zone] = on
			f.logUnreachable[zone] = on
		}, func(l *simLink) bool { return zoneOf(l.from) != zoneOf(l.to) })
	case 3:
		return f.setCondition(func(on bool) { f.logUnreachable[zone] = on }, nil)
	case 4:
		n := f.pickNode(rng)
		return f.setCondition(func(on bool) { f.isolatedNodes[n.member.Node] = on }, nil)
	case 5:
		return f.setCondition(func(on bool) { f.losesPeerCalls = on }, nil)
	case 6:
		f.silenceConns(func(l *simLink) bool { return l.to == w.id })
		return func() {}
	case 12:
		return f.pauseNode(rng)
	case 7:
		return f.failWorker(w)
	case 8, 9:
		return f.drainWorker(w, rng.Intn(2) == 0)
	}
	faults := []string{"crossed", "truncated", "lost", "late", "fails"}
	w.update(func() { w.fault = faults[rng.Intn(len(faults))] })
	return func() { w.update(func() { w.fault = "" }) }
}

func (w *simWorker) update(change func()) {
	w.lock.Lock()
	defer w.lock.Unlock()
	change()
}

// setCondition sets a condition and returns the function that resets it.
// Connections that match silent, if given, become silent.
func (f *simFleet) setCondition(set func(on bool), silent func(*simLink) bool) func() {
	f.lock.Lock()
	set(true)
	f.lock.Unlock()
	if silent != nil {
		f.silenceConns(silent)
	}
	return func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		set(false)
	}
}

func (f *simFleet) silenceConns(match func(*simLink) bool) {
	f.network.forEachConn(match, func(c *simConn) { c.silent.Store(true) })
}

// killNodes kills one or all nodes of a zone. The returned function replaces
// them.
func (f *simFleet) killNodes(rng *rand.Rand, zone string) func() {
	f.lock.Lock()
	var victims []*simNode
	for _, m := range f.view.EntryEpochs[zone].Members {
		n := f.nodes[m.Node]
		if !n.peers.dead.Load() && (len(victims) == 0 || rng.Intn(3) == 0) {
			victims = append(victims, n)
		}
	}
	f.lock.Unlock()
	for _, n := range victims {
		f.killNode(n)
	}
	return func() { f.replaceDeadNodes(zone) }
}

// pauseNode delays all messages and connections of a node, and its view of
// the log, for some seconds. They continue afterwards.
func (f *simFleet) pauseNode(rng *rand.Rand) func() {
	n := f.pickNode(rng)
	f.lock.Lock()
	defer f.lock.Unlock()
	until := time.Now().Add(time.Second + time.Duration(rng.Int63n(int64(simMaxPause-time.Second))))
	if until.After(f.pauseEnds[n.member.Node]) { // a second pause does not shorten the first
		f.pauseEnds[n.member.Node] = until
	}
	return func() {}
}

// failWorker takes a worker and its connections down. The returned function
// brings the worker up again.
func (f *simFleet) failWorker(w *simWorker) func() {
	w.update(func() { w.down, w.failed = true, true })
	f.network.forEachConn(func(l *simLink) bool { return l.to == w.id }, func(c *simConn) { _ = c.Close() })
	return func() { w.update(func() { w.down = false }) }
}

// drainWorker starts a planned drain of a worker, which may itself refuse new
// requests. The returned function restarts the worker once every entry node
// of its zone has acknowledged the drain.
func (f *simFleet) drainWorker(w *simWorker, refuses bool) func() {
	if !w.beginDrain(refuses) {
		return func() {} // because applying the record would void a second drain
	}
	sequence := f.setVM(w.id, structs.VMDraining)
	return func() {
		for range 200 {
			if f.drainAcknowledged(w, sequence) {
				w.update(func() { w.drainAcknowledged = true })
				time.Sleep(time.Millisecond) // time for canceled requests to be noticed
				if n := w.inProgressFromLive(); n > 0 {
					f.ledger.addViolation("%s has %d requests in progress after the drain was acknowledged", w.id, n)
				}
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		w.update(func() { w.drainAcknowledged, w.refusesWork = false, false })
		f.setVM(w.id, structs.VMActive)
		w.update(func() { w.draining = false })
	}
}

// beginDrain starts a drain. It reports false while another drain of the
// worker is in progress.
func (w *simWorker) beginDrain(refuses bool) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.draining {
		return false
	}
	w.draining = true
	w.refusesWork = refuses
	return true
}

// drainAcknowledged reports whether every member of the worker's zone
// acknowledged the drain.
func (f *simFleet) drainAcknowledged(w *simWorker, sequence uint64) bool {
	f.lock.Lock()
	var members []*simNode
	for _, m := range f.view.EntryEpochs[w.zone].Members {
		members = append(members, f.nodes[m.Node])
	}
	f.lock.Unlock()
	for _, n := range members {
		paused := time.Now().Before(f.pausedUntil(n.member.Node)) // a paused node cannot append
		if paused || n.peers.dead.Load() || !n.server.CanAcknowledgeDrain(w.id, sequence) {
			return false
		}
	}
	return true
}
