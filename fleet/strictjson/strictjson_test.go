package strictjson

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Name  string   `json:"name"`
	Count int      `json:"count"`
	Items []sample `json:"items"`
	On    *bool    `json:"on"`
}

func TestDecodeReportsEveryProblem(t *testing.T) {
	var s sample
	problems := Decode([]byte(`{"name":3,"colour":"red","items":[{"count":"x"},{"name":"ok"}],"on":true}`), &s)
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
		require.NotEmpty(t, p.Remedy)
	}
	require.Equal(t, []string{"colour", "items[0].count", "name"}, paths)
	require.Equal(t, "ok", s.Items[1].Name)
	require.True(t, *s.On)
}

func TestDecodeReportsLineOfSyntaxError(t *testing.T) {
	problems := Decode([]byte("{\n\"name\": \"a\",\n}"), &sample{})
	require.Len(t, problems, 1)
	require.Equal(t, "line 3", problems[0].Path)
}

func TestDecodeRejectsNonObjects(t *testing.T) {
	for _, text := range []string{"[]", "null", "3", `"x"`} {
		problems := Decode([]byte(text), &sample{})
		require.Len(t, problems, 1, text)
	}
}
