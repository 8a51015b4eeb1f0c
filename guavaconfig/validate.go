package guavaconfig

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"guavascale.example"
)

const (
	nameAllowed = "1 to 63 letters, digits, '.', '_' and '-', a letter or digit first"
	// minTokenLength is the minimum length of a token in characters.
	minTokenLength = 16
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	logLevels   = []string{"Debug", "Info", "Warn", "Error"}
	logFormats  = []string{"JSON", "Console"}
)

// Validate checks settings with defaults filled in. It fails with
// ValidationError.
func (s Settings) Validate() error {
	steps := []func() error{
		s.validateNames,
		s.validateAddresses,
		s.validateNumbers,
		func() error { return validateCredentials(s.Credentials) },
		func() error { return oneOf("Log.Level", s.Log.Level, logLevels) },
		func() error { return oneOf("Log.Format", s.Log.Format, logFormats) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) validateNames() error {
	if err := ValidateName("Name", s.Name); err != nil {
		return err
	}
	if err := ValidateName("Zone", string(s.Zone)); err != nil {
		return err
	}
	return ValidateName("Region", s.Region)
}

func (s Settings) validateAddresses() error {
	listeners := map[string]Listener{"Gateway": s.Gateway, "Operator": s.Operator, "Peer": s.Peer, "Metrics": s.Metrics}
	for _, name := range []string{"Gateway", "Operator", "Peer", "Metrics"} {
		if err := listeners[name].validate(name); err != nil {
			return err
		}
	}
	if err := validateAddress("Platform", s.Platform, false); err != nil {
		return err
	}
	for i, a := range s.SeedPeers {
		if err := validateAddress(fmt.Sprintf("SeedPeers[%d]", i), a, false); err != nil {
			return err
		}
	}
	return nil
}

func (l Listener) validate(name string) error {
	if name == "Metrics" && l == (Listener{}) {
		return nil
	}
	if err := validateAddress(name+".Listen", l.Listen, true); err != nil {
		return err
	}
	listen, _ := netip.ParseAddrPort(l.Listen)
	if l.Advertise == "" && !listen.Addr().IsUnspecified() {
		return nil
	}
	addr, err := netip.ParseAddrPort(l.Advertise)
	if err != nil || addr.Addr().IsUnspecified() || addr.Port() == 0 {
		return invalid(name+".Advertise", strconv.Quote(l.Advertise), "an IP address that others can reach, and port, such as 10.0.0.1:7400")
	}
	return nil
}

// validateAddress requires an IP address and port. Host names are rejected
// because daemons communicate by IP address. Only an address to listen on may
// be unspecified or have port 0.
func validateAddress(field, value string, listen bool) error {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || (!listen && (addr.Port() == 0 || addr.Addr().IsUnspecified())) {
		return invalid(field, strconv.Quote(value), "an IP address and port, such as 10.0.0.1:7400")
	}
	return nil
}

func hasPortZero(address string) bool {
	return strings.HasSuffix(address, ":0")
}

func (s Settings) validateNumbers() error {
	for _, r := range s.intRules() {
		if err := r.check(); err != nil {
			return err
		}
	}
	for _, r := range s.floatRules() {
		if err := r.check(); err != nil {
			return err
		}
	}
	for _, b := range s.Intervals.lowerBounds() {
		if b.value <= b.bound {
			return invalid("Intervals."+b.field, fmt.Sprint(b.value), fmt.Sprintf("more than %s, which is %v", b.boundName, b.bound))
		}
	}
	return nil
}

// check requires a value within the range. The comparison is written so that it
// also rejects NaN.
func (r rule[T]) check() error {
	if *r.value >= r.min && *r.value <= r.max {
		return nil
	}
	return invalid(r.field, fmt.Sprint(*r.value), fmt.Sprintf("%v to %v", r.min, r.max))
}

func validateCredentials(list []Credential) error {
	for i, c := range list {
		field := fmt.Sprintf("Credentials[%d]", i)
		if err := ValidateName(field+".Name", c.Name); err != nil {
			return err
		}
		if len(c.Token) < minTokenLength {
			return invalid(field+".Token", redacted, fmt.Sprintf("%d characters or more", minTokenLength))
		}
		for _, r := range string(c.Token) {
			if r <= ' ' || r > '~' {
				return invalid(field+".Token", redacted, "printable ASCII characters without spaces")
			}
		}
	}
	return nil
}

// ValidateName checks the name of a daemon, zone, preset, service, team, kind
// or job. It fails with ValidationError.
func ValidateName(field, name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return invalid(field, truncated([]byte(strconv.Quote(name))), nameAllowed)
}

func oneOf(field, value string, allowed []string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return invalid(field, strconv.Quote(value), strings.Join(allowed, ", "))
}

func invalid(field, value, allowed string) error {
	return &guavascale.ValidationError{Field: field, Value: value, Allowed: allowed}
}
