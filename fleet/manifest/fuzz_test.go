package manifest

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse parses arbitrary text. The result must be either a manifest that
// passes Check again or a list of problems that each name a field and a remedy.
func FuzzParse(f *testing.F) {
	f.Add(readExample(f, "gothalo.json"))
	f.Add([]byte(`{}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"format": 1.5, "zones": [null], "vms": {"id": 1}}`))
	f.Add([]byte(`{"format": 1, "services": [{"budget": {"survive": 3}, "": 0}]}`))
	f.Add([]byte(`{"teams": [{"rate_per_second": 1e999, "weigth": 1}]}`))
	f.Add([]byte(`{"a": 1} {"b": 2}`))
	f.Add([]byte(``))
	f.Add([]byte(`4440444444444444444444`))
	f.Add([]byte("{\"b\x80rmat\": 1.5, \"zongs\": [null], \"\": {\"id\": 11}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, problems := Parse(data)
		if m != nil {
			require.Empty(t, problems)
			require.Empty(t, Check(m))
			return
		}
		require.NotEmpty(t, problems)
		for _, p := range problems {
			require.NotEmpty(t, p.Field)
			require.NotEmpty(t, p.Remedy)
			require.Contains(t, p.Error(), p.Remedy)
		}
	})
}
