package guavaconfig

import (
	"maps"
	"slices"
	"strconv"

	"guavascale.example"
)

// KeptChanges is the number of change IDs that a document keeps.
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
	// ChangeKind is what a change does.
	ChangeKind string

	// Change is one change to the configuration document.
	Change struct {
		// ID is random and unique; a repeat with the same ID does nothing.
		ID string
		// Based is the version of the document that the change was made for.
		Based uint64
		Kind  ChangeKind
		// Name is the preset to use, the zone, the service to remove or the
		// team of a quota; unused for PutPreset and PutService.
		Name string
		// Preset, Service and Quota are set for the Put kind of that name
		// only.
		Preset  *guavascale.Preset
		Service *guavascale.Service
		Quota   *guavascale.Resources
	}
)

// ParseChange parses a change from JSON. It fails with ValidationError.
func ParseChange(data []byte) (Change, error) {
	var c Change
	if err := Decode(data, &c); err != nil {
		return Change{}, err
	}
	return c, c.Validate()
}

// Validate checks a change by itself. It fails with ValidationError.
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

// Applied returns the version that a document reached by a change, and whether
// the document contains the change.
func Applied(c guavascale.Config, id string) (uint64, bool) {
	for _, a := range c.Changes {
		if a.ID == id {
			return a.Version, true
		}
	}
	return 0, false
}

// Apply returns the document that follows c by a change; c stays as it is. A
// change that c contains returns c unchanged. Apply fails with ConflictError
// when the change is based on another version than that of c, with
// ValidationError, and with NotFoundError when the change is about something
// that c does not have.
func Apply(c guavascale.Config, change Change) (guavascale.Config, error) {
	if err := change.Validate(); err != nil {
		return c, err
	}
	if _, ok := Applied(c, change.ID); ok {
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

func applyKind(c guavascale.Config, change Change) (guavascale.Config, error) {
	zone := guavascale.Zone(change.Name)
	var err error
	switch change.Kind {
	case PutPreset:
		c.Presets = put(c.Presets, change.Preset.Name, *change.Preset)
	case UsePreset:
		_, err = required(c.Presets, "preset", change.Name)
		c.Preset = change.Name
	case TakeZoneOut:
		c.ZonesOut = put(c.ZonesOut, zone, true)
	case BringZoneBack:
		c.ZonesOut, err = remove(c.ZonesOut, "zone out of service", zone)
	case PutService:
		c.Services = put(c.Services, change.Service.Name, *change.Service)
	case RemoveService:
		c.Services, err = remove(c.Services, "service", change.Name)
	case PutQuota:
		c.Quotas = put(c.Quotas, change.Name, *change.Quota)
	case RemoveQuota:
		c.Quotas, err = remove(c.Quotas, "quota of team", change.Name)
	}
	return c, err
}

// put returns a copy of m, since documents are immutable.
func put[K ~string, V any](m map[K]V, key K, v V) map[K]V {
	out := make(map[K]V, len(m)+1)
	maps.Copy(out, m)
	out[key] = v
	return out
}

func remove[K ~string, V any](m map[K]V, kind string, key K) (map[K]V, error) {
	if _, err := required(m, kind, key); err != nil {
		return m, err
	}
	out := maps.Clone(m)
	delete(out, key)
	return out, nil
}

func required[K ~string, V any](m map[K]V, kind string, key K) (V, error) {
	v, ok := m[key]
	if !ok {
		return v, &guavascale.NotFoundError{Kind: kind, Name: string(key)}
	}
	return v, nil
}
