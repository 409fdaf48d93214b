package model

import (
	"fmt"

	"wigeonwinch/jobs/shard"
)

// Advice configures the service that permits the placements of the model's queue.
type Advice struct {
	Timing shard.AdviceTiming
	// PermittedShare of the workers may run a step.
	PermittedShare float64
	// MovesAtMS is when the queue moves to another service, or leaves the configuration
	// if Removed is set; 0 if it stays.
	MovesAtMS int64
	Removed   bool
}

// permits reports whether a step may run on a worker. The answer never changes.
func (a *Advice) permits(step shard.Key, worker *worker) bool {
	hash := uint32(2166136261)
	for _, b := range []byte(permitToken(step, worker.vm)) {
		hash = (hash ^ uint32(b)) * 16777619
	}
	return float64(hash%1000) < a.PermittedShare*1000
}

func permitToken(step shard.Key, vm string) string {
	return fmt.Sprintf("%s.%d.%d-%s", step.Job, step.Occurrence, step.Step, vm)
}

// permitKey identifies the permit of a step for one life of a worker.
func permitKey(token string, k *worker) string { return fmt.Sprintf("%s-%d", token, k.incarnation) }

// sendAdvice answers the owner's request for permits, or loses it during the faults.
func (w *World) sendAdvice(o *owner, req shard.AdviceRequest) {
	sentAt, a := w.now, w.opts.Advice
	w.after(a.Timing.DecideMS+a.Timing.EachMS*int64(len(req.Workers)), func() {
		lost := w.now < o.cutOffUntil || w.faulty() && w.rng.Float64() < w.opts.LostAnswerShare+w.opts.LostRequestShare
		resp := shard.AdviceResponse{Permits: map[string]string{}, ValidMS: a.Timing.ValidMS}
		for _, id := range req.Workers {
			for _, k := range w.workers {
				if k.id == id && a.permits(req.Key, k) {
					resp.Permits[id] = permitToken(req.Key, k.vm)
					w.permitsUntil[permitKey(resp.Permits[id], k)] = w.now + a.Timing.ValidMS
				}
			}
		}
		if !o.stopped {
			o.core.HandleAdvice(w.now, sentAt, req, resp, !lost)
			o.pump()
		}
	})
}

// lacksPermit reports whether a start carries no valid permit that the worker needs.
func (k *worker) lacksPermit(s shard.Start) bool {
	w := k.world
	if w.opts.Advice == nil || s.PermitToken == permitToken(s.Key, k.vm) && w.now <= w.permitsUntil[permitKey(s.PermitToken, k)] {
		return false
	}
	w.UnpermittedStarts++
	return true
}

// applyQueues tells an owner where the configuration sends the model's queue.
func (w *World) applyQueues(o *owner) {
	q := shard.Queue{Name: Queue, Service: serviceName, MaxAttempts: w.opts.MaxAttempts, Stretch: Stretch, TargetMS: TargetMS}
	a := w.opts.Advice
	if a != nil {
		q.AdviceTiming = &a.Timing
	}
	if a == nil || a.MovesAtMS == 0 || w.now < a.MovesAtMS {
		o.core.SetQueues([]shard.Queue{q})
		return
	}
	o.core.SetQueues(nil)
	o.core.SetOtherQueues(nil)
	if !a.Removed {
		q.Service = "other"
		o.core.SetOtherQueues([]shard.Queue{q})
	}
}
