package guavaconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"guavascale.example"
)

const (
	// FirstPreset is the name of the only preset in the initial document.
	FirstPreset = "ordinary"

	maxPresets  = 100
	maxServices = 10_000
	maxQuotas   = 10_000
	maxZonesOut = 1000
	// maxInstances exceeds the 120,000 latency-critical tasks of the whole
	// fleet.
	maxInstances = 200_000

	maxMilliCores   = 4_000_000
	maxMemoryMB     = 64 << 20
	maxAccelerators = 1024
	// maxQuotaFactor bounds a team's quota as a multiple of the limits for one
	// worker.
	maxQuotaFactor = 100_000
)

// Initial returns the initial document: version 1 with the preset FirstPreset.
func Initial() guavascale.Config {
	return guavascale.Config{
		Version:  1,
		Preset:   FirstPreset,
		Presets:  map[string]guavascale.Preset{FirstPreset: {Name: FirstPreset}},
		ZonesOut: map[guavascale.Zone]bool{},
		Services: map[string]guavascale.Service{},
		Quotas:   map[string]guavascale.Resources{},
	}
}

// Defaults returns p with zero fields replaced by their defaults.
func Defaults(p guavascale.Preset) guavascale.Preset {
	for _, r := range presetRules("", &p) {
		setDefault(r.value, r.def)
	}
	return p
}

// ActivePreset returns the preset that a document selects, with defaults filled
// in.
func ActivePreset(c guavascale.Config) guavascale.Preset { return Defaults(c.Presets[c.Preset]) }

// presetRules returns the default and the allowed range of each field of p,
// with path as the prefix of the field names.
func presetRules(path string, p *guavascale.Preset) []rule[float64] {
	return []rule[float64]{
		{path + "LatencyWeight", &p.LatencyWeight, 70, 0, 100},
		{path + "BatchWeight", &p.BatchWeight, 30, 0, 100},
		{path + "MaxBatchShare", &p.MaxBatchShare, 0.5, 0, 1},
		// A lease of 720 s outlasts a store outage of 10 minutes.
		{path + "BatchLeaseSeconds", &p.BatchLeaseSeconds, 720, 10, 7200},
		{path + "ServiceLeaseSeconds", &p.ServiceLeaseSeconds, 720, 10, 7200},
		// The fleet starts 1,200 tasks per second over 282 shards, about 4 per
		// shard.
		{path + "StartsPerSecond", &p.StartsPerSecond, 20, 0.1, 1000},
		{path + "DrainPerSecond", &p.DrainPerSecond, 5, 0.1, 1000},
		{path + "EvictAfterSeconds", &p.EvictAfterSeconds, 5, 0.5, 600},
		{path + "RetryRatio", &p.RetryRatio, 0.1, 0, 1},
		{path + "QueueMs", &p.QueueMs, 100, 1, 30_000},
	}
}

// ParseConfig parses and validates the value of the Config row. It fails with
// ValidationError.
func ParseConfig(data []byte) (guavascale.Config, error) {
	var c guavascale.Config
	if err := Decode(data, &c); err != nil {
		return guavascale.Config{}, err
	}
	if err := Validate(c); err != nil {
		return guavascale.Config{}, err
	}
	return c, nil
}

// EncodeConfig returns the value of the Config row for a document.
func EncodeConfig(c guavascale.Config) ([]byte, error) { return json.Marshal(c) }

// Validate checks a whole document. It fails with ValidationError.
func Validate(c guavascale.Config) error {
	if c.Version == 0 {
		return invalid("Version", "0", "1 or more")
	}
	if _, ok := c.Presets[c.Preset]; !ok {
		return invalid("Preset", strconv.Quote(c.Preset), "the name of one of Presets")
	}
	if err := validateCounts(c); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(c.Presets)) {
		if err := validateEntry("Presets", name, c.Presets[name].Name, ValidatePreset(c.Presets[name])); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if err := validateEntry("Services", name, c.Services[name].Name, ValidateService(c.Services[name])); err != nil {
			return err
		}
	}
	for _, team := range slices.Sorted(maps.Keys(c.Quotas)) {
		if err := ValidateQuota(team, c.Quotas[team]); err != nil {
			return err
		}
	}
	return validateZonesAndChanges(c)
}

