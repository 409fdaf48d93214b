// Package settings reads and validates the settings file of an entry node. The
// file is one JSON object; docs/SETTINGS.md lists all keys.
//
//	s, problems := settings.Load("node.json")
//	if len(problems) > 0 { ... exit with code 2 ... }
package settings

import (
	"os"
	"time"

	"wigeonwinch/fleet/strictjson"
)

// Settings holds all settings of an entry node. The doc tags are the
// descriptions of the keys in docs/SETTINGS.md.
type Settings struct {
	Node            string   `json:"node" doc:"Name of this entry node, unique in the system." default:"required"`
	Zone            string   `json:"zone" doc:"Availability zone this entry VM runs in." default:"required"`
	Region          string   `json:"region" doc:"Region of the availability zone." default:"required"`
	CallerAddress   string   `json:"caller_address" doc:"IP address and port for callers; the balancer sends here." default:"required"`
	PeerAddress     string   `json:"peer_address" doc:"IP address and port for the other entry nodes." default:"required"`
	AdminAddress    string   `json:"admin_address" doc:"IP address and port of the administration API." default:"required"`
	PlatformAddress string   `json:"platform_address" doc:"IP address and port of the platform." default:"required"`
	PlatformToken   *Secret  `json:"platform_token,omitempty" doc:"Bearer token for the platform." default:"none"`
	PeerKeys        []Secret `json:"peer_keys" doc:"Keys shared by all entry nodes. The first is used, all are accepted. At least 16 bytes each." default:"required"`
	ReadTokens      []Secret `json:"read_tokens" doc:"Bearer tokens that may read the administration API." default:"required"`
	PublishTokens   []Secret `json:"publish_tokens" doc:"Bearer tokens that may also publish manifests." default:"none"`
	Peers           []Peer   `json:"peers,omitempty" doc:"Other entry nodes to begin with; later ones are learned from the log." default:"none"`
	LogLevel        string   `json:"log_level,omitempty" doc:"Least severity written to the log: debug, info, warning or error." default:"info"`
	Limits          Limits   `json:"limits,omitempty" doc:"Bounds that protect the node." default:"see below"`
	Timing          Timing   `json:"timing,omitempty" doc:"Time spans of the control loop." default:"see below"`
}

// Secret is the location of a secret. Exactly one of its keys must be set.
type Secret struct {
	File string `json:"file,omitempty" doc:"Path of a file whose first line is the secret." default:"none"`
	Env  string `json:"env,omitempty" doc:"Name of an environment variable that holds the secret." default:"none"`

	value string
}

// Value returns the secret. It is empty until Load has read the secret.
func (s Secret) Value() string { return s.value }

// PlainSecret returns a secret with the given value, for tests and the demo.
func PlainSecret(value string) Secret { return Secret{value: value} }

// Peer is another entry node.
type Peer struct {
	Node    string `json:"node" doc:"Name of the entry node." default:"required"`
	Zone    string `json:"zone" doc:"Its availability zone." default:"required"`
	Address string `json:"address" doc:"Its peer_address." default:"required"`
}

// Limits holds the limits that protect the node from overload by its callers,
// and the times of a graceful stop.
type Limits struct {
	HeaderBytes    int `json:"header_bytes,omitempty" doc:"Largest request header." unit:"bytes" default:"32768"`
	BodyBytes      int `json:"body_bytes,omitempty" doc:"Largest request body." unit:"bytes" default:"8388608"`
	AnswerBytes    int `json:"answer_bytes,omitempty" doc:"Answers up to this size are read whole before they are passed on; longer ones are streamed." unit:"bytes" default:"1048576"`
	HeaderSeconds  int `json:"header_seconds,omitempty" doc:"Time in which a caller must send the header." unit:"s" default:"10"`
	IdleSeconds    int `json:"idle_seconds,omitempty" doc:"Time after which an unused caller connection is closed." unit:"s" default:"75"`
	QueuedRequests int `json:"queued_requests,omitempty" doc:"Requests that may wait for one pool." unit:"requests" default:"20000"`
	NoticeSeconds  int `json:"notice_seconds,omitempty" doc:"Time that a stopping node still takes requests, so that the balancer notices." unit:"s" default:"5"`
	MemoryMB       int `json:"memory_mb,omitempty" doc:"Memory of the VM. An eighth is for request bodies, an eighth for answers that wait for their callers (further ones are streamed), a sixteenth (32 MB at most) for answers retained for duplicates; three eighths bound the callers' connections at 152 KB each (56 KB below 1024 MB)." unit:"MB" default:"4096"`
	Descriptors    int `json:"descriptors,omitempty" doc:"File descriptors of the process. Beside 200 for files, half bounds the callers' connections, an eighth those of other nodes, a thirty-second (64 at most) those of administration." unit:"descriptors" default:"65536"`
	StopSeconds    int `json:"stop_seconds,omitempty" doc:"Time that a graceful stop may take." unit:"s" default:"120"`
}

