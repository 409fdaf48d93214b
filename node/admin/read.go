package admin

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/planner"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/timeline"
)

// defaultTimelineLimit is the default maximum number of entries that a timeline
// request returns.
const defaultTimelineLimit = 1000

func (a *API) health(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, map[string]string{"status": "alive"})
}

// Readiness is the response of /v1/ready.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	ready, reason := a.cfg.Control.Ready()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	WriteJSON(w, status, Readiness{Ready: ready, Reason: reason})
}

func (a *API) metrics(w http.ResponseWriter, r *http.Request) {
	a.cfg.Metrics.ServeHTTP(w, r)
}

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, a.cfg.Status())
}

func (a *API) requests(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, a.cfg.Requests())
}

// requireView returns the current view. If there is none yet, it writes an error
// response and returns nil.
func (a *API) requireView(w http.ResponseWriter) *structs.View {
	view := a.cfg.Control.View()
	if view == nil {
		_, reason := a.cfg.Control.Ready()
		WriteProblem(w, http.StatusServiceUnavailable, Problem{
			Title:  "the node has no control state yet",
			Detail: "wait until /v1/ready answers 200, or ask another node: " + reason,
		})
	}
	return view
}

// StateCounts is the response of /v1/state.
type StateCounts struct {
	Node       string             `json:"node"`
	Zone       string             `json:"zone"`
	Offset     structs.Offset     `json:"offset"`
	Generation structs.Generation `json:"generation"`
	Zones      int                `json:"zones"`
	Teams      int                `json:"teams"`
	Pools      int                `json:"pools"`
	Services   int                `json:"services"`
	VMs        map[string]int     `json:"vms_by_state"`
}

func (a *API) state(w http.ResponseWriter, _ *http.Request) {
	view := a.requireView(w)
	if view == nil {
		return
	}
	WriteJSON(w, http.StatusOK, StateCounts{
		Node: a.cfg.Node, Zone: a.cfg.Zone,
		Offset: view.Offset, Generation: view.Generation,
		Zones: len(view.Zones), Teams: len(view.Teams), Pools: len(view.Pools), Services: len(view.Services),
		VMs: countByState(view.VMs, ""),
	})
}

// countByState returns the number of VMs of a pool in each state. An empty pool
// selects all VMs.
func countByState(vms []structs.VMStatus, pool string) map[string]int {
	counts := map[string]int{}
	for _, vm := range vms {
		if pool == "" || vm.Pool == pool {
			counts[vm.State.String()]++
		}
	}
	return counts
}

// PoolStatus is one pool in the response of /v1/pools.
type PoolStatus struct {
	Name  string         `json:"name"`
	Spare bool           `json:"spare"`
	Image string         `json:"image"`
	VMs   map[string]int `json:"vms_by_state"`
}

