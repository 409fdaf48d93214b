package structs

// ManifestFormat is the only manifest format that this version supports.
const ManifestFormat = 1

// Manifest is the complete configuration declared by operators: zones, teams,
// pools, VMs, services, maintenance windows and waves. Names are unique within
// a kind.
type Manifest struct {
	// Format is the version of the manifest layout; it must be ManifestFormat.
	Format int `json:"format" cbor:"1,keyasint"`
	// BaseGeneration is the generation the manifest was generated from. A
	// publish is refused when the fleet's current generation differs. Zero
	// means that nothing has been published yet.
	BaseGeneration uint64 `json:"base_generation" cbor:"2,keyasint"`
	// Zones lists the availability zones.
	Zones []Zone `json:"zones" cbor:"3,keyasint"`
	// Teams lists the teams and their quotas.
	Teams []Team `json:"teams" cbor:"4,keyasint"`
	// Pools lists the pools of workers.
	Pools []Pool `json:"pools" cbor:"5,keyasint"`
	// VMs lists the VMs that serve as workers.
	VMs []VM `json:"vms" cbor:"6,keyasint"`
	// Services lists the services that run on the pools.
	Services []Service `json:"services" cbor:"7,keyasint"`
	// Windows lists the maintenance windows. It is optional.
	Windows []Window `json:"windows,omitempty" cbor:"8,keyasint,omitempty"`
	// Waves lists the maintenance waves. It is optional.
	Waves []Wave `json:"waves,omitempty" cbor:"9,keyasint,omitempty"`
}

// Zone is one availability zone.
type Zone struct {
	// Name identifies the zone.
	Name string `json:"name" cbor:"1,keyasint"`
	// Region groups zones that have low-latency links to each other.
	Region string `json:"region" cbor:"2,keyasint"`
}

// Team is a group of callers that share a quota.
type Team struct {
	// Name identifies the team; callers send it in the Wigeonwinch-Team header.
	Name string `json:"name" cbor:"1,keyasint"`
	// Weight is the team's relative share of a full pool. The default is 1.
	Weight int `json:"weight,omitempty" cbor:"2,keyasint,omitempty"`
	// MaxInProgress limits the team's requests in progress and queued on one
	// entry VM. Zero means no limit for the team.
	MaxInProgress int `json:"max_in_progress,omitempty" cbor:"3,keyasint,omitempty"`
	// RatePerSecond limits the team's requests per second on one entry VM.
	// Zero means no limit for the team.
	RatePerSecond float64 `json:"rate_per_second,omitempty" cbor:"4,keyasint,omitempty"`
	// Burst is the number of requests above the rate that may arrive at once.
	// The default is twice the rate.
	Burst int `json:"burst,omitempty" cbor:"5,keyasint,omitempty"`
	// UrgentPercent is the share of the team's requests that may be urgent,
	// in percent. Urgent requests above this share are treated as normal. The
	// default is 0.
	UrgentPercent int `json:"urgent_percent,omitempty" cbor:"6,keyasint,omitempty"`
}

// Pool is a group of workers that serve a set of services.
type Pool struct {
	// Name identifies the pool.
	Name string `json:"name" cbor:"1,keyasint"`
	// Spare marks a pool whose VMs are moved to other pools first.
	Spare bool `json:"spare,omitempty" cbor:"2,keyasint,omitempty"`
	// Image is the VM image that the pool's workers should run.
	Image string `json:"image" cbor:"3,keyasint"`
}

// VM is a worker as declared in the manifest.
type VM struct {
	// ID identifies the VM.
	ID string `json:"id" cbor:"1,keyasint"`
	// Pool is the pool to which the VM belongs when it is first declared.
	Pool string `json:"pool" cbor:"2,keyasint"`
	// Zone is the availability zone the VM runs in.
	Zone string `json:"zone" cbor:"3,keyasint"`
	// Rack is the rack the VM runs in.
	Rack string `json:"rack" cbor:"4,keyasint"`
	// Address is the IP address and port of the backend server.
	Address string `json:"address" cbor:"5,keyasint"`
	// Cores is the number of processor cores.
	Cores int `json:"cores" cbor:"6,keyasint"`
	// MemoryMB is the memory in mebibytes.
	MemoryMB int `json:"memory_mb" cbor:"7,keyasint"`
	// Accelerators is the number of accelerators. The default is 0.
	Accelerators int `json:"accelerators,omitempty" cbor:"8,keyasint,omitempty"`
	// Slots is the number of requests that the worker runs concurrently.
	Slots int `json:"slots" cbor:"9,keyasint"`
	// Connections is the number of connections that the worker accepts.
	Connections int `json:"connections" cbor:"10,keyasint"`
}

