package guavaconfig

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against example files that a daemon rejects.
func TestExamples(t *testing.T) {
	settings, err := filepath.Glob("../examples/*.jsonc")
	require.NoError(t, err)
	require.Len(t, settings, 2)
	for _, name := range settings {
		data, err := os.ReadFile(name)
		require.NoError(t, err)
		_, err = ParseSettings(data)
		require.NoError(t, err, name)
	}
	presets, err := filepath.Glob("../examples/presets/*.jsonc")
	require.NoError(t, err)
	require.Len(t, presets, 6)
	for _, name := range presets {
		data, err := os.ReadFile(name)
		require.NoError(t, err)
		var p guavascale.Preset
		require.NoError(t, Decode(data, &p), name)
		require.NoError(t, ValidatePreset(p), name)
	}
}

// Guards against documentation whose defaults and ranges differ from the code.
func TestDocumentedFields(t *testing.T) {
	data, err := os.ReadFile("../docs/settings.md")
	require.NoError(t, err)
	var s Settings
	for _, r := range s.intRules() {
		assert.Contains(t, string(data), fmt.Sprintf("| `%s` | %d | %d to %d |", r.field, r.def, r.min, r.max))
	}
	for _, r := range append(s.floatRules(), presetRules("", &guavascale.Preset{})...) {
		assert.Contains(t, string(data), fmt.Sprintf("| `%s` | %v | %v to %v |", r.field, r.def, r.min, r.max))
	}
}
