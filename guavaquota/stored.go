package guavaquota

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"guavascale.example"
)

// removed is the stored form of an account that the catalog has declared before.
type removed struct {
	Name   string
	Limit  guavascale.Resources `json:",omitzero"`
	Weight float64              `json:",omitempty"`
}

// Encode returns the content of a row with the accounts that are no longer declared, of at most
// maxBytes, and clears Unsaved. The accounts that don't fit are those with the highest limits; a
// successor knows no limit of theirs.
func (b *Book) Encode(maxBytes int) []byte {
	b.Unsaved = false
	b.stored = make(map[string]removed)
	rows := make([]removed, 0, len(b.accounts))
	for name, a := range b.accounts {
		if _, ok := b.declared[name]; !ok && b.declared != nil {
			rows = append(rows, removed{name, a.limit, a.weight})
		}
	}
	slices.SortFunc(rows, func(x, y removed) int {
		return cmp.Or(cmp.Compare(x.Limit.MilliCores, y.Limit.MilliCores), strings.Compare(x.Name, y.Name))
	})
	list := []byte{'['}
	for _, r := range rows {
		data, err := json.Marshal(r)
		if err != nil || len(list)+len(data)+len(",]") > maxBytes {
			continue
		}
		if len(list) > 1 {
			list = append(list, ',')
		}
		list = append(list, data...)
		b.stored[r.Name] = r
	}
	return append(list, ']')
}

// Restore loads what an earlier owner has stored; nil if it has stored nothing. It must be
// called before Account.
func (b *Book) Restore(data []byte) error {
	if data == nil {
		return nil
	}
	var rows []removed
	if err := json.Unmarshal(data, &rows); err != nil {
		return fmt.Errorf("decode removed accounts: %w", err)
	}
	b.stored = make(map[string]removed, len(rows))
	for _, r := range rows {
		b.stored[r.Name] = r
	}
	return nil
}

// checkStored sets Unsaved if the limit of a removed account is not stored.
func (b *Book) checkStored() {
	if b.declared == nil {
		return
	}
	for name, a := range b.accounts {
		if _, ok := b.declared[name]; !ok && b.stored[name] != (removed{name, a.limit, a.weight}) {
			b.Unsaved = true
		}
	}
}