// validateEntry returns err, the result of validating a map's entry, or an
// error if the entry's name differs from its key.
func validateEntry(field, key, name string, err error) error {
	if err != nil {
		return err
	}
	if key != name {
		return invalid(field+"."+key+".Name", strconv.Quote(name), strconv.Quote(key))
	}
	return nil
}

func validateZonesAndChanges(c guavascale.Config) error {
	for zone, out := range c.ZonesOut {
		if err := ValidateName("ZonesOut", string(zone)); err != nil {
			return err
		}
		if !out {
			return invalid("ZonesOut."+string(zone), "false", "true; a zone in service is not listed")
		}
	}
	last := uint64(0)
	for i, a := range c.Changes {
		if a.Version <= last || a.Version > c.Version {
			return invalid(fmt.Sprintf("Changes[%d].Version", i), fmt.Sprint(a.Version), "ascending versions up to that of the document")
		}
		last = a.Version
	}
	return nil
}

func validateCounts(c guavascale.Config) error {
	counts := []struct {
		field  string
		n, max int
	}{
		{"Presets", len(c.Presets), maxPresets},
		{"Services", len(c.Services), maxServices},
		{"Quotas", len(c.Quotas), maxQuotas},
		{"ZonesOut", len(c.ZonesOut), maxZonesOut},
		{"Changes", len(c.Changes), KeptChanges},
	}
	for _, c := range counts {
		if c.n > c.max {
			return invalid(c.field, fmt.Sprintf("%d entries", c.n), fmt.Sprintf("at most %d entries", c.max))
		}
	}
	return nil
}

// ValidatePreset checks a preset, with defaults in place of zero fields. It
// fails with ValidationError.
func ValidatePreset(p guavascale.Preset) error {
	if err := ValidateName("Presets.Name", p.Name); err != nil {
		return err
	}
	d := Defaults(p)
	for _, r := range presetRules("Presets."+p.Name+".", &d) {
		if err := r.check(); err != nil {
			return err
		}
	}
	return nil
}

// ValidateService checks a service. It fails with ValidationError.
func ValidateService(s guavascale.Service) error {
	if err := ValidateName("Services.Name", s.Name); err != nil {
		return err
	}
	path := "Services." + s.Name + "."
	if err := ValidateName(path+"Kind", s.Kind); err != nil {
		return err
	}
	if err := ValidateName(path+"Team", s.Team); err != nil {
		return err
	}
	instances := rule[int]{path + "Instances", &s.Instances, 0, 0, maxInstances}
	if err := instances.check(); err != nil {
		return err
	}
	if err := ValidateSize(path+"Size", s.Size); err != nil {
		return err
	}
	target := rule[float64]{path + "TargetMs", &s.TargetMs, 0, 0.1, 30_000}
	return target.check()
}

// ValidateSize checks the declared size of a task. It fails with
// ValidationError.
func ValidateSize(field string, r guavascale.Resources) error {
	return validateResources(field, r, 1, 1)
}

// ValidateQuota checks the quota of a team. It fails with ValidationError.
func ValidateQuota(team string, r guavascale.Resources) error {
	if err := ValidateName("Quotas", team); err != nil {
		return err
	}
	return validateResources("Quotas."+team, r, 0, maxQuotaFactor)
}

// validateResources requires at least minimum cores and memory, and at most
// maxFactor times the limits for one worker.
func validateResources(field string, r guavascale.Resources, minimum, maxFactor int64) error {
	fields := []struct {
		name        string
		v, min, max int64
	}{
		{"MilliCores", r.MilliCores, minimum, maxMilliCores},
		{"MemoryMB", r.MemoryMB, minimum, maxMemoryMB},
		{"Accelerators", r.Accelerators, 0, maxAccelerators},
	}
	for _, f := range fields {
		if f.v < f.min || f.v > f.max*maxFactor {
			return invalid(field+"."+f.name, fmt.Sprint(f.v), fmt.Sprintf("%d to %d", f.min, f.max*maxFactor))
		}
	}
	return nil
}
