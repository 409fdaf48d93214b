package jobhost

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/shard"
)

// actionsKey is the key of the record that names the VMs on which the fleet
// controller may act.
const actionsKey = "acts"

// announcedActions tracks the VMs on which actions have been announced in the
// store. A fleet controller acts only on VMs that it has announced before, so
// its successor has to wait for these VMs only. Times are monotonic
// milliseconds.
type announcedActions struct {
	// announcedAt is when an action on a VM was last announced.
	announcedAt map[string]int64
	// recorded holds the VMs that the stored record names.
	recorded map[string]bool
	// priorVMs holds the VMs that a predecessor announced. priorUnknown reports
	// that these VMs are not known.
	priorVMs     map[string]bool
	priorUnknown bool
}

// decodeAnnouncedVMs returns the VMs that a predecessor announced. nil means
// that it may have acted on any VM.
func decodeAnnouncedVMs(records map[string][]byte, hadPredecessor bool) ([]string, error) {
	value, ok := records[actionsKey]
	if !ok && hadPredecessor {
		return nil, nil
	}
	vms := []string{}
	if !ok {
		return vms, nil
	}
	if err := decMode.Unmarshal(value, &vms); err != nil {
		return nil, errors.Wrap(err, "cannot decode the announced VM actions")
	}
	return vms, nil
}

// newAnnouncedActions returns a tracker that starts with the VMs announced by a
// predecessor.
func newAnnouncedActions(priorVMs []string, now int64) announcedActions {
	a := announcedActions{announcedAt: map[string]int64{}, recorded: map[string]bool{}, priorVMs: map[string]bool{}, priorUnknown: priorVMs == nil}
	for _, vm := range priorVMs {
		a.priorVMs[vm] = true
		a.announcedAt[vm] = now
	}
	return a
}

// inherited reports whether a predecessor may have acted on the VM.
func (a *announcedActions) inherited(vm string) bool { return a.priorUnknown || a.priorVMs[vm] }

// includes reports whether the stored record names all the VMs.
func (a *announcedActions) includes(vms ...string) bool {
	return !slices.ContainsFunc(vms, func(vm string) bool { return !a.recorded[vm] })
}

// touch records that actions on the VMs may begin now.
func (a *announcedActions) touch(vms []string, now int64) {
	for _, vm := range vms {
		a.announcedAt[vm] = now
	}
}

// newRecord returns the record that announces actions on the VMs, in addition
// to the other VMs for which a successor would still have to wait.
func (a *announcedActions) newRecord(vms []string, now, gapMS int64) (shard.Record, error) {
	a.touch(vms, now)
	ttlMS := gapMS + verificationTTL.Milliseconds() + actionTimeout.Milliseconds()
	maps.DeleteFunc(a.announcedAt, func(_ string, at int64) bool { return now-at > ttlMS })
	value, err := encMode.Marshal(slices.Sorted(maps.Keys(a.announcedAt)))
	return shard.Record{Key: actionsKey, Value: value}, err
}

// markStored records that the store has the last record.
func (a *announcedActions) markStored() {
	a.recorded = make(map[string]bool, len(a.announcedAt))
	for vm := range a.announcedAt {
		a.recorded[vm] = true
	}
}
