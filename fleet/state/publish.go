package state

import (
	"fmt"
	"strings"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
)

// maxChanges bounds the changes of one publish.
const maxChanges = 1 << 15

// maxListedRefusals bounds the refusals that a verdict lists.
const maxListedRefusals = 5

// applyPublish changes the configuration: all of its changes or none.
func (s *State) applyPublish(offset structs.Offset, p *structs.Publish) *Refusal {
	tx, list := s.tryPublish(p)
	if len(list) > 0 {
		tx.rollBack()
		return joinRefusals(list)
	}
	s.generation++
	s.publishedAt = offset
	return nil
}

// CheckPublish lists everything that speaks against a publish in the present
// state and changes nothing. A publish that passes can still be void when it
// is folded, if another record comes first.
func (s *State) CheckPublish(p *structs.Publish) []*Refusal {
	tx, list := s.tryPublish(p)
	tx.rollBack()
	return list
}

// tryPublish makes the changes of a publish and lists what speaks against it.
// The caller keeps the changes or rolls them back.
func (s *State) tryPublish(p *structs.Publish) (*transaction, []*Refusal) {
	tx := newTransaction(s)
	if p.Base != s.generation && !s.unsafe.generation {
		return tx, []*Refusal{refuse(structs.VoidStale, "the configuration is at generation %d, the publish is based on %d: generate it again", s.generation, p.Base)}
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

// joinRefusals makes one refusal of several: the first one's reason and the
// details of the first few.
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

// checkChanges checks each change by itself.
func checkChanges(changes []structs.Change) []*Refusal {
	if len(changes) == 0 || len(changes) > maxChanges {
		return []*Refusal{refuse(structs.VoidInvalid, "the publish has %d changes: give 1 to %d", len(changes), maxChanges)}
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
			list = append(list, refuse(structs.VoidInvalid, "%s changes %s a second time: name each item once", field, shown(c.Name)))
		}
		seen[key] = true
	}
	return list
}

// transaction applies the changes of a publish and can undo them.
type transaction struct {
	s        *State
	undo     []func()
	refusals []*Refusal
	// The names of the items that changed, and of the pools whose budgets must
	// be checked again.
	pools    map[string]bool
	budgets  map[string]bool
	zones    map[string]bool
	windows  map[string]bool
	waves    map[string]bool
	services map[string]bool
	vms      map[string]bool
}

func newTransaction(s *State) *transaction {
	return &transaction{
		s:        s,
		pools:    map[string]bool{},
		budgets:  map[string]bool{},
		zones:    map[string]bool{},
		windows:  map[string]bool{},
		waves:    map[string]bool{},
		services: map[string]bool{},
		vms:      map[string]bool{},
	}
}

// rollBack undoes the changes, last first.
func (tx *transaction) rollBack() {
	for i := len(tx.undo) - 1; i >= 0; i-- {
		tx.undo[i]()
	}
}

// fail notes a reason against the publish.
func (tx *transaction) fail(void structs.Void, format string, args ...any) {
	tx.refusals = append(tx.refusals, refuse(void, format, args...))
}

func (tx *transaction) later(undo func()) {
	tx.undo = append(tx.undo, undo)
}

// apply applies one change; references are checked when all are in.
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

// setItem puts an item into a table, or deletes it when it is nil.
func setItem[T any](tx *transaction, t *table[T], name string, item *T) {
	old, had := t.get(name)
	if item == nil && !had {
		tx.fail(structs.VoidUnknownItem, "%s can't be deleted: it does not exist", shown(name))
		return
	}
	if item == nil {
		t.remove(name)
	} else {
		t.put(name, *item)
	}
	tx.later(func() {
		if had {
			t.put(name, old)
		} else {
			t.remove(name)
		}
	})
}

// setService puts or deletes a service and keeps the index of services and
// routes.
func (tx *transaction) setService(c *structs.Change) {
	s := tx.s
	if old, had := s.services.get(c.Name); had {
		tx.budgets[old.Pool] = true
		s.index.removeService(old)
		tx.later(func() { s.index.addService(old) })
	}
	setItem(tx, &s.services, c.Name, c.Service)
	if c.Service == nil {
		return
	}
	added := *c.Service
	tx.services[c.Name] = true
	tx.budgets[added.Pool] = true
	s.index.addService(added)
	tx.later(func() { s.index.removeService(added) })
}

// setWave puts or deletes a wave. A wave with another image starts anew; a
// wave that was stopped stays stopped until then.
func (tx *transaction) setWave(c *structs.Change) {
	s := tx.s
	old, had := s.waves.get(c.Name)
	oldProgress := s.progress[c.Name]
	tx.later(func() {
		if had {
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
	if had && old.Image == c.Wave.Image {
		status.Returned = old.Returned
		status.FailedProbation = old.FailedProbation
		status.Stopped = old.Stopped
	} else {
		s.progress[c.Name] = newWaveProgress()
	}
	setItem(tx, &s.waves, c.Name, &status)
}
