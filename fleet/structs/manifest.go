package structs

// ManifestFormat is the only manifest format this version reads.
const ManifestFormat = 1

// Manifest is everything operators declare: zones, teams, pools, VMs,
// services, maintenance windows and waves. Names are unique within a kind.
type Manifest struct {
	// Format is the version of the layout; it must be ManifestFormat.
	Format int `json:"format" cbor:"1,keyasint"`
	// BaseGeneration is the generation the manifest was generated from. A
	// publish is refused when the fleet has moved on. Zero means none yet.
	BaseGeneration uint64 `json:"base_generation" cbor:"2,keyasint"`
	// Zones lists the availability zones.
	Zones []Zone `json:"zones" cbor:"3,keyasint"`
	// Teams lists the teams and their quotas.
	Teams []Team `json:"teams" cbor:"4,keyasint"`
	// Pools lists the pools of workers.
	Pools []Pool `json:"pools" cbor:"5,keyasint"`
	// VMs lists the workers.
	VMs []VM `json:"vms" cbor:"6,keyasint"`
	// Services lists the services that run on the pools.
	Services []Service `json:"services" cbor:"7,keyasint"`
	// Windows lists the maintenance windows. Optional.
	Windows []Window `json:"windows,omitempty" cbor:"8,keyasint,omitempty"`
	// Waves lists the maintenance waves. Optional.
	Waves []Wave `json:"waves,omitempty" cbor:"9,keyasint,omitempty"`
}

// Zone is one availability zone.
type Zone struct {
	// Name identifies the zone.
	Name string `json:"name" cbor:"1,keyasint"`
	// Region groups zones whose links are short.
	Region string `json:"region" cbor:"2,keyasint"`
}

// Team is a group of callers that shares a quota.
type Team struct {
	// Name identifies the team; callers send it in the Wigeonwinch-Team header.
	Name string `json:"name" cbor:"1,keyasint"`
	// Weight is the team's relative share when a pool is full. Default 1.
	Weight int `json:"weight,omitempty" cbor:"2,keyasint,omitempty"`
	// MaxInProgress bounds the team's requests in progress and queued on one
	// entry VM. Zero means no bound of its own.
	MaxInProgress int `json:"max_in_progress,omitempty" cbor:"3,keyasint,omitempty"`
	// RatePerSecond bounds the team's requests per second on one entry VM.
	// Zero means no bound of its own.
	RatePerSecond float64 `json:"rate_per_second,omitempty" cbor:"4,keyasint,omitempty"`
	// Burst is how many requests may arrive at once above the rate.
	// Default: twice the rate.
	Burst int `json:"burst,omitempty" cbor:"5,keyasint,omitempty"`
	// UrgentPercent is the share of the team's requests that may be urgent,
	// in percent. Requests beyond it are treated as normal. Default 0.
	UrgentPercent int `json:"urgent_percent,omitempty" cbor:"6,keyasint,omitempty"`
}

// Pool is a group of workers that serves a set of services.
type Pool struct {
	// Name identifies the pool.
	Name string `json:"name" cbor:"1,keyasint"`
	// Spare marks the pool that lends VMs to others first.
	Spare bool `json:"spare,omitempty" cbor:"2,keyasint,omitempty"`
	// Image is the VM image the pool's workers are to run.
	Image string `json:"image" cbor:"3,keyasint"`
}

// VM is one worker as declared by operators.
type VM struct {
	// ID identifies the VM.
	ID string `json:"id" cbor:"1,keyasint"`
	// Pool is the pool the VM belongs to when first declared.
	Pool string `json:"pool" cbor:"2,keyasint"`
	// Zone is the availability zone the VM runs in.
	Zone string `json:"zone" cbor:"3,keyasint"`
	// Rack is the rack the VM runs in.
	Rack string `json:"rack" cbor:"4,keyasint"`
	// Address is the backend server's IP address and port.
	Address string `json:"address" cbor:"5,keyasint"`
	// Cores is the number of processor cores.
	Cores int `json:"cores" cbor:"6,keyasint"`
	// MemoryMB is the memory in mebibytes.
	MemoryMB int `json:"memory_mb" cbor:"7,keyasint"`
	// Accelerators is the number of accelerators. Default 0.
	Accelerators int `json:"accelerators,omitempty" cbor:"8,keyasint,omitempty"`
	// Slots is how many requests the worker runs at once.
	Slots int `json:"slots" cbor:"9,keyasint"`
	// Connections is how many connections the worker accepts.
	Connections int `json:"connections" cbor:"10,keyasint"`
}

