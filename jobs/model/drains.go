package model

const (
	// drainMS is how long a worker that is about to leave runs on, replacementMS when another
	// VM takes its place.
	drainMS       = 3_000
	replacementMS = 1_500
)

// drainWorker lets a random worker announce that it leaves. Another VM replaces it.
func (w *World) drainWorker() {
	k := w.workers[w.rng.IntN(len(w.workers))]
	if !k.up || k.draining {
		return
	}
	k.draining = true
	w.noteFault(w.now + drainMS)
	w.after(drainMS, func() {
		k.left = true
		k.crash()
	})
	w.after(replacementMS, func() { w.workers = append(w.workers, newWorker(w, len(w.workers))) })
}
