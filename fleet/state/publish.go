package state

import (
	"fmt"
	"strings"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
)

// maxChanges limits the number of changes in one publish.
const maxChanges = 1 << 15

// maxListedRefusals limits the number of refusals listed in a verdict.
const maxListedRefusals = 5

// applyPublish applies a publish atomically: either all of its changes or none.
func (s *State) applyPublish(offset structs.Offset, p *structs.Publish) *Refusal {
	tx, list := s.stagePublish(p)
	if len(list) > 0 {
		tx.rollBack()
		return joinRefusals(list)
	}
	s.generation++
	s.publishedAt = offset
	return nil
}

// CheckPublish returns all reasons to refuse a publish in the current state,
// without changing the state. A publish that passes can still be void when it
// is applied, if another record is applied first.
func (s *State) CheckPublish(p *structs.Publish) []*Refusal {
	tx, list := s.stagePublish(p)
	tx.rollBack()
	return list
}

// stagePublish applies the changes of a publish in a transaction and returns
// all reasons to refuse it. The caller either keeps the changes or rolls them
// back.
func (s *State) stagePublish(p *structs.Publish) (*transaction, []*Refusal) {
	tx := newTransaction(s)
	if p.Base != s.generation && !s.skip.generation {
		return tx, []*Refusal{refuse(structs.VoidStale, "configuration is at generation %d, but the publish is based on generation %d: generate the publish again", s.generation, p.Base)}
	}
	if list := checkChanges(p.Changes); len(list) > 0 {
		return tx, list
	}
	for i := range p.Changes {
		tx.apply(&p.Changes[i])
	}
	tx.check()
	return tx, tx.refusals
}

// joinRefusals combines several refusals into one, with the reason code of the
// first and the details of the first maxListedRefusals.
func joinRefusals(list []*Refusal) *Refusal {
	details := make([]string, 0, maxListedRefusals)
	for _, r := range list[:min(len(list), maxListedRefusals)] {
		details = append(details, r.Detail)
	}
	if more := len(list) - len(details); more > 0 {
		details = append(details, fmt.Sprintf("and %d more", more))
	}
	return &Refusal{Void: list[0].Void, Detail: strings.Join(details, "; ")}
}

// checkChanges validates each change on its own and refuses repeated items.
func checkChanges(changes []structs.Change) []*Refusal {
	if len(changes) == 0 || len(changes) > maxChanges {
		return []*Refusal{refuse(structs.VoidInvalid, "publish has %d changes: specify 1 to %d", len(changes), maxChanges)}
	}
	type item struct {
		kind structs.ItemKind
		name string
	}
	seen := make(map[item]bool, len(changes))
	var list []*Refusal
	for i, c := range changes {
		field := fmt.Sprintf("changes[%d]", i)
		for _, problem := range manifest.CheckChange(field, c) {
			list = append(list, &Refusal{Void: structs.VoidInvalid, Detail: problem.Error()})
		}
		key := item{kind: c.Kind, name: c.Name}
		if seen[key] {
			list = append(list, refuse(structs.VoidInvalid, "%s changes %s a second time: list each item once", field, quoteText(c.Name)))
		}
		seen[key] = true
	}
	return list
}

// transaction applies the changes of a publish and can roll them back.
type transaction struct {
	s        *State
	undo     []func()
	refusals []*Refusal
	// pools, zones, windows, waves, services and vms hold the names of the
	// changed items. budgetPools holds the pools whose budgets must be checked
	// again.
	pools       map[string]bool
	budgetPools map[string]bool
	zones       map[string]bool
	windows     map[string]bool
	waves       map[string]bool
	services    map[string]bool
	vms         map[string]bool
}

func newTransaction(s *State) *transaction {
	return &transaction{
		s:           s,
		pools:       map[string]bool{},
		budgetPools: map[string]bool{},
		zones:       map[string]bool{},
		windows:     map[string]bool{},
		waves:       map[string]bool{},
		services:    map[string]bool{},
		vms:         map[string]bool{},
	}
}

// rollBack undoes the changes in reverse order.
func (tx *transaction) rollBack() {
	for i := len(tx.undo) - 1; i >= 0; i-- {
		tx.undo[i]()
	}
}

// refuse adds a reason to refuse the publish.
func (tx *transaction) refuse(reason structs.VoidReason, format string, args ...any) {
	tx.refusals = append(tx.refusals, refuse(reason, format, args...))
}

func (tx *transaction) onRollBack(undo func()) {
	tx.undo = append(tx.undo, undo)
}

// apply applies one change. References are checked after all changes have been
// applied.
func (tx *transaction) apply(c *structs.Change) {
	s := tx.s
	switch c.Kind {
	case structs.ItemZone:
		tx.zones[c.Name] = true
		setItem(tx, &s.zones, c.Name, c.Zone)
	case structs.ItemTeam:
		setItem(tx, &s.teams, c.Name, c.Team)
	case structs.ItemPool:
		tx.pools[c.Name] = true
		setItem(tx, &s.pools, c.Name, c.Pool)
	case structs.ItemWindow:
		tx.windows[c.Name] = true
		setItem(tx, &s.windows, c.Name, c.Window)
	case structs.ItemVM:
		tx.setVM(c)
	case structs.ItemService:
		tx.setService(c)
	case structs.ItemWave:
		tx.setWave(c)
	}
}

// setItem puts an item into a table, or deletes it if item is nil.
func setItem[T any](tx *transaction, t *table[T], name string, item *T) {
	old, existed := t.get(name)
	if item == nil && !existed {
		tx.refuse(structs.VoidUnknownItem, "%s does not exist and can't be deleted", quoteText(name))
		return
	}
	if item == nil {
		t.remove(name)
	} else {
		t.put(name, *item)
	}
	tx.onRollBack(func() {
		if existed {
			t.put(name, old)
		} else {
			t.remove(name)
		}
	})
}

// setService puts or deletes a service and updates the index of services and
// routes.
func (tx *transaction) setService(c *structs.Change) {
	s := tx.s
	if old, existed := s.services.get(c.Name); existed {
		tx.budgetPools[old.Pool] = true
		s.index.removeService(old)
		tx.onRollBack(func() { s.index.addService(old) })
	}
	setItem(tx, &s.services, c.Name, c.Service)
	if c.Service == nil {
		return
	}
	added := *c.Service
	tx.services[c.Name] = true
	tx.budgetPools[added.Pool] = true
	s.index.addService(added)
	tx.onRollBack(func() { s.index.removeService(added) })
}

// setWave puts or deletes a wave. A change of the wave's image resets its
// progress. Any other change keeps the progress, and a stopped wave stays
// stopped.
func (tx *transaction) setWave(c *structs.Change) {
	s := tx.s
	old, existed := s.waves.get(c.Name)
	oldProgress := s.progress[c.Name]
	tx.onRollBack(func() {
		if existed {
			s.progress[c.Name] = oldProgress
		} else {
			delete(s.progress, c.Name)
		}
	})
	if c.Wave == nil {
		delete(s.progress, c.Name)
		setItem(tx, &s.waves, c.Name, nil)
		return
	}
	tx.waves[c.Name] = true
	status := structs.WaveStatus{Wave: *c.Wave}
	if existed && old.Image == c.Wave.Image {
		status.Returned = old.Returned
		status.FailedProbation = old.FailedProbation
		status.Stopped = old.Stopped
	} else {
		s.progress[c.Name] = newWaveProgress()
	}
	setItem(tx, &s.waves, c.Name, &status)
}
