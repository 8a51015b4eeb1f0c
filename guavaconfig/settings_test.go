package guavaconfig

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

const requiredFields = `"Name": "rennes-1", "Zone": "Rennes", "Platform": "10.0.0.1:80"`

// Guards against settings that are silently ignored or out of range.
func TestParseSettingsRejects(t *testing.T) {
	tests := map[string]struct{ text, field, allowed string }{
		"not JSON":             {`{`, "(document)", "JSON"},
		"array":                {`[]`, "(document)", "an object"},
		"no name":              {`"Zone": "Rennes", "Platform": "10.0.0.1:80"`, "Name", nameAllowed},
		"no zone":              {`"Name": "a", "Platform": "10.0.0.1:80"`, "Zone", nameAllowed},
		"no platform":          {`"Name": "a", "Zone": "Rennes"`, "Platform", "an IP address"},
		"unknown field":        {requiredFields + `, "Colour": 1`, "Colour", "no field of this name"},
		"other letter case":    {requiredFields + `, "region": "x"`, "region", "no field of this name"},
		"unknown nested field": {requiredFields + `, "Limits": {"Body": 1}`, "Limits.Body", "no field of this name"},
		"repeated field":       {requiredFields + `, "Zone": "Brest"`, "Zone", "at most once"},
		"wrong type":           {requiredFields + `, "Limits": {"BodyBytes": "1"}`, "Limits.BodyBytes", "a int"},
		"fraction":             {requiredFields + `, "Limits": {"BodyBytes": 2000.5}`, "Limits.BodyBytes", "a int"},
		"null":                 {requiredFields + `, "Region": null`, "Region", "a string"},
		"wrong element":        {requiredFields + `, "SeedPeers": ["10.0.0.2:1", 5]`, "SeedPeers[1]", "a string"},
		"host name":            {requiredFields + `, "SeedPeers": ["peer:1"]`, "SeedPeers[0]", "an IP address"},
		"unspecified seed":     {requiredFields + `, "SeedPeers": ["0.0.0.0:1"]`, "SeedPeers[0]", "an IP address"},
		"unreachable address":  {requiredFields + `, "Peer": {"Listen": "0.0.0.0:7402"}`, "Peer.Advertise", "others can reach"},
		"unreachable port 0":   {requiredFields + `, "Peer": {"Listen": "[::]:0"}`, "Peer.Advertise", "others can reach"},
		"listen without port":  {requiredFields + `, "Gateway": {"Listen": "10.0.0.1"}`, "Gateway.Listen", "an IP address"},
		"too large":            {requiredFields + `, "Limits": {"BodyBytes": 68000000}`, "Limits.BodyBytes", "1024 to 67108864"},
		"negative":             {requiredFields + `, "Limits": {"ReadSeconds": -1}`, "Limits.ReadSeconds", "0.1 to 300"},
		"overflow":             {requiredFields + `, "Limits": {"ReadSeconds": 1e999}`, "Limits.ReadSeconds", "a float64"},
		"over 64 workers":      {requiredFields + `, "RacksPerShard": 9`, "RacksPerShard", "1 to 8"},
		"authority over 2 s":   {requiredFields + `, "Intervals": {"StartAuthoritySeconds": 2.5}`, "Intervals.StartAuthoritySeconds", "0.1 to 2"},
		"TTL below renewals":   {requiredFields + `, "Intervals": {"SessionTTLSeconds": 7}`, "Intervals.SessionTTLSeconds", "more than twice"},
		"keys expire first":    {requiredFields + `, "Intervals": {"KeySeconds": 300}`, "Intervals.KeySeconds", "more than AnswerSeconds"},
		"shutdown too short":   {requiredFields + `, "Intervals": {"ShutdownSeconds": 30}`, "Intervals.ShutdownSeconds", "31 to 300"},
		"log level":            {requiredFields + `, "Log": {"Level": "Loud"}`, "Log.Level", "Debug, Info, Warn, Error"},
		"log format":           {requiredFields + `, "Log": {"Format": "XML"}`, "Log.Format", "JSON, Console"},
		"short token":          {requiredFields + `, "Credentials": [{"Name": "a", "Token": "hunter2"}]`, "Credentials[0].Token", "16 characters"},
		"token with space":     {requiredFields + `, "Credentials": [{"Name": "a", "Token": "hunter2 hunter2 hunter2"}]`, "Credentials[0].Token", "printable"},
		"token of wrong type":  {requiredFields + `, "Credentials": [{"Name": "a", "Token": ["hunter2"]}]`, "Credentials[0].Token", "a string"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := tt.text
			if text[0] == '"' {
				text = "{" + text + "}"
			}
			_, err := ParseSettings([]byte(text))
			var invalid *guavascale.ValidationError
			require.ErrorAs(t, err, &invalid)
			assert.Equal(t, tt.field, invalid.Field)
			assert.Contains(t, invalid.Allowed, tt.allowed)
			assert.NotContains(t, err.Error(), "hunter2")
		})
	}
}

// Guards against defaults that differ from the design document.
func TestParseSettingsDefaults(t *testing.T) {
	s, err := ParseSettings([]byte(`{` + requiredFields + `, "Peer": {"Listen": "127.0.0.1:0"}, /* comment */ }`))
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:7400", s.Gateway.Advertise)
	assert.Empty(t, s.Peer.Advertise)
	assert.Equal(t, Listener{}, s.Metrics)
	assert.Equal(t, 10.0, s.Intervals.SessionTTLSeconds)
	assert.Equal(t, 2.0, s.Intervals.StartAuthoritySeconds)
	assert.Equal(t, 3600.0, s.Intervals.KeySeconds)
	assert.Equal(t, 1, s.RacksPerShard)
}

// Guards against tokens in logs, dumps and errors, and against a credential
// file that is ignored.
func TestCredentials(t *testing.T) {
	dir := t.TempDir()
	tokens, main := filepath.Join(dir, "tokens"), filepath.Join(dir, "main")
	require.NoError(t, os.WriteFile(tokens, []byte(`[{"Name": "b", "Token": "hunter2-hunter2-hunter2"}]`), 0o600))
	require.NoError(t, os.WriteFile(main, fmt.Appendf(nil, `{%s, "CredentialFile": %q, "Credentials": [{"Name": "a", "Token": "hunter2-hunter2-hunter1"}]}`, requiredFields, tokens), 0o600))
	s, err := ReadSettings(main)
	require.NoError(t, err)
	require.Len(t, s.Credentials, 2)
	assert.Equal(t, "hunter2-hunter2-hunter2", string(s.Credentials[1].Token))
	dump, err := json.Marshal(s)
	require.NoError(t, err)
	for _, text := range []string{string(dump), fmt.Sprintf("%v %+v %#v %q %x", s, s, s, s.Credentials, s.Credentials)} {
		assert.NotContains(t, text, "hunter2")
	}
	_, err = ParseCredentials([]byte(`[{"Name": "b", "Tokn": "hunter2-hunter2-hunter2"}]`))
	require.Error(t, err)
	assert.NotContains(t, err.Error(), "hunter2")
}

// Guards against panics, against accepting invalid settings, and against errors
// of another type than ValidationError.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{` + requiredFields + `, "Limits": {"BodyBytes": 2048}, // comment
	}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSettings(data)
		if err != nil {
			var invalid *guavascale.ValidationError
			require.ErrorAs(t, err, &invalid)
			return
		}
		require.NoError(t, s.Validate())
		require.Equal(t, s, s.Defaults())
	})
}
