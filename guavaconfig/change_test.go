package guavaconfig

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

var checkoutService = guavascale.Service{
	Name: "checkout", Kind: "licence", Team: "desk", Instances: 4, TargetMs: 50,
	Size: guavascale.Resources{MilliCores: 2000, MemoryMB: 4096},
}

func putService(edit func(*guavascale.Service)) Change {
	s := checkoutService
	edit(&s)
	return Change{ID: "x", Based: 1, Kind: PutService, Service: &s}
}

func putPreset(edit func(*guavascale.Preset)) Change {
	p := guavascale.Preset{Name: "peak"}
	edit(&p)
	return Change{ID: "x", Based: 1, Kind: PutPreset, Preset: &p}
}

// Guards against accepting a change that makes the document unusable.
func TestApplyRejects(t *testing.T) {
	quota := &guavascale.Resources{MilliCores: -1}
	tests := map[string]struct {
		change Change
		field  string
	}{
		"no ID":            {Change{Based: 1, Kind: UsePreset, Name: "peak"}, "ID"},
		"no kind":          {Change{ID: "x", Based: 1}, "Kind"},
		"unknown kind":     {Change{ID: "x", Based: 1, Kind: "DropAll", Name: "a"}, "Kind"},
		"missing preset":   {Change{ID: "x", Based: 1, Kind: PutPreset}, "Preset"},
		"missing service":  {Change{ID: "x", Based: 1, Kind: PutService}, "Service"},
		"missing quota":    {Change{ID: "x", Based: 1, Kind: PutQuota, Name: "desk"}, "Quota"},
		"unexpected quota": {Change{ID: "x", Based: 1, Kind: UsePreset, Name: "peak", Quota: quota}, "Quota"},
		"unexpected name":  {Change{ID: "x", Based: 1, Kind: PutService, Name: "a", Service: &checkoutService}, "Name"},
		"zone with slash":  {Change{ID: "x", Based: 1, Kind: TakeZoneOut, Name: "a/b"}, "Name"},
		"negative quota":   {Change{ID: "x", Based: 1, Kind: PutQuota, Name: "desk", Quota: quota}, "Quotas.desk.MilliCores"},
		"preset name":      {putPreset(func(p *guavascale.Preset) { p.Name = "" }), "Presets.Name"},
		"weight":           {putPreset(func(p *guavascale.Preset) { p.LatencyWeight = 101 }), "Presets.peak.LatencyWeight"},
		"not a number":     {putPreset(func(p *guavascale.Preset) { p.RetryRatio = math.NaN() }), "Presets.peak.RetryRatio"},
		"negative share":   {putPreset(func(p *guavascale.Preset) { p.MaxBatchShare = -0.1 }), "Presets.peak.MaxBatchShare"},
		"short lease":      {putPreset(func(p *guavascale.Preset) { p.BatchLeaseSeconds = 1 }), "Presets.peak.BatchLeaseSeconds"},
		"service kind":     {putService(func(s *guavascale.Service) { s.Kind = "" }), "Services.checkout.Kind"},
		"no target":        {putService(func(s *guavascale.Service) { s.TargetMs = 0 }), "Services.checkout.TargetMs"},
		"instances":        {putService(func(s *guavascale.Service) { s.Instances = -1 }), "Services.checkout.Instances"},
		"no memory":        {putService(func(s *guavascale.Service) { s.Size.MemoryMB = 0 }), "Services.checkout.Size.MemoryMB"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			doc := Initial()
			got, err := Apply(doc, tt.change)
			var invalid *guavascale.ValidationError
			require.ErrorAs(t, err, &invalid)
			assert.Equal(t, tt.field, invalid.Field)
			assert.NotEmpty(t, invalid.Value)
			assert.NotEmpty(t, invalid.Allowed)
			assert.Equal(t, doc, got)
		})
	}
}

