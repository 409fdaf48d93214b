package jobhost

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/shard"
)

// actsKey is the key of the record that names the VMs on which the holder of
// the fleet duty may act.
const actsKey = "acts"

// announcedActs are the VMs on which acts were announced in the store. A
// holder acts only on VMs that it has announced before, so that the next one
// has to wait for these alone. Times are steady milliseconds.
type announcedActs struct {
	// at is when an act was last announced, by VM.
	at map[string]int64
	// in are the VMs that the stored record names.
	in map[string]bool
	// from are those that an earlier holder announced; all says that it is not
	// known which.
	from map[string]bool
	all  bool
}

// readActs returns the VMs that an earlier holder announced; nil means that
// it may have acted on any.
func readActs(kept map[string][]byte, inherited bool) ([]string, error) {
	value, ok := kept[actsKey]
	if !ok && inherited {
		return nil, nil
	}
	vms := []string{}
	if !ok {
		return vms, nil
	}
	if err := decMode.Unmarshal(value, &vms); err != nil {
		return nil, errors.Wrap(err, "the announced acts can't be decoded")
	}
	return vms, nil
}

// inheritActs starts with what an earlier holder announced.
func inheritActs(known []string, now int64) announcedActs {
	a := announcedActs{at: map[string]int64{}, in: map[string]bool{}, from: map[string]bool{}, all: known == nil}
	for _, vm := range known {
		a.from[vm] = true
		a.at[vm] = now
	}
	return a
}

// inherited says whether an earlier holder may have acted on a VM.
func (a *announcedActs) inherited(vm string) bool { return a.all || a.from[vm] }

// covers says whether the stored record names all these VMs.
func (a *announcedActs) covers(vms ...string) bool {
	return !slices.ContainsFunc(vms, func(vm string) bool { return !a.in[vm] })
}

// note remembers that acts on VMs may begin now.
func (a *announcedActs) note(vms []string, now int64) {
	for _, vm := range vms {
		a.at[vm] = now
	}
}

// record returns the record that announces acts on these VMs, beside the
// others for which a successor would still have to wait.
func (a *announcedActs) record(vms []string, now, gapMS int64) (shard.Record, error) {
	a.note(vms, now)
	life := gapMS + proofLife.Milliseconds() + actTimeout.Milliseconds()
	maps.DeleteFunc(a.at, func(_ string, at int64) bool { return now-at > life })
	value, err := encMode.Marshal(slices.Sorted(maps.Keys(a.at)))
	return shard.Record{Key: actsKey, Value: value}, err
}

// stored notes that the store has the last record.
func (a *announcedActs) stored() {
	a.in = make(map[string]bool, len(a.at))
	for vm := range a.at {
		a.in[vm] = true
	}
}