// Timing holds the intervals and timeouts of the control loop and of peer
// connections, and the rate limits of the planner's reads.
type Timing struct {
	ReadWaitMS          int `json:"read_wait_ms,omitempty" doc:"How long one read of the log waits at the tail." unit:"ms" default:"5000"`
	ListMS              int `json:"list_ms,omitempty" doc:"Span between two reads of the VM list." unit:"ms" default:"5000"`
	PlanMS              int `json:"plan_ms,omitempty" doc:"Span between two planning rounds of the lease holder." unit:"ms" default:"2000"`
	LeaseTTLMS          int `json:"lease_ttl_ms,omitempty" doc:"How long a planning lease lasts after its renewal was sent." unit:"ms" default:"20000"`
	UsageMS             int `json:"usage_ms,omitempty" doc:"Least span between two reads of the workers' usage." unit:"ms" default:"15000"`
	ListBytesPerSecond  int `json:"list_bytes_per_s,omitempty" doc:"What the planner's reads of the VM list may cost; a long list is read less often." unit:"bytes/s" default:"400"`
	UsageBytesPerSecond int `json:"usage_bytes_per_s,omitempty" doc:"What the planner's reads of the usage may cost." unit:"bytes/s" default:"300"`
	ProbeMS             int `json:"probe_ms,omitempty" doc:"Span between two probes of a VM that is out of service." unit:"ms" default:"5000"`
	ProbationMS         int `json:"probation_ms,omitempty" doc:"How long a VM that came back must answer probes before it takes work." unit:"ms" default:"60000"`
	PeerPingMS          int `json:"peer_ping_ms,omitempty" doc:"Span between two pings on a peer connection." unit:"ms" default:"2000"`
	PeerSilentMS        int `json:"peer_silent_ms,omitempty" doc:"Silence after which a peer counts as out of reach." unit:"ms" default:"5000"`
}

// ClaimFence is how long a node may grant claims after it last confirmed that
// its zone's membership is current.
const ClaimFence = 10 * time.Second

// Load reads a settings file and its secrets, applies defaults and returns the
// settings together with all problems found.
func Load(path string) (*Settings, []strictjson.Problem) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, []strictjson.Problem{{Path: path, Remedy: "set the path of a readable settings file: " + err.Error()}}
	}
	s, problems := Parse(data)
	problems = append(problems, s.readSecrets()...)
	return s, problems
}

// Parse decodes a settings document, applies defaults and returns the settings
// together with all problems found. It does not read the secrets.
func Parse(data []byte) (*Settings, []strictjson.Problem) {
	s := &Settings{}
	problems := strictjson.Decode(data, s)
	if len(problems) == 1 && problems[0].Path != "" && s.Node == "" && concernsDocument(problems[0]) {
		return s, problems
	}
	s.applyDefaults()
	return s, append(problems, s.check()...)
}

// concernsDocument reports whether a problem concerns the whole document rather
// than one key.
func concernsDocument(p strictjson.Problem) bool {
	return p.Path == "document" || len(p.Path) > 5 && p.Path[:5] == "line "
}
