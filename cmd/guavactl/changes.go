package main

import (
	"fmt"
	"maps"
	"slices"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavaoperator"
)

type (
	// idFlag is the flag that every command that makes a change has.
	idFlag struct {
		ID string `name:"id" help:"ID of the change; random by default. Repeating a change with its ID is harmless." placeholder:"ID"`
	}

	// changeFlags are the flags of the commands that change the configuration
	// document.
	changeFlags struct {
		idFlag
		IfVersion uint64 `help:"Apply the change only if this version is in force. By default the current version is read first." placeholder:"N"`
	}

	configCmd struct{}

	presetsCmd struct {
		Create presetsCreate `cmd:"" help:"Create or replace a preset. Example: guavactl presets create peak.jsonc"`
		List   presetsList   `cmd:"" help:"List presets."`
		Show   presetsShow   `cmd:"" help:"Show a preset with its defaults filled in."`
		Use    presetsUse    `cmd:"" help:"Put a preset in force. Example: guavactl presets use peak"`
	}
	presetsCreate struct {
		changeFlags
		File string `arg:"" help:"Preset in JSON with comments; - for standard input."`
	}
	presetsList struct{}
	presetsShow struct {
		Name string `arg:""`
	}
	presetsUse struct {
		changeFlags
		Name string `arg:""`
	}

	zonesCmd struct {
		List zonesList `cmd:"" help:"List availability zones."`
		Out  zonesOut  `cmd:"" help:"Take a zone out of service. Example: guavactl zones out Brest"`
		Back zonesBack `cmd:"" help:"Bring a zone back. Example: guavactl zones back Brest"`
	}
	zonesList struct{}
	zonesOut  struct {
		changeFlags
		Zone string `arg:""`
	}
	zonesBack struct {
		changeFlags
		Zone string `arg:""`
	}

	servicesCmd struct {
		Declare servicesDeclare `cmd:"" help:"Declare or replace a service. Example: guavactl services declare checkout.jsonc"`
		List    servicesList    `cmd:"" help:"List services."`
		Show    servicesShow    `cmd:"" help:"Show a service."`
		Remove  servicesRemove  `cmd:"" help:"Remove a service; its instances stop. Example: guavactl services remove checkout"`
	}
	servicesDeclare struct {
		changeFlags
		File string `arg:"" help:"Service in JSON with comments; - for standard input."`
	}
	servicesList struct{}
	servicesShow struct {
		Name string `arg:""`
	}
	servicesRemove struct {
		changeFlags
		Name string `arg:""`
	}

	quotasCmd struct {
		Set    quotasSet    `cmd:"" help:"Set a team's quota. Example: guavactl quotas set audit --milli-cores 64000 --memory-mb 131072"`
		List   quotasList   `cmd:"" help:"List quotas."`
		Remove quotasRemove `cmd:"" help:"Remove a team's quota; the team has no limit then."`
	}
	quotasSet struct {
		changeFlags
		Team         string `arg:""`
		MilliCores   int64  `required:"" help:"Processor time in thousandths of a core."`
		MemoryMB     int64  `name:"memory-mb" required:"" help:"Memory in units of 2^20 bytes."`
		Accelerators int64  `help:"Number of accelerators."`
	}
	quotasList   struct{}
	quotasRemove struct {
		changeFlags
		Team string `arg:""`
	}
)

// setDefaultID sets a random ID if none was given.
func (f *idFlag) setDefaultID() {
	if f.ID == "" {
		f.ID = guavaconfig.NewID()
	}
}

// submit sends a change of the configuration document and prints the resulting
// version.
func (s *session) submit(f changeFlags, c guavaconfig.Change) error {
	f.setDefaultID()
	c.ID, c.Based = f.ID, f.IfVersion
	if err := c.Validate(); err != nil {
		return err
	}
	if c.Based == 0 {
		doc, err := s.client.Config(s.ctx)
		if err != nil {
			return err
		}
		c.Based = doc.Version
	}
	s.retryFlags = fmt.Sprintf("--id %s --if-version %d", c.ID, c.Based)
	result, err := s.client.Submit(s.ctx, c)
	if err != nil {
		return err
	}
	return s.show(result, table{
		{"ID", "VERSION", "IN FORCE"},
		{result.ID, formatNumber(result.Version), formatNumber(result.InForce)},
	})
}

// Run shows the configuration document, always as JSON.
func (configCmd) Run(s *session) error {
	doc, err := s.client.Config(s.ctx)
	if err != nil {
		return err
	}
	return s.showJSON(doc)
}

// Run creates or replaces a preset.
func (c presetsCreate) Run(s *session) error {
	var p guavascale.Preset
	if err := readFile(c.File, &p); err != nil {
		return err
	}
	return s.submit(c.changeFlags, guavaconfig.Change{Kind: guavaconfig.PutPreset, Preset: &p})
}

