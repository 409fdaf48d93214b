package state

import (
	"fmt"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
)

// maxChanges bounds the changes of one publish.
const maxChanges = 1 << 15

// maxListedProblems bounds the problems that a verdict lists.
const maxListedProblems = 5

// applyPublish changes the configuration: all of its changes or none.
func (s *State) applyPublish(offset structs.Offset, p *structs.Publish) *refusal {
	if p.Base != s.generation && !s.unsafe.generation {
		return refuse(structs.VoidStale, "the configuration is at generation %d, the publish is based on %d: generate it again", s.generation, p.Base)
	}
	if out := checkChanges(p.Changes); out != nil {
		return out
	}
	tx := newTransaction(s)
	for i := range p.Changes {
		tx.apply(&p.Changes[i])
	}
	if out := tx.check(); out != nil {
		tx.rollBack()
		return out
	}
	s.generation++
	s.publishedAt = offset
	return nil
}

// checkChanges checks each change by itself.
func checkChanges(changes []structs.Change) *refusal {
	if len(changes) == 0 || len(changes) > maxChanges {
		return refuse(structs.VoidInvalid, "the publish has %d changes: give 1 to %d", len(changes), maxChanges)
	}
	type item struct {
		kind structs.ItemKind
		name string
	}
	seen := make(map[item]bool, len(changes))
	var problems []manifest.Problem
	for i, c := range changes {
		problems = append(problems, manifest.CheckChange(fmt.Sprintf("changes[%d]", i), c)...)
		if len(problems) >= maxListedProblems {
			break
		}
		key := item{kind: c.Kind, name: c.Name}
		if seen[key] {
			return refuse(structs.VoidInvalid, "changes[%d] changes %s a second time: name each item once", i, shown(c.Name))
		}
		seen[key] = true
	}
	if len(problems) == 0 {
		return nil
	}
	return refuse(structs.VoidInvalid, "%s", joinProblems(problems))
}

func joinProblems(problems []manifest.Problem) string {
	text := ""
	for i, p := range problems {
		if i > 0 {
			text += "; "
		}
		text += p.Error()
	}
	return text
}

// transaction applies the changes of a publish and can undo them.
type transaction struct {
	s     *State
	undo  []func()
	first *refusal
	// The names of the items whose references or budgets must be checked
	// again.
	pools    map[string]bool
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

// fail keeps the first reason against the publish.
func (tx *transaction) fail(out *refusal) {
	if tx.first == nil {
		tx.first = out
	}
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
		tx.fail(refuse(structs.VoidUnknownItem, "%s can't be deleted: it does not exist", shown(name)))
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
		tx.pools[old.Pool] = true
		s.index.removeService(old)
		tx.later(func() { s.index.addService(old) })
	}
	setItem(tx, &s.services, c.Name, c.Service)
	if c.Service == nil {
		return
	}
	added := *c.Service
	tx.services[c.Name] = true
	tx.pools[added.Pool] = true
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
