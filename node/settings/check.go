package settings

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"

	"wigeonwinch/fleet/strictjson"
)

const (
	// minKeyBytes is the least length of a peer key.
	minKeyBytes = 16
	// maxPeerKeys is how many keys can be accepted at once.
	maxPeerKeys = 2
	// maxReadWaitMS keeps two reads of the log within ClaimFence.
	maxReadWaitMS = 8000
	// maxNameBytes is the greatest length of a name.
	maxNameBytes = 64
)

var logLevels = []string{"debug", "info", "warning", "error"}

type checker struct {
	problems []strictjson.Problem
}

func (c *checker) report(path, value, remedy string) {
	c.problems = append(c.problems, strictjson.Problem{Path: path, Value: value, Remedy: remedy})
}

// check returns everything wrong with settings that decoded well.
func (s *Settings) check() []strictjson.Problem {
	c := &checker{}
	c.name("node", s.Node)
	c.name("zone", s.Zone)
	c.name("region", s.Region)
	c.addresses(s)
	c.secrets(s)
	c.peers(s)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.report("log_level", s.LogLevel, "write one of "+strings.Join(logLevels, ", "))
	}
	c.positive("limits", reflect.ValueOf(s.Limits))
	c.positive("timing", reflect.ValueOf(s.Timing))
	c.contradictions(s)
	return c.problems
}

func (c *checker) name(path, value string) {
	if value == "" {
		c.report(path, "", "it is required; write a short name")
		return
	}
	if len(value) > maxNameBytes || strings.ContainsAny(value, " \t\r\n/\"") {
		c.report(path, value, fmt.Sprintf("write at most %d letters, digits, dots and dashes", maxNameBytes))
	}
}

func (c *checker) address(path, value string) {
	if value == "" {
		c.report(path, "", "it is required; write IP:port")
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.report(path, value, "write an IP address and a port, such as 10.0.0.5:8080; host names are not looked up")
		return
	}
	if address.Port() == 0 {
		c.report(path, value, "write a port from 1 to 65535")
	}
}

func (c *checker) addresses(s *Settings) {
	c.address("caller_address", s.CallerAddress)
	c.address("peer_address", s.PeerAddress)
	c.address("admin_address", s.AdminAddress)
	c.address("platform_address", s.PlatformAddress)
	own := map[string]string{}
	for _, pair := range [][2]string{
		{"caller_address", s.CallerAddress},
		{"peer_address", s.PeerAddress},
		{"admin_address", s.AdminAddress},
	} {
		path, value := pair[0], pair[1]
		if other, taken := own[value]; taken && value != "" {
			c.report(path, value, "it is the same as "+other+"; give each its own port")
		}
		own[value] = path
	}
}

func (c *checker) secrets(s *Settings) {
	if len(s.PeerKeys) == 0 {
		c.report("peer_keys", "", "name at least one key that all entry nodes share")
	}
	if len(s.PeerKeys) > maxPeerKeys {
		c.report("peer_keys", fmt.Sprint(len(s.PeerKeys)), "name at most two: the one in use and the one it replaces or will be replaced by")
	}
	if len(s.ReadTokens) == 0 {
		c.report("read_tokens", "", "name at least one token, or nobody can read the administration API")
	}
	for path, secret := range s.allSecrets() {
		if (secret.File == "") == (secret.Env == "") && secret.value == "" {
			c.report(path, "", "set exactly one of file and env")
		}
	}
}

func (c *checker) peers(s *Settings) {
	for i, peer := range s.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		c.name(path+".node", peer.Node)
		c.name(path+".zone", peer.Zone)
		c.address(path+".address", peer.Address)
		if peer.Node == s.Node && s.Node != "" {
			c.report(path+".node", peer.Node, "it is this node itself; remove it")
		}
	}
}

func (c *checker) positive(group string, value reflect.Value) {
	for i := range value.NumField() {
		if number := value.Field(i).Int(); number < 0 {
			path := group + "." + strictjson.KeyOf(value.Type().Field(i))
			c.report(path, fmt.Sprint(number), "write a positive number or leave it out")
		}
	}
}

func (c *checker) contradictions(s *Settings) {
	if s.Timing.PeerSilentMS <= s.Timing.PeerPingMS {
		c.report("timing.peer_silent_ms", fmt.Sprint(s.Timing.PeerSilentMS), "make it longer than timing.peer_ping_ms")
	}
	if s.Timing.ReadWaitMS > maxReadWaitMS {
		c.report("timing.read_wait_ms", fmt.Sprint(s.Timing.ReadWaitMS), fmt.Sprintf("write at most %d, or claims are refused between two reads", maxReadWaitMS))
	}
	if s.Timing.LeaseTTLMS <= 3*s.Timing.PlanMS {
		c.report("timing.lease_ttl_ms", fmt.Sprint(s.Timing.LeaseTTLMS), "make it more than three times timing.plan_ms, or leases lapse between rounds")
	}
	if s.Limits.AnswerBytes > 64<<20 {
		c.report("limits.answer_bytes", fmt.Sprint(s.Limits.AnswerBytes), "write at most 67108864; every answer up to it is held in memory")
	}
}

// allSecrets returns each secret by the path of its key, in a fixed order.
func (s *Settings) allSecrets() func(yield func(string, *Secret) bool) {
	return func(yield func(string, *Secret) bool) {
		if s.PlatformToken != nil && !yield("platform_token", s.PlatformToken) {
			return
		}
		groups := []struct {
			key  string
			list []Secret
		}{{"peer_keys", s.PeerKeys}, {"read_tokens", s.ReadTokens}, {"publish_tokens", s.PublishTokens}}
		for _, group := range groups {
			for i := range group.list {
				if !yield(fmt.Sprintf("%s[%d]", group.key, i), &group.list[i]) {
					return
				}
			}
		}
	}
}

// readSecrets fills the secrets from their files and variables.
func (s *Settings) readSecrets() []strictjson.Problem {
	c := &checker{}
	if s == nil {
		return nil
	}
	for path, secret := range s.allSecrets() {
		c.read(path, secret)
	}
	for i, key := range s.PeerKeys {
		if key.value != "" && len(key.value) < minKeyBytes {
			c.report(fmt.Sprintf("peer_keys[%d]", i), "(hidden)", fmt.Sprintf("use at least %d bytes", minKeyBytes))
		}
	}
	return c.problems
}

func (c *checker) read(path string, secret *Secret) {
	switch {
	case secret.File != "" && secret.Env != "":
		return
	case secret.File != "":
		data, err := os.ReadFile(secret.File)
		if err != nil {
			c.report(path+".file", secret.File, "name a file that can be read: "+err.Error())
			return
		}
		first, _, _ := strings.Cut(string(data), "\n")
		secret.value = strings.TrimSpace(first)
	case secret.Env != "":
		secret.value = os.Getenv(secret.Env)
	default:
		return
	}
	if secret.value == "" {
		c.report(path, "", "the secret is empty; put it into the file or variable named")
	}
}