func (a *API) pools(w http.ResponseWriter, _ *http.Request) {
	view := a.requireView(w)
	if view == nil {
		return
	}
	list := []PoolStatus{}
	for _, pool := range view.Pools {
		list = append(list, PoolStatus{Name: pool.Name, Spare: pool.Spare, Image: pool.Image, VMs: countByState(view.VMs, pool.Name)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	WriteJSON(w, http.StatusOK, list)
}

// ServiceStatus is one service in the response of /v1/services.
type ServiceStatus struct {
	structs.Service
	// Available is the number of workers of the pool that can take requests.
	Available int `json:"available"`
	// Headroom is the number of available workers above the budget's minimum. It
	// is negative if the minimum is not met.
	Headroom int `json:"headroom"`
}

func (a *API) services(w http.ResponseWriter, _ *http.Request) {
	view := a.requireView(w)
	if view == nil {
		return
	}
	available := view.AvailableByPool()
	list := []ServiceStatus{}
	for _, service := range view.Services {
		count := available[service.Pool]
		list = append(list, ServiceStatus{Service: service, Available: count, Headroom: count - service.Budget.MinAvailable})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	WriteJSON(w, http.StatusOK, list)
}

// VMSummary is one VM in the response of /v1/vms.
type VMSummary struct {
	ID       string   `json:"id"`
	Pool     string   `json:"pool"`
	Zone     string   `json:"zone"`
	Rack     string   `json:"rack"`
	State    string   `json:"state"`
	Image    string   `json:"image"`
	Sequence uint64   `json:"sequence"`
	Wave     string   `json:"wave,omitempty"`
	Acks     []string `json:"drain_acknowledged_by,omitempty"`
}

func (a *API) vms(w http.ResponseWriter, r *http.Request) {
	view := a.requireView(w)
	if view == nil {
		return
	}
	query := r.URL.Query()
	list := []VMSummary{}
	for _, vm := range view.VMs {
		summary := VMSummary{
			ID: vm.ID, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, State: vm.State.String(),
			Image: vm.Image, Sequence: vm.Sequence, Wave: vm.Wave, Acks: vm.Acks,
		}
		if matchesFilter(query.Get("pool"), summary.Pool) && matchesFilter(query.Get("zone"), summary.Zone) && matchesFilter(query.Get("state"), summary.State) {
			list = append(list, summary)
		}
	}
	WriteJSON(w, http.StatusOK, list)
}

// matchesFilter reports whether a value passes a filter. An empty filter passes
// every value.
func matchesFilter(wanted, have string) bool { return wanted == "" || wanted == have }

// WaveSummary is one wave in the response of /v1/waves.
type WaveSummary struct {
	Name    string   `json:"name"`
	Image   string   `json:"image"`
	Pools   []string `json:"pools"`
	Window  string   `json:"window,omitempty"`
	Paused  bool     `json:"paused"`
	Stopped string   `json:"stopped,omitempty"`
	// Done is the number of active VMs in the wave's pools that run its image.
	Done  int `json:"done"`
	Total int `json:"total"`
	// Out is the number of VMs that are out of service for the wave.
	Out             int `json:"out"`
	FailedProbation int `json:"failed_probation"`
}

// WaveReport is the response of /v1/waves.
type WaveReport struct {
	Waves []WaveSummary `json:"waves"`
	// Forecast is only set on the node that holds the planner's lease.
	Forecast []planner.WaveForecast `json:"forecast,omitempty"`
}

func (a *API) waves(w http.ResponseWriter, _ *http.Request) {
	view := a.requireView(w)
	if view == nil {
		return
	}
	report := WaveReport{Waves: []WaveSummary{}, Forecast: a.cfg.Forecast()}
	for _, wave := range view.Waves {
		report.Waves = append(report.Waves, summarizeWave(view, wave))
	}
	sort.Slice(report.Waves, func(i, j int) bool { return report.Waves[i].Name < report.Waves[j].Name })
	WriteJSON(w, http.StatusOK, report)
}

func summarizeWave(view *structs.View, wave structs.WaveStatus) WaveSummary {
	summary := WaveSummary{
		Name: wave.Name, Image: wave.Image, Pools: wave.Pools, Window: wave.Window,
		Paused: wave.Paused, Stopped: wave.Stopped, FailedProbation: wave.FailedProbation,
	}
	for _, vm := range view.VMs {
		if !waveIncludesPool(wave, vm.Pool) {
			continue
		}
		summary.Total++
		if vm.Image == wave.Image && vm.State == structs.VMActive {
			summary.Done++
		}
		if vm.Wave == wave.Name && vm.State != structs.VMActive {
			summary.Out++
		}
	}
	return summary
}

// waveIncludesPool reports whether the wave covers the pool. A wave that lists no
// pools covers all of them.
func waveIncludesPool(wave structs.WaveStatus, pool string) bool {
	if len(wave.Pools) == 0 {
		return true
	}
	for _, name := range wave.Pools {
		if name == pool {
			return true
		}
	}
	return false
}

func (a *API) teams(w http.ResponseWriter, _ *http.Request) {
	view := a.requireView(w)
	if view == nil {
		return
	}
	list := []structs.Team{}
	for _, team := range view.Teams {
		list = append(list, team)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	WriteJSON(w, http.StatusOK, list)
}

// Membership is one zone in the response of /v1/members.
type Membership struct {
	Zone    string                `json:"zone"`
	Epoch   structs.Epoch         `json:"epoch"`
	Members []structs.EntryMember `json:"members"`
}

func (a *API) members(w http.ResponseWriter, _ *http.Request) {
	view := a.requireView(w)
	if view == nil {
		return
	}
	list := []Membership{}
	for _, entry := range view.EntryEpochs {
		list = append(list, Membership{Zone: entry.Zone, Epoch: entry.Epoch, Members: entry.Members})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Zone < list[j].Zone })
	WriteJSON(w, http.StatusOK, list)
}

func (a *API) timeline(w http.ResponseWriter, r *http.Request) {
	ServeTimeline(w, r, a.cfg.Timeline)
}

// ServeTimeline writes the entries of the timeline that match the filter in the
// request's query.
func ServeTimeline(w http.ResponseWriter, r *http.Request, source Timeline) {
	query := r.URL.Query()
	filter := timeline.Filter{Request: query.Get("request"), VM: query.Get("vm"), Limit: defaultTimelineLimit}
	if text := query.Get("since"); text != "" {
		since, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			WriteProblem(w, http.StatusBadRequest, Problem{Title: "since is not a time", Detail: "write it as 2026-12-04T10:00:00Z"})
			return
		}
		filter.Since = since.UnixNano()
	}
	if text := query.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 {
			WriteProblem(w, http.StatusBadRequest, Problem{Title: "limit is not a number", Detail: "write a positive whole number"})
			return
		}
		filter.Limit = limit
	}
	WriteJSON(w, http.StatusOK, source.Select(filter))
}

func (a *API) manifest(w http.ResponseWriter, _ *http.Request) {
	view := a.requireView(w)
	if view == nil {
		return
	}
	WriteJSON(w, http.StatusOK, manifest.FromView(view))
}