// FailureDomain names a set of VMs that fail together.
type FailureDomain string

// The failure domains a budget can name.
const (
	FailureDomainNone FailureDomain = ""
	FailureDomainVM   FailureDomain = "vm"
	FailureDomainRack FailureDomain = "rack"
	FailureDomainZone FailureDomain = "zone"
)

// Budget is the availability a service must keep.
type Budget struct {
	// MinAvailable is the least number of available workers in the pool.
	MinAvailable int `json:"min_available" cbor:"1,keyasint"`
	// MinAvailablePerZone is the least number of available workers in each
	// zone in which the pool has workers. Default 0.
	MinAvailablePerZone int `json:"min_available_per_zone,omitempty" cbor:"2,keyasint,omitempty"`
	// Survive is the failure domain whose sudden loss must still leave
	// MinAvailable workers. Default none.
	Survive FailureDomain `json:"survive,omitempty" cbor:"3,keyasint,omitempty"`
}

// Service is one kind of work that callers ask for.
type Service struct {
	// Name identifies the service.
	Name string `json:"name" cbor:"1,keyasint"`
	// Pool is the pool that serves it.
	Pool string `json:"pool" cbor:"2,keyasint"`
	// Routes are URL path prefixes; the longest match wins.
	Routes []string `json:"routes" cbor:"3,keyasint"`
	// Budget is the availability that must hold.
	Budget Budget `json:"budget" cbor:"4,keyasint"`
	// Repeatable says what an unmarked request is. Unset: by HTTP method.
	Repeatable *bool `json:"repeatable,omitempty" cbor:"5,keyasint,omitempty"`
	// DeadlineMS is the time a request may take, in milliseconds.
	DeadlineMS int `json:"deadline_ms" cbor:"6,keyasint"`
	// Cores is what one request needs. Default 1.
	Cores int `json:"cores,omitempty" cbor:"7,keyasint,omitempty"`
	// MemoryMB is what one request needs, in mebibytes. Default 0.
	MemoryMB int `json:"memory_mb,omitempty" cbor:"8,keyasint,omitempty"`
	// Accelerators is what one request needs. Default 0.
	Accelerators int `json:"accelerators,omitempty" cbor:"9,keyasint,omitempty"`
}

// Window is a daily span in which planned maintenance may start.
type Window struct {
	// Name identifies the window.
	Name string `json:"name" cbor:"1,keyasint"`
	// StartMinute is the minute of the day, UTC, at which it opens.
	StartMinute int `json:"start_minute" cbor:"2,keyasint"`
	// EndMinute is the minute of the day, UTC, at which it closes. An end
	// before the start means the next day.
	EndMinute int `json:"end_minute" cbor:"3,keyasint"`
}

// Wave brings every VM of some pools to a new image.
type Wave struct {
	// Name identifies the wave.
	Name string `json:"name" cbor:"1,keyasint"`
	// Image is the image the VMs must come back on.
	Image string `json:"image" cbor:"2,keyasint"`
	// Pools are the pools concerned. Empty means all.
	Pools []string `json:"pools,omitempty" cbor:"3,keyasint,omitempty"`
	// Window names the maintenance window. Empty means any time.
	Window string `json:"window,omitempty" cbor:"4,keyasint,omitempty"`
	// MaxFailedPercent stops the wave when more returning VMs than this fail
	// probation, in percent. Default 10.
	MaxFailedPercent int `json:"max_failed_percent,omitempty" cbor:"5,keyasint,omitempty"`
	// Paused keeps the wave from taking further VMs.
	Paused bool `json:"paused,omitempty" cbor:"6,keyasint,omitempty"`
}
