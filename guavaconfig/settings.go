package guavaconfig

import (
	"errors"
	"os"

	"guavascale.example"
)

type (
	// Settings is the settings file that a daemon reads at start.
	// Settings.Defaults replaces zero fields by their defaults. Name, Zone and
	// Platform are required.
	Settings struct {
		// Name is unique among the daemons and does not change over restarts.
		Name   string
		Zone   guavascale.Zone
		Region string

		// Gateway accepts callers' requests, Operator calls to the operator API,
		// and Peer messages from other daemons. Metrics serves only metrics
		// and health checks, without authentication; it is disabled by
		// default.
		Gateway  Listener
		Operator Listener
		Peer     Listener
		Metrics  Listener

		// Platform is the IP address and port of the platform's API.
		Platform string
		// Credentials lists the operators' credentials. If there are none, the
		// operator API rejects every call that requires one.
		Credentials []Credential
		// CredentialFile is a file with further credentials, an array in the
		// same format, so that the settings file can be shared without its
		// secrets.
		CredentialFile string
		// SeedPeers lists the peer addresses that a daemon contacts at start.
		SeedPeers []string
		// RacksPerShard must be equal on all daemons.
		RacksPerShard int
		Limits        Limits
		Log           Log
		Intervals     Intervals
	}

	// Listener is one listening socket.
	Listener struct {
		// Listen is an IP address and port. Port 0 selects a free port.
		Listen string
		// Advertise is the address announced to others; "" means the listening
		// address.
		Advertise string
	}

	// Limits bounds the requests that each HTTP listener accepts.
	Limits struct {
		BodyBytes   int
		HeaderBytes int
		// ReadSeconds bounds the time to read one request.
		ReadSeconds float64
		// Connections is the maximum number per listener.
		Connections int
	}

	// Log configures logging to standard error.
	Log struct {
		// Level is Debug, Info, Warn or Error.
		Level string
		// Format is JSON or Console.
		Format string
	}
)

// ReadSettings reads a settings file and the credential file that it refers to,
// fills in defaults and validates the result. It fails with ValidationError or
// with the file system's error.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	s, err := ParseSettings(data)
	if err != nil || s.CredentialFile == "" {
		return s, err
	}
	data, err = os.ReadFile(s.CredentialFile)
	if err != nil {
		return Settings{}, err
	}
	more, err := ParseCredentials(data)
	if err != nil {
		return Settings{}, err
	}
	s.Credentials = append(s.Credentials, more...)
	return s, validateCredentials(s.Credentials)
}

// ParseSettings parses settings, fills in defaults and validates the result. It
// fails with ValidationError.
func ParseSettings(data []byte) (Settings, error) {
	var s Settings
	if err := Decode(data, &s); err != nil {
		return Settings{}, err
	}
	s = s.Defaults()
	if err := s.Validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// ParseCredentials parses the content of a credential file, a JSON array of
// credentials. It fails with ValidationError, which never contains a token.
func ParseCredentials(data []byte) ([]Credential, error) {
	var file struct{ CredentialFile []Credential }
	if err := Decode(data, &file.CredentialFile); err != nil {
		var invalid *guavascale.ValidationError
		if errors.As(err, &invalid) {
			invalid.Field = "CredentialFile" + invalid.Field
			invalid.Value = redacted
			invalid.Allowed = "a JSON array of {Name, Token}"
		}
		return nil, err
	}
	return file.CredentialFile, validateCredentials(file.CredentialFile)
}

// Defaults returns s with zero fields replaced by their defaults.
func (s Settings) Defaults() Settings {
	setDefault(&s.Region, "default")
	setDefault(&s.Gateway.Listen, "127.0.0.1:7400")
	setDefault(&s.Operator.Listen, "127.0.0.1:7401")
	setDefault(&s.Peer.Listen, "127.0.0.1:7402")
	setDefault(&s.Log.Level, "Info")
	setDefault(&s.Log.Format, "JSON")
	for _, r := range s.intRules() {
		setDefault(r.value, r.def)
	}
	for _, r := range s.floatRules() {
		setDefault(r.value, r.def)
	}
	for _, l := range []*Listener{&s.Gateway, &s.Operator, &s.Peer, &s.Metrics} {
		if l.Advertise == "" && !hasPortZero(l.Listen) {
			l.Advertise = l.Listen
		}
	}
	return s
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
