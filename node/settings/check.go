package settings

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"

	"wigeonwinch/fleet/strictjson"
	"wigeonwinch/node/intake"
)

const (
	// minPeerKeyBytes is the minimum length of a peer key.
	minPeerKeyBytes = 16
	// maxPeerKeys is the maximum number of peer keys that are accepted at the
	// same time.
	maxPeerKeys = 2
	// maxReadWaitMS is the maximum read wait, in milliseconds. It ensures that
	// two consecutive reads of the log fall within ClaimFence.
	maxReadWaitMS = 8000
	// maxNameBytes is the maximum length of a name.
	maxNameBytes = 64
)

var logLevels = []string{"debug", "info", "warning", "error"}

// checker collects the problems of a settings document.
type checker struct {
	problems []strictjson.Problem
}

func (c *checker) report(path, value, remedy string) {
	c.problems = append(c.problems, strictjson.Problem{Path: path, Value: value, Remedy: remedy})
}

// check returns all problems of the decoded settings.
func (s *Settings) check() []strictjson.Problem {
	c := &checker{}
	c.checkName("node", s.Node)
	c.checkName("zone", s.Zone)
	c.checkName("region", s.Region)
	c.checkAddresses(s)
	c.checkSecrets(s)
	c.checkPeers(s)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.report("log_level", s.LogLevel, "write one of "+strings.Join(logLevels, ", "))
	}
	c.checkNotNegative("limits", reflect.ValueOf(s.Limits))
	c.checkNotNegative("timing", reflect.ValueOf(s.Timing))
	c.checkConsistency(s)
	return c.problems
}

func (c *checker) checkName(path, value string) {
	if value == "" {
		c.report(path, "", "this key is required; write a short name")
		return
	}
	if len(value) > maxNameBytes || strings.ContainsAny(value, " \t\r\n/\"") {
		c.report(path, value, fmt.Sprintf("write at most %d letters, digits, dots and dashes", maxNameBytes))
	}
}

func (c *checker) checkAddress(path, value string) {
	if value == "" {
		c.report(path, "", "this key is required; write IP:port")
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

func (c *checker) checkAddresses(s *Settings) {
	c.checkAddress("caller_address", s.CallerAddress)
	c.checkAddress("peer_address", s.PeerAddress)
	c.checkAddress("admin_address", s.AdminAddress)
	c.checkAddress("platform_address", s.PlatformAddress)
	own := map[string]string{}
	for _, pair := range [][2]string{
		{"caller_address", s.CallerAddress},
		{"peer_address", s.PeerAddress},
		{"admin_address", s.AdminAddress},
	} {
		path, value := pair[0], pair[1]
		if other, taken := own[value]; taken && value != "" {
			c.report(path, value, "this is the same address as "+other+"; use a different port for each")
		}
		own[value] = path
	}
}

func (c *checker) checkSecrets(s *Settings) {
	if len(s.PeerKeys) == 0 {
		c.report("peer_keys", "", "set at least one key that all entry nodes share")
	}
	if len(s.PeerKeys) > maxPeerKeys {
		c.report("peer_keys", fmt.Sprint(len(s.PeerKeys)), "set at most two keys: the key in use and, during a rotation, the previous or the next key")
	}
	if len(s.ReadTokens) == 0 {
		c.report("read_tokens", "", "set at least one token; without one, nobody can read the administration API")
	}
	for path, secret := range s.allSecrets() {
		if (secret.File == "") == (secret.Env == "") && secret.value == "" {
			c.report(path, "", "set exactly one of file and env")
		}
	}
}

func (c *checker) checkPeers(s *Settings) {
	for i, peer := range s.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		c.checkName(path+".node", peer.Node)
		c.checkName(path+".zone", peer.Zone)
		c.checkAddress(path+".address", peer.Address)
		if peer.Node == s.Node && s.Node != "" {
			c.report(path+".node", peer.Node, "this is the node itself; remove the entry")
		}
	}
}

func (c *checker) checkNotNegative(group string, value reflect.Value) {
	for i := range value.NumField() {
		if number := value.Field(i).Int(); number < 0 {
			path := group + "." + strictjson.JSONKey(value.Type().Field(i))
			c.report(path, fmt.Sprint(number), "write a positive number or omit the key")
		}
	}
}

func (c *checker) checkConsistency(s *Settings) {
	if s.Timing.PeerSilentMS <= s.Timing.PeerPingMS {
		c.report("timing.peer_silent_ms", fmt.Sprint(s.Timing.PeerSilentMS), "write a longer time than timing.peer_ping_ms")
	}
	if s.Timing.ReadWaitMS > maxReadWaitMS {
		c.report("timing.read_wait_ms", fmt.Sprint(s.Timing.ReadWaitMS), fmt.Sprintf("write at most %d; with a longer wait, claims are refused between two reads of the log", maxReadWaitMS))
	}
	if s.Timing.LeaseTTLMS <= 3*s.Timing.PlanMS {
		c.report("timing.lease_ttl_ms", fmt.Sprint(s.Timing.LeaseTTLMS), "write more than three times timing.plan_ms; otherwise leases expire between planning rounds")
	}
	if most := intake.LimitsFor(int64(s.Limits.MemoryMB)<<20, s.Limits.Descriptors).HeldBytes / 2; int64(s.Limits.BodyBytes) > most {
		c.report("limits.body_bytes", fmt.Sprint(s.Limits.BodyBytes), fmt.Sprintf("write at most %d, a sixteenth of limits.memory_mb, or raise that", most))
	}
	if s.Limits.AnswerBytes > 64<<20 {
		c.report("limits.answer_bytes", fmt.Sprint(s.Limits.AnswerBytes), "write at most 67108864; answers up to this size are held in memory")
	}
}

// allSecrets returns an iterator over the paths and values of all secrets, in a
// fixed order.
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

// readSecrets reads all secrets from their files and environment variables and
// returns the problems found.
func (s *Settings) readSecrets() []strictjson.Problem {
	c := &checker{}
	if s == nil {
		return nil
	}
	for path, secret := range s.allSecrets() {
		c.readSecret(path, secret)
	}
	for i, key := range s.PeerKeys {
		if key.value != "" && len(key.value) < minPeerKeyBytes {
			c.report(fmt.Sprintf("peer_keys[%d]", i), "(hidden)", fmt.Sprintf("use at least %d bytes", minPeerKeyBytes))
		}
	}
	return c.problems
}

// readSecret reads one secret. It skips a secret with both or neither of its
// keys set, which check reports.
func (c *checker) readSecret(path string, secret *Secret) {
	switch {
	case secret.File != "" && secret.Env != "":
		return
	case secret.File != "":
		data, err := os.ReadFile(secret.File)
		if err != nil {
			c.report(path+".file", secret.File, "set the path of a readable file: "+err.Error())
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
		c.report(path, "", "the secret is empty; write it to the first line of the file or to the environment variable")
	}
}