// Guards against a change that is lost, is applied twice or modifies the
// document that it is based on.
func TestApplySequence(t *testing.T) {
	quota := &guavascale.Resources{MilliCores: 64000, MemoryMB: 1 << 17}
	changes := []Change{
		{Kind: PutPreset, Preset: &guavascale.Preset{Name: "peak", RetryRatio: 0.05}},
		{Kind: UsePreset, Name: "peak"},
		{Kind: TakeZoneOut, Name: "Brest"},
		{Kind: PutService, Service: &checkoutService},
		{Kind: PutQuota, Name: "desk", Quota: quota},
	}
	undo := []Change{
		{Kind: BringZoneBack, Name: "Brest"},
		{Kind: RemoveService, Name: "checkout"},
		{Kind: RemoveQuota, Name: "desk"},
	}
	doc := applyAll(t, Initial(), changes)
	assert.Equal(t, 0.05, ActivePreset(doc).RetryRatio)
	assert.Equal(t, 720.0, ActivePreset(doc).BatchLeaseSeconds)
	assert.True(t, doc.ZonesOut["Brest"])
	assert.Equal(t, checkoutService, doc.Services["checkout"])
	assert.Equal(t, *quota, doc.Quotas["desk"])
	doc = applyAll(t, doc, undo)
	assert.Empty(t, doc.ZonesOut)
	assert.Empty(t, doc.Services)
	assert.Empty(t, doc.Quotas)

	for _, c := range append(undo, Change{Kind: UsePreset, Name: "holiday"}) {
		c.ID, c.Based = "again", doc.Version
		_, err := Apply(doc, c)
		var missing *guavascale.NotFoundError
		require.ErrorAs(t, err, &missing, c.Kind)
	}
}

// applyAll applies changes in order and checks that repeating each one has no
// effect and that a different change based on the same version conflicts.
func applyAll(t *testing.T, doc guavascale.Config, changes []Change) guavascale.Config {
	t.Helper()
	for i, c := range changes {
		c.ID, c.Based = fmt.Sprintf("c-%d-%d", doc.Version, i), doc.Version
		before, err := EncodeConfig(doc)
		require.NoError(t, err)
		next, err := Apply(doc, c)
		require.NoError(t, err)
		require.Equal(t, doc.Version+1, next.Version)
		after, _ := EncodeConfig(doc)
		require.Equal(t, string(before), string(after), "documents are immutable")

		repeated, err := Apply(next, c)
		require.NoError(t, err)
		require.Equal(t, next, repeated)

		c.ID += "-other"
		_, err = Apply(next, c)
		var conflict *guavascale.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, guavascale.ConflictError{Based: doc.Version, InForce: next.Version}, *conflict)
		data, err := EncodeConfig(next)
		require.NoError(t, err)
		parsed, err := ParseConfig(data)
		require.NoError(t, err)
		require.Equal(t, next.Version, parsed.Version)
		doc = next
	}
	return doc
}

// Guards against a list of changes that grows without bound, and against
// applying a repeated change again after its ID has been dropped from the list.
func TestApplyKeepsLatestChanges(t *testing.T) {
	doc := Initial()
	first := Change{ID: "c1", Based: 1, Kind: TakeZoneOut, Name: "Brest"}
	for n := range KeptChanges + 10 {
		var err error
		doc, err = Apply(doc, Change{ID: fmt.Sprintf("c%d", n+1), Based: doc.Version, Kind: TakeZoneOut, Name: "Brest"})
		require.NoError(t, err)
	}
	assert.Len(t, doc.Changes, KeptChanges)
	_, ok := AppliedVersion(doc, "c11")
	assert.True(t, ok)
	_, err := Apply(doc, first)
	var conflict *guavascale.ConflictError
	require.ErrorAs(t, err, &conflict)
}

// Guards against accepted changes that result in an invalid document.
func FuzzChange(f *testing.F) {
	f.Add([]byte(`{"ID": "a", "Based": 1, "Kind": "TakeZoneOut", "Name": "Brest"}`))
	f.Add([]byte(`{"ID": "a", "Based": 1, "Kind": "PutPreset", "Preset": {"Name": "peak", "RetryRatio": 0.05}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ParseChange(data)
		if err != nil {
			return
		}
		next, err := Apply(Initial(), c)
		require.NoError(t, Validate(next))
		if err == nil {
			requireRoundTrip(t, next)
		}
	})
}

// Guards against rows that a daemon accepts but cannot encode again without
// loss.
func FuzzConfigRow(f *testing.F) {
	f.Add([]byte(`{"Version": 3, "Preset": "a", "Presets": {"a": {"Name": "a"}}, "ZonesOut": {"Brest": true},
		"Services": null, "Quotas": {"desk": {"MilliCores": 1}}, "Changes": [{"ID": "c", "Version": 2}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := ParseConfig(data); err == nil {
			requireRoundTrip(t, c)
		}
	})
}

func requireRoundTrip(t *testing.T, c guavascale.Config) {
	data, err := EncodeConfig(c)
	require.NoError(t, err)
	got, err := ParseConfig(data)
	require.NoError(t, err)
	require.Equal(t, c, got)
}