// Run lists presets.
func (presetsList) Run(s *session) error {
	doc, err := s.client.Config(s.ctx)
	if err != nil {
		return err
	}
	t := table{{"PRESET", "IN FORCE"}}
	for _, name := range slices.Sorted(maps.Keys(doc.Presets)) {
		t = append(t, []string{name, yesCell(name == doc.Preset)})
	}
	return s.show(struct {
		InForce string
		Presets map[string]guavascale.Preset
	}{doc.Preset, doc.Presets}, t)
}

// Run shows a preset.
func (c presetsShow) Run(s *session) error {
	p, err := s.client.Preset(s.ctx, c.Name)
	if err != nil {
		return err
	}
	return s.showJSON(p)
}

// Run puts a preset in force.
func (c presetsUse) Run(s *session) error {
	return s.submit(c.changeFlags, guavaconfig.Change{Kind: guavaconfig.UsePreset, Name: c.Name})
}

// Run lists zones.
func (zonesList) Run(s *session) error {
	list, err := s.client.Zones(s.ctx)
	if err != nil {
		return err
	}
	t := table{{"ZONE", "OUT", "WORKERS", "TASKS"}}
	for _, z := range list.Zones {
		t = append(t, []string{string(z.Zone), yesCell(z.Out), formatNumber(z.Workers), formatNumber(z.Tasks)})
	}
	s.warnMissing(list.Missing)
	return s.show(list, t)
}

// Run takes a zone out of service. It does so even if no worker of the zone is
// known, since the list of workers may be unavailable together with the zone.
func (c zonesOut) Run(s *session) error {
	err := s.submit(c.changeFlags, guavaconfig.Change{Kind: guavaconfig.TakeZoneOut, Name: c.Zone})
	if err != nil {
		return err
	}
	list, err := s.client.Zones(s.ctx)
	if err != nil {
		return nil // The zone is out of service; only its name could not be checked.
	}
	known := slices.ContainsFunc(list.Zones, func(z guavaoperator.ZoneStatus) bool {
		return string(z.Zone) == c.Zone && z.Workers > 0
	})
	if !known {
		s.warn("no worker of zone %q is known; check the name", c.Zone)
	}
	return nil
}

// Run brings a zone back into service.
func (c zonesBack) Run(s *session) error {
	return s.submit(c.changeFlags, guavaconfig.Change{Kind: guavaconfig.BringZoneBack, Name: c.Zone})
}

// Run declares or replaces a service.
func (c servicesDeclare) Run(s *session) error {
	var v guavascale.Service
	if err := readFile(c.File, &v); err != nil {
		return err
	}
	return s.submit(c.changeFlags, guavaconfig.Change{Kind: guavaconfig.PutService, Service: &v})
}

// Run lists services.
func (servicesList) Run(s *session) error {
	doc, err := s.client.Config(s.ctx)
	if err != nil {
		return err
	}
	t := table{{"SERVICE", "TEAM", "KIND", "INSTANCES", "TARGET MS", "CORES", "MEMORY MB", "ACCELERATORS"}}
	for _, name := range slices.Sorted(maps.Keys(doc.Services)) {
		v := doc.Services[name]
		row := []string{name, v.Team, v.Kind, formatNumber(v.Instances), formatNumber(v.TargetMs)}
		t = append(t, append(row, resourceCells(v.Size)...))
	}
	return s.show(doc.Services, t)
}

// Run shows a service.
func (c servicesShow) Run(s *session) error {
	v, err := s.client.Service(s.ctx, c.Name)
	if err != nil {
		return err
	}
	return s.showJSON(v)
}

// Run removes a service.
func (c servicesRemove) Run(s *session) error {
	return s.submit(c.changeFlags, guavaconfig.Change{Kind: guavaconfig.RemoveService, Name: c.Name})
}

// Run sets a quota.
func (c quotasSet) Run(s *session) error {
	q := guavascale.Resources{MilliCores: c.MilliCores, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators}
	return s.submit(c.changeFlags, guavaconfig.Change{Kind: guavaconfig.PutQuota, Name: c.Team, Quota: &q})
}

// Run lists quotas.
func (quotasList) Run(s *session) error {
	doc, err := s.client.Config(s.ctx)
	if err != nil {
		return err
	}
	t := table{{"TEAM", "CORES", "MEMORY MB", "ACCELERATORS"}}
	for _, team := range slices.Sorted(maps.Keys(doc.Quotas)) {
		t = append(t, append([]string{team}, resourceCells(doc.Quotas[team])...))
	}
	return s.show(doc.Quotas, t)
}

// Run removes a quota.
func (c quotasRemove) Run(s *session) error {
	return s.submit(c.changeFlags, guavaconfig.Change{Kind: guavaconfig.RemoveQuota, Name: c.Team})
}

// yesCell returns the table cell for a boolean, which is empty for false.
func yesCell(yes bool) string {
	if yes {
		return "yes"
	}
	return ""
}
