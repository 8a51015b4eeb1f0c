package guavaconfig

import (
	"errors"
	"os"

	"guavascale.example"
)

type (
	// Settings is what a daemon reads from its file at start. Zero fields
	// stand for their defaults, which Settings.Defaults fills in; Name, Zone
	// and Platform are required.
	Settings struct {
		// Name is unique among the daemons and stays the same over restarts.
		Name   string
		Zone   guavascale.Zone
		Region string

		// Gateway takes callers' requests, Operator the operators' calls,
		// Peer the messages of other daemons. Metrics is a listener without
		// credential for metrics and health only; it is off by default.
		Gateway  Listener
		Operator Listener
		Peer     Listener
		Metrics  Listener

		// Platform is host and port of the platform's interface.
		Platform string
		// Credentials admit operators. Without any, the operators' interface
		// refuses every call.
		Credentials []Credential
		// CredentialFile is a file with more of them, an array in the same
		// form, so that the settings can be shown around.
		CredentialFile string
		// SeedPeers are peer addresses that a daemon contacts first.
		SeedPeers []string
		// RacksPerShard is the same in all daemons.
		RacksPerShard int
		Limits        Limits
		Log           Log
		Intervals     Intervals
	}

	// Listener is one listening socket.
	Listener struct {
		// Listen is IP address and port. Port 0 takes a free one.
		Listen string
		// Advertise is the address that others are told; "" means the address
		// that is listened on.
		Advertise string
	}

	// Limits bounds the input of each HTTP listener.
	Limits struct {
		BodyBytes   int
		HeaderBytes int
		// ReadSeconds bounds the time to read one request.
		ReadSeconds float64
		// Connections is per listener.
		Connections int
	}

	// Log selects what is logged to standard error.
	Log struct {
		// Level is Debug, Info, Warn or Error.
		Level string
		// Format is JSON or Console.
		Format string
	}
)

// ReadSettings reads, completes and validates a settings file, and the
// credential file that it names. It fails with ValidationError, or with the
// error of the file system.
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

// ParseSettings parses, completes and validates settings. It fails with
// ValidationError.
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
// credentials. It fails with ValidationError, which never holds a token.
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

// Defaults returns s with the default of each zero field.
func (s Settings) Defaults() Settings {
	def(&s.Region, "default")
	def(&s.Gateway.Listen, "127.0.0.1:7400")
	def(&s.Operator.Listen, "127.0.0.1:7401")
	def(&s.Peer.Listen, "127.0.0.1:7402")
	def(&s.Log.Level, "Info")
	def(&s.Log.Format, "JSON")
	for _, r := range s.intRules() {
		def(r.v, r.def)
	}
	for _, r := range s.floatRules() {
		def(r.v, r.def)
	}
	for _, l := range []*Listener{&s.Gateway, &s.Operator, &s.Peer, &s.Metrics} {
		if l.Advertise == "" && !portZero(l.Listen) {
			l.Advertise = l.Listen
		}
	}
	return s
}

func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
