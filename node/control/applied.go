package control

import (
	"fmt"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
)

// recordAppliedEvent records an event for an applied record that changed a VM
// or a wave, so that the timeline shows the history of each VM.
func (l *Loop) recordAppliedEvent(offset structs.Offset, rec structs.Record) {
	switch {
	case rec.Transition != nil:
		l.cfg.Events.Record(events.VMState, events.Fields{
			VM: rec.Transition.VM, Offset: offset,
			Detail: transitionDetail(*rec.Transition),
		})
	case rec.Move != nil:
		l.cfg.Events.Record(events.VMMoved, events.Fields{VM: rec.Move.VM, Pool: rec.Move.To, Offset: offset})
	case rec.DrainAck != nil:
		l.cfg.Events.Record(events.VMDrainAcknowledged, events.Fields{VM: rec.DrainAck.VM, Peer: rec.DrainAck.Node, Offset: offset})
	case rec.WaveStop != nil:
		l.cfg.Events.Record(events.WaveStopped, events.Fields{
			Offset: offset,
			Detail: rec.WaveStop.Wave + ": " + rec.WaveStop.Reason,
		})
	}
}

func transitionDetail(t structs.Transition) string {
	detail := t.To.String()
	if t.Wave != "" {
		detail += fmt.Sprintf(" for wave %s", t.Wave)
	}
	if t.Image != "" {
		detail += fmt.Sprintf(" on image %s", t.Image)
	}
	if t.FailedProbation {
		detail += ", probation failed"
	}
	return detail
}
