package forward

import (
	"context"
	"math/rand"
	"time"

	"wigeonwinch/fleet/structs"
)

// faults starts one fault after the other until ctx ends.
func (f *simFleet) faults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		heal := f.fault(rng)
		time.Sleep(time.Duration(500+rng.Intn(4000)) * time.Millisecond)
		heal()
		time.Sleep(time.Duration(rng.Intn(1500)) * time.Millisecond)
	}
}

// fault starts one fault and returns what ends it.
func (f *simFleet) fault(rng *rand.Rand) (heal func()) {
	w := f.workers[rng.Intn(len(f.workers))]
	zone := f.zones[rng.Intn(len(f.zones))]
	switch rng.Intn(13) {
	case 0, 1:
		return f.killSome(rng, zone)
	case 2:
		return f.flag(func(on bool) {
			f.cutZones[zone] = on
			f.noLog[zone] = on
		}, func(l *simLink) bool { return zoneOf(l.from) != zoneOf(l.to) })
	case 3:
		return f.flag(func(on bool) { f.noLog[zone] = on }, nil)
	case 4:
		n := f.pickNode(rng)
		return f.flag(func(on bool) { f.cutPeers[n.member.Node] = on }, nil)
	case 5:
		return f.flag(func(on bool) { f.loseCall = on }, nil)
	case 6:
		f.silence(func(l *simLink) bool { return l.to == w.id })
		return func() {}
	case 12:
		return f.pause(rng)
	case 7:
		return f.failWorker(w)
	case 8, 9:
		return f.drain(w, rng.Intn(2) == 0)
	}
	faults := []string{"crossed", "truncated", "lost", "late", "fails"}
	w.set(func() { w.fault = faults[rng.Intn(len(faults))] })
	return func() { w.set(func() { w.fault = "" }) }
}

func (w *simWorker) set(change func()) {
	w.lock.Lock()
	defer w.lock.Unlock()
	change()
}

// flag sets something for a while; connections that match go silent.
func (f *simFleet) flag(set func(on bool), silent func(*simLink) bool) func() {
	f.lock.Lock()
	set(true)
	f.lock.Unlock()
	if silent != nil {
		f.silence(silent)
	}
	return func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		set(false)
	}
}

func (f *simFleet) silence(match func(*simLink) bool) {
	f.wire.each(match, func(c *simConn) { c.silent.Store(true) })
}

// killSome kills one or all nodes of a zone and replaces them later.
func (f *simFleet) killSome(rng *rand.Rand, zone string) func() {
	f.lock.Lock()
	var dying []*simNode
	for _, m := range f.view.Entry[zone].Members {
		n := f.nodes[m.Node]
		if !n.peers.dead.Load() && (len(dying) == 0 || rng.Intn(3) == 0) {
			dying = append(dying, n)
		}
	}
	f.lock.Unlock()
	for _, n := range dying {
		f.kill(n)
	}
	return func() { f.replace(zone) }
}

// pause stops all messages and connections of a node for some seconds, and
// with them its view of the log; then they go on where they were.
func (f *simFleet) pause(rng *rand.Rand) func() {
	n := f.pickNode(rng)
	f.lock.Lock()
	defer f.lock.Unlock()
	until := time.Now().Add(time.Second + time.Duration(rng.Int63n(int64(simLongestPause-time.Second))))
	if until.After(f.pauses[n.member.Node]) { // a second pause doesn't end the first
		f.pauses[n.member.Node] = until
	}
	return func() {}
}

// failWorker takes a worker down with all its work, and up again.
func (f *simFleet) failWorker(w *simWorker) func() {
	w.set(func() { w.down, w.failed = true, true })
	f.wire.each(func(l *simLink) bool { return l.to == w.id }, func(c *simConn) { _ = c.Close() })
	return func() { w.set(func() { w.down = false }) }
}

// drain takes a worker out as planned: it may refuse new work itself, and it
// restarts only after every entry node of its zone has acknowledged.
func (f *simFleet) drain(w *simWorker, refuses bool) func() {
	if !w.beginDrain(refuses) {
		return func() {} // as the fold voids a second drain
	}
	sequence := f.setVM(w.id, structs.VMDraining)
	return func() {
		for range 200 {
			if f.acknowledged(w, sequence) {
				w.set(func() { w.acked = true })
				time.Sleep(time.Millisecond) // what was canceled now is noticed
				if n := w.busyFromLive(); n > 0 {
					f.ledger.violated("%s has %d in progress after the acknowledged drain", w.id, n)
				}
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		w.set(func() { w.acked, w.refuses = false, false })
		f.setVM(w.id, structs.VMActive)
		w.set(func() { w.draining = false })
	}
}

// beginDrain reports false while another drain of the worker goes on.
func (w *simWorker) beginDrain(refuses bool) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.draining {
		return false
	}
	w.draining = true
	w.refuses = refuses
	return true
}

// acknowledged says whether every member of the worker's zone acknowledged.
func (f *simFleet) acknowledged(w *simWorker, sequence uint64) bool {
	f.lock.Lock()
	var members []*simNode
	for _, m := range f.view.Entry[w.zone].Members {
		members = append(members, f.nodes[m.Node])
	}
	f.lock.Unlock()
	for _, n := range members {
		paused := time.Now().Before(f.pausedUntil(n.member.Node)) // can't append
		if paused || n.peers.dead.Load() || !n.server.Acknowledge(w.id, sequence) {
			return false
		}
	}
	return true
}
