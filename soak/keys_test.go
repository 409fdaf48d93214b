package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestJudgeOfKeys(t *testing.T) {
	k := NewKeys(false)
	_, applied := k.next()
	applied()
	k.exchange("fresh", time.Now().Add(5*time.Second))
	now, late := time.Now(), time.Now().Add(10*time.Second)
	for _, tt := range []struct {
		name, key string
		status    int
		sent      time.Time
		calm      bool
		rule      string
	}{
		{"unknown key served by a disturbed node", "x", 200, now, false, ruleRoute},
		{"missing key served", "", 200, now, true, ruleRoute},
		{"unknown key refused", "x", 401, now, true, ""},
		{"lasting key refused by a disturbed node", "red-lasting", 401, now, false, ruleConfig},
		{"lasting key", "red-lasting", 200, now, true, ""},
		{"no configuration", "red-lasting", 503, now, true, ""},
		{"removed key served late", "red-rotated-0", 200, late, true, ruleConfig},
		{"removed key served late by a disturbed node", "red-rotated-0", 200, late, false, ""},
		{"removed key served within the bound", "red-rotated-0", 200, now.Add(6 * time.Second), true, ""},
		{"added key refused late", "fresh", 401, late, true, ruleConfig},
		{"added key refused within the bound", "fresh", 401, now.Add(6 * time.Second), true, ""},
	} {
		rule, _ := k.check(tt.key, tt.status, tt.sent, tt.calm)
		assert.Equal(t, tt.rule, rule, tt.name)
	}
}
