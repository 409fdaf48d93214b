package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times of the VM service.
const (
	moveTime = 1500 * time.Millisecond
	rackSize = 4
)

// States of VMs.
const (
	vmUp     = "up"
	vmMoving = "moving"
	vmDown   = "down"
)

// Machines is the VM service. Each VM that is up has one worker.
type Machines struct {
	record *Record
	// launch starts a worker on a VM.
	launch func(place WorkerPlace) (*Worker, error)

	mu     sync.Mutex
	vms    []*vm
	lives  int
	closed bool
}

type vm struct {
	name, pool, zone, rack, state string
	worker                        *Worker
}

// NewMachines returns a VM service without VMs.
func NewMachines(record *Record, launch func(place WorkerPlace) (*Worker, error)) *Machines {
	return &Machines{record: record, launch: launch}
}

// Add starts a VM with a worker of a service.
func (m *Machines) Add(service string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := len(m.vms)
	v := &vm{name: fmt.Sprintf("m-%02d", i), pool: service, zone: zoneOf(i), rack: fmt.Sprintf("r%d", i/rackSize)}
	m.vms = append(m.vms, v)
	return m.boot(v, m.newID())
}

// newID returns the ID of a worker that has not lived before. The caller holds the
// lock.
func (m *Machines) newID() string {
	m.lives++
	return fmt.Sprintf("i-%04x", m.lives)
}

// boot starts the next life of a VM. The caller holds the lock.
func (m *Machines) boot(v *vm, id string) error {
	if m.closed {
		return nil
	}
	w, err := m.launch(WorkerPlace{ID: id, VM: v.name, Service: v.pool, Zone: v.zone, Rack: v.rack})
	if err != nil {
		return err
	}
	v.worker, v.state = w, vmUp
	return nil
}

// bootLater starts the next life of a VM after a time, as a new worker or as the one
// that it had.
func (m *Machines) bootLater(v *vm, after time.Duration, former *Worker) {
	time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		id := ""
		if former != nil {
			former.expiry.Stop()
			id = former.id
		} else {
			id = m.newID()
		}
		if err := m.boot(v, id); err != nil {
			m.record.Printf("machine %s does not start: %v", v.name, err)
		}
	})
}

// Worker returns the ID of the worker on a VM, or on the next one that is up.
func (m *Machines) Worker(index int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.vms {
		if v := m.vms[(index+i)%len(m.vms)]; v.worker != nil {
			return v.worker.id
		}
	}
	return ""
}

// Life returns the present life of a worker, or nil.
func (m *Machines) Life(id string) *Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, v := range m.vms {
		if v.worker != nil && v.worker.id == id {
			return v.worker
		}
	}
	return nil
}

// Workers returns the workers that are up.
func (m *Machines) Workers() []*Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	var workers []*Worker
	for _, v := range m.vms {
		if v.worker != nil {
			workers = append(workers, v.worker)
		}
	}
	return workers
}

// Crash ends a worker without notice. After a time, a new one follows on its VM, or
// it starts again under its ID.
func (m *Machines) Crash(worker string, down time.Duration, sameID bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, v := range m.vms {
		if v.worker == nil || v.worker.id != worker {
			continue
		}
		old := v.worker
		v.worker, v.state = nil, vmDown
		old.restarts = sameID
		old.End(true)
		if sameID {
			m.bootLater(v, down, old)
		} else {
			m.bootLater(v, down, nil)
		}
		return
	}
}

// Close ends all workers; none is started afterwards.
func (m *Machines) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, v := range m.vms {
		if v.worker != nil {
			v.worker.End(false)
		}
	}
}

// ServeHTTP implements http.Handler.
func (m *Machines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch r.URL.Path {
	case "/wigeonwinch/machines":
		answerJSON(w, http.StatusOK, map[string]any{"machines": m.rows(), "next_page_token": nil})
	case "/wigeonwinch/machine-move":
		m.serveMove(w, r)
	default:
		http.NotFound(w, r)
	}
}

// rows returns the list of VMs. The caller holds the lock.
func (m *Machines) rows() []map[string]any {
	rows := make([]map[string]any, 0, len(m.vms))
	for _, v := range m.vms {
		row := map[string]any{
			"machine": v.name, "pool": v.pool, "state": v.state, "zone": v.zone, "labels": []string{"a", v.rack}, "capacity": workerCapacity(), "id": "",
		}
		if v.worker != nil {
			row["id"] = v.worker.id
		}
		rows = append(rows, row)
	}
	return rows
}

// serveMove moves a VM to another pool. The caller holds the lock.
func (m *Machines) serveMove(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i := slices.IndexFunc(m.vms, func(v *vm) bool { return v.name == body.Machine })
	if i < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v := m.vms[i]
	if v.pool != body.Pool && v.state != vmUp {
		answerJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	if v.pool != body.Pool {
		m.move(v, body.Pool)
	}
	answerJSON(w, http.StatusOK, struct{}{})
}

func (m *Machines) move(v *vm, pool string) {
	m.record.Printf("machine %s: moves to %s", v.name, pool)
	old := v.worker
	v.worker, v.state, v.pool = nil, vmMoving, pool
	old.End(false)
	m.bootLater(v, moveTime, nil)
}
