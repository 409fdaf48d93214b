package manifest

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

const schemaFile = "../../docs/manifest.schema.json"

// readExample returns the text of an example manifest.
func readExample(t testing.TB, name string) []byte {
	data, err := os.ReadFile(filepath.Join("../../examples", name))
	require.NoError(t, err)
	return data
}

func parseExample(t testing.TB, name string) *structs.Manifest {
	m, problems := Parse(readExample(t, name))
	require.Empty(t, problems)
	return m
}

// TestSchemaIsCurrent compares the committed schema with the types. Set
// WIGEONWINCH_WRITE_SCHEMA to regenerate the file.
func TestSchemaIsCurrent(t *testing.T) {
	want, err := Schema()
	require.NoError(t, err)
	if os.Getenv("WIGEONWINCH_WRITE_SCHEMA") != "" {
		require.NoError(t, os.WriteFile(schemaFile, want, 0o644))
	}
	got, err := os.ReadFile(schemaFile)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}

func TestExamplesHaveExpectedSizes(t *testing.T) {
	for _, name := range []string{"gothalo.json", "tuulekoda.json"} {
		m := parseExample(t, name)
		require.Len(t, m.Zones, 4, name)
		require.Len(t, m.Pools, 5, name)
		require.Len(t, m.VMs, 50, name)
		require.Empty(t, Warnings(m), name)
		racks := map[string]int{}
		for _, vm := range m.VMs {
			racks[vm.Zone+"/"+vm.Rack]++
		}
		for rack, vms := range racks {
			require.LessOrEqual(t, vms, 4, rack)
		}
	}
}

func TestParseListsEveryProblemAtOnce(t *testing.T) {
	tests := []struct {
		name string
		edit []string
		want []Problem
	}{
		{
			"unknown key",
			[]string{`"deadline_ms": 30000`, `"deadline": 30000`},
			[]Problem{
				{"services[0].deadline", "drawing-intake", "", `is not a known key: did you mean "deadline_ms"?`},
				{"services[0].deadline_ms", "drawing-intake", "", "is missing: add this key"},
			},
		},
		{
			"unknown key without a similar known key",
			[]string{`"cores": 16,`, `"cores": 16, "colour": "red",`},
			[]Problem{{"vms[0].colour", "billing-admin-01", "", "is not a known key: remove it"}},
		},
		{
			"wrong types",
			[]string{`"cores": 16`, `"cores": "16"`, `"region": "bagmati"`, `"region": null`},
			[]Problem{
				{"vms[0].cores", "billing-admin-01", "16", "has the JSON type string: use integer"},
				{"zones[0].region", "bhaktapur", "null", "has the JSON type null: use string"},
			},
		},
		{
			"number out of range of its type",
			[]string{`"cores": 16`, `"cores": 1e30`, `"base_generation": 0`, `"base_generation": -1`},
			[]Problem{
				{"base_generation", "", "-1", "use a whole number of at least 0, without fraction or exponent"},
				{"vms[0].cores", "billing-admin-01", "1e30", "use a whole number that fits 64 bits, without fraction or exponent"},
			},
		},
		{
			"truncated text",
			[]string{"\n}\n", ""},
			[]Problem{{"manifest", "", "", "ends too early: the JSON text is truncated or empty"}},
		},
		{
			"values",
			[]string{
				`"format": 1`, `"format": 2`,
				`"region": "bagmati"`, `"region": ""`,
				`"slots": 8`, `"slots": 80`,
				`"survive": "zone"`, `"survive": "town"`,
				`"127.0.0.1:21`, `"gateway:21`,
			},
			[]Problem{
				{"format", "", "2", "use 1, the only format this version reads"},
				{"zones[0].region", "bhaktapur", "", "use 1 to 63 letters, digits, dots, dashes or underscores, beginning with a letter or digit"},
				{"vms[0].address", "billing-admin-01", "gateway:21004", "use an IP address and a port, such as 10.0.0.1:8080"},
				{"vms[0].connections", "billing-admin-01", "64", "each slot needs a connection: use at least 80 or lower slots"},
				{"services[0].budget.survive", "drawing-intake", "town", `use "vm", "rack" or "zone", or leave the key out`},
			},
		},
		{
			"references",
			[]string{
				`"pool": "fire-review"`, `"pool": "fire"`,
				`"routes": [
        "/review/fire"`, `"routes": [
        "/survey"`,
				`"name": "night"`, `"name": "intake", "start_minute": 1, "end_minute": 2}, {"name": "intake"`,
			},
			[]Problem{
				{"windows[1].name", "intake", "intake", "is already used by windows[0]: choose another"},
				{"vms[8].pool", "fire-review-01", "fire", "is not declared: add it to pools or correct the name"},
				{"services[4].routes[0]", "site-survey", "/survey", "is already used by services[1]: a path prefix belongs to one service"},
			},
		},
		{
			"misspelt reference",
			[]string{`"zone": "kathmandu"`, `"zone": "Katmandu"`},
			[]Problem{{"vms[1].zone", "billing-admin-02", "Katmandu", `is not declared: did you mean "kathmandu"? Otherwise add it to zones`}},
		},
		{
			"array instead of object",
			[]string{"{\n  \"format\"", "[{\n \"format\"", "\n}\n", "\n}]\n"},
			[]Problem{{"manifest", "", `[{"base_generation":0,"format":1,"pools":[{"image":"worker-2026-11","name":"inta...`, "has the JSON type array: use object"}},
		},
		{
			"budget and request size that can't be met",
			[]string{
				`"min_available": 6`, `"min_available": 9`,
				`"memory_mb": 2048`, `"memory_mb": 100000`,
			},
			[]Problem{
				{"services[0].budget", "drawing-intake", "", `can't be kept by pool "intake" with all its VMs up (after the loss of one zone: 7 VMs, the budget needs 9): add VMs or lower the budget`},
				{"services[0].memory_mb", "drawing-intake", "100000", `is more than any VM of pool "intake" has: lower it or add larger VMs`},
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := string(readExample(t, "gothalo.json"))
			for i := 0; i < len(tt.edit); i += 2 {
				text = strings.Replace(text, tt.edit[i], tt.edit[i+1], 1)
			}
			m, problems := Parse([]byte(text))
			require.Nil(t, m)
			require.NotEmpty(t, problems)
			require.Equal(t, tt.want, problems)
		})
	}
}

func TestWarningsNameZonesBlockedByBudget(t *testing.T) {
	m := parseExample(t, "gothalo.json")
	m.VMs = slices.DeleteFunc(m.VMs, func(vm structs.VM) bool { return vm.ID == "intake-01" })
	require.Empty(t, Check(m))
	require.Equal(t, []Problem{{
		"services[0].budget", "drawing-intake", "bhaktapur, kirtipur, lalitpur",
		`leaves no room to take a VM of pool "intake" out of service in these zones, so that waves never reach them: add VMs or lower the budget`,
	}}, Warnings(m))
}