// FailureDomain names a set of VMs that fail together.
type FailureDomain string

// The failure domains that a budget can name.
const (
	FailureDomainNone FailureDomain = ""
	FailureDomainVM   FailureDomain = "vm"
	FailureDomainRack FailureDomain = "rack"
	FailureDomainZone FailureDomain = "zone"
)

// Budget is the availability that a service must keep.
type Budget struct {
	// MinAvailable is the minimum number of available workers in the pool.
	MinAvailable int `json:"min_available" cbor:"1,keyasint"`
	// MinAvailablePerZone is the minimum number of available workers in each
	// zone in which the pool has workers. The default is 0.
	MinAvailablePerZone int `json:"min_available_per_zone,omitempty" cbor:"2,keyasint,omitempty"`
	// Survive is the failure domain whose sudden loss must leave at least
	// MinAvailable workers. The default is none.
	Survive FailureDomain `json:"survive,omitempty" cbor:"3,keyasint,omitempty"`
}

// Service is a kind of work that callers request.
type Service struct {
	// Name identifies the service.
	Name string `json:"name" cbor:"1,keyasint"`
	// Pool is the pool that serves the service.
	Pool string `json:"pool" cbor:"2,keyasint"`
	// Routes are URL path prefixes; the longest match wins.
	Routes []string `json:"routes" cbor:"3,keyasint"`
	// Budget is the availability that the service must keep.
	Budget Budget `json:"budget" cbor:"4,keyasint"`
	// Repeatable reports whether a request without a repeatable header may be
	// repeated. If it is nil, the HTTP method decides.
	Repeatable *bool `json:"repeatable,omitempty" cbor:"5,keyasint,omitempty"`
	// DeadlineMS is the maximum duration of a request, in milliseconds.
	DeadlineMS int `json:"deadline_ms" cbor:"6,keyasint"`
	// Cores is the number of cores that one request needs. The default is 1.
	Cores int `json:"cores,omitempty" cbor:"7,keyasint,omitempty"`
	// MemoryMB is the memory that one request needs, in mebibytes. The default
	// is 0.
	MemoryMB int `json:"memory_mb,omitempty" cbor:"8,keyasint,omitempty"`
	// Accelerators is the number of accelerators that one request needs. The
	// default is 0.
	Accelerators int `json:"accelerators,omitempty" cbor:"9,keyasint,omitempty"`
}

// Window is a daily time span in which planned maintenance may start.
type Window struct {
	// Name identifies the window.
	Name string `json:"name" cbor:"1,keyasint"`
	// StartMinute is the minute of the day, UTC, at which the window opens.
	StartMinute int `json:"start_minute" cbor:"2,keyasint"`
	// EndMinute is the minute of the day, UTC, at which the window closes. An
	// end before the start is on the next day.
	EndMinute int `json:"end_minute" cbor:"3,keyasint"`
}

// Wave is a rollout of an image to every VM of some pools.
type Wave struct {
	// Name identifies the wave.
	Name string `json:"name" cbor:"1,keyasint"`
	// Image is the image that the VMs must run after their reboot.
	Image string `json:"image" cbor:"2,keyasint"`
	// Pools are the pools that the wave covers. Empty means all pools.
	Pools []string `json:"pools,omitempty" cbor:"3,keyasint,omitempty"`
	// Window names the maintenance window in which the wave may drain VMs.
	// Empty means any time.
	Window string `json:"window,omitempty" cbor:"4,keyasint,omitempty"`
	// MaxFailedPercent is the share of rebooted VMs that may fail probation, in
	// percent. The wave is stopped above it. The default is 10.
	MaxFailedPercent int `json:"max_failed_percent,omitempty" cbor:"5,keyasint,omitempty"`
	// Paused keeps the wave from draining further VMs.
	Paused bool `json:"paused,omitempty" cbor:"6,keyasint,omitempty"`
}
