package guavaconfig

import (
	"maps"
	"slices"
	"strconv"

	"guavascale.example"
)

// KeptChanges is the number of most recent change IDs that a document retains.
const KeptChanges = 256

const (
	PutPreset     ChangeKind = "PutPreset"
	UsePreset     ChangeKind = "UsePreset"
	TakeZoneOut   ChangeKind = "TakeZoneOut"
	BringZoneBack ChangeKind = "BringZoneBack"
	PutService    ChangeKind = "PutService"
	RemoveService ChangeKind = "RemoveService"
	PutQuota      ChangeKind = "PutQuota"
	RemoveQuota   ChangeKind = "RemoveQuota"
)

type (
	// ChangeKind is the operation that a change performs.
	ChangeKind string

	// Change is one change to the configuration document.
	Change struct {
		// ID is random and unique. Applying a change again with the same ID
		// has no effect.
		ID string
		// Based is the document version that the change was derived from.
		Based uint64
		Kind  ChangeKind
		// Name is the preset to use, the zone, the service to remove or the
		// team of a quota; unused for PutPreset and PutService.
		Name string
		// Preset, Service and Quota are each set only for the Put kind of the
		// same name.
		Preset  *guavascale.Preset
		Service *guavascale.Service
		Quota   *guavascale.Resources
	}
)

// ParseChange parses and validates a change in JSON. It fails with
// ValidationError.
func ParseChange(data []byte) (Change, error) {
	var c Change
	if err := Decode(data, &c); err != nil {
		return Change{}, err
	}
	return c, c.Validate()
}

// Validate checks a change without reference to a document. It fails with
// ValidationError.
func (c Change) Validate() error {
	if err := ValidateName("ID", c.ID); err != nil {
		return err
	}
	if err := c.validatePayload(); err != nil {
		return err
	}
	switch c.Kind {
	case PutPreset:
		return ValidatePreset(*c.Preset)
	case PutService:
		return ValidateService(*c.Service)
	case PutQuota:
		return ValidateQuota(c.Name, *c.Quota)
	case UsePreset, TakeZoneOut, BringZoneBack, RemoveService, RemoveQuota:
		return ValidateName("Name", c.Name)
	default:
		return invalid("Kind", strconv.Quote(string(c.Kind)),
			"PutPreset, UsePreset, TakeZoneOut, BringZoneBack, PutService, RemoveService, PutQuota, RemoveQuota")
	}
}

// validatePayload requires that exactly the fields used by the kind are set.
func (c Change) validatePayload() error {
	payloads := []struct {
		kind ChangeKind
		set  bool
	}{
		{PutPreset, c.Preset != nil},
		{PutService, c.Service != nil},
		{PutQuota, c.Quota != nil},
	}
	for _, p := range payloads {
		field := string(p.kind)[len("Put"):]
		if p.set && p.kind != c.Kind {
			return invalid(field, "(set)", "nothing for kind "+string(c.Kind))
		}
		if !p.set && p.kind == c.Kind {
			return invalid(field, "(missing)", "a value for kind "+string(c.Kind))
		}
	}
	if c.Name != "" && (c.Kind == PutPreset || c.Kind == PutService) {
		return invalid("Name", strconv.Quote(c.Name), "nothing for kind "+string(c.Kind))
	}
	return nil
}

// AppliedVersion returns the document version that the change with the given ID
// produced, and whether the document lists that change.
func AppliedVersion(c guavascale.Config, id string) (uint64, bool) {
	for _, a := range c.Changes {
		if a.ID == id {
			return a.Version, true
		}
	}
	return 0, false
}

// Apply returns the document that results from applying a change to c, which is
// not modified. If c already lists the change, Apply returns c. It fails with
// ConflictError if the change is based on a version other than that of c, with
// ValidationError if the change or the result is invalid, and with
// NotFoundError if the change refers to an object that c does not contain.
func Apply(c guavascale.Config, change Change) (guavascale.Config, error) {
	if err := change.Validate(); err != nil {
		return c, err
	}
	if _, ok := AppliedVersion(c, change.ID); ok {
		return c, nil
	}
	if change.Based != c.Version {
		return c, &guavascale.ConflictError{Based: change.Based, InForce: c.Version}
	}
	next, err := applyKind(c, change)
	if err != nil {
		return c, err
	}
	next.Version = c.Version + 1
	next.Changes = append(slices.Clone(c.Changes), guavascale.AppliedChange{ID: change.ID, Version: next.Version})
	if extra := len(next.Changes) - KeptChanges; extra > 0 {
		next.Changes = next.Changes[extra:]
	}
	if err := Validate(next); err != nil {
		return c, err
	}
	return next, nil
}

// applyKind makes the edit itself; the caller updates the version and the list
// of changes.
func applyKind(c guavascale.Config, change Change) (guavascale.Config, error) {
	zone := guavascale.Zone(change.Name)
	var err error
	switch change.Kind {
	case PutPreset:
		c.Presets = withEntry(c.Presets, change.Preset.Name, *change.Preset)
	case UsePreset:
		_, err = lookup(c.Presets, "preset", change.Name)
		c.Preset = change.Name
	case TakeZoneOut:
		c.ZonesOut = withEntry(c.ZonesOut, zone, true)
	case BringZoneBack:
		c.ZonesOut, err = withoutEntry(c.ZonesOut, "zone out of service", zone)
	case PutService:
		c.Services = withEntry(c.Services, change.Service.Name, *change.Service)
	case RemoveService:
		c.Services, err = withoutEntry(c.Services, "service", change.Name)
	case PutQuota:
		c.Quotas = withEntry(c.Quotas, change.Name, *change.Quota)
	case RemoveQuota:
		c.Quotas, err = withoutEntry(c.Quotas, "quota of team", change.Name)
	}
	return c, err
}

// withEntry returns a copy of m that maps key to v. It copies because documents
// are immutable.
func withEntry[K ~string, V any](m map[K]V, key K, v V) map[K]V {
	out := make(map[K]V, len(m)+1)
	maps.Copy(out, m)
	out[key] = v
	return out
}

// withoutEntry returns a copy of m without key. It fails with NotFoundError,
// which names kind, if m does not contain key.
func withoutEntry[K ~string, V any](m map[K]V, kind string, key K) (map[K]V, error) {
	if _, err := lookup(m, kind, key); err != nil {
		return m, err
	}
	out := maps.Clone(m)
	delete(out, key)
	return out, nil
}

// lookup fails with NotFoundError, which names kind, if m does not contain key.
func lookup[K ~string, V any](m map[K]V, kind string, key K) (V, error) {
	v, ok := m[key]
	if !ok {
		return v, &guavascale.NotFoundError{Kind: kind, Name: string(key)}
	}
	return v, nil
}
