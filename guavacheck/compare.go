package guavacheck

import (
	"fmt"
	"reflect"
	"slices"

	"guavascale.example"
)

// Compare returns what a catalog changes against the one in force, errors first.
func Compare(inForce, next *guavascale.Catalog) []Finding {
	var f findings
	compareEntries(&f, "Queues", "route", inForce.Queues, next.Queues, func(q guavascale.Queue) string { return q.Name })
	compareEntries(&f, "Pools", "service", inForce.Pools, next.Pools, func(p guavascale.Pool) string { return p.Service })
	f.compareAccounts(inForce.Accounts, next.Accounts)
	switch {
	case next.Version < inForce.Version:
		f.add(Error, VersionNotHigher, "Version", "is %d, below version %d in force; daemons ignore it", next.Version, inForce.Version)
	case next.Version == inForce.Version && len(f) > 0:
		f.add(Error, VersionNotHigher, "Version", "is %d, as that of the version in force, which differs", next.Version)
	case next.Version == inForce.Version:
		f.add(Warning, VersionNotHigher, "Version", "is %d, as that of the version in force", next.Version)
	}
	Sort(f)
	return f
}

// compareEntries compares two lists of entries, which are known by name.
func compareEntries[T any](f *findings, list, kind string, before, after []T, name func(T) string) {
	named := func(entries []T, n string) int {
		return slices.IndexFunc(entries, func(e T) bool { return name(e) == n })
	}
	for i, e := range after {
		place := fmt.Sprintf("%s[%d]", list, i)
		if k := named(before, name(e)); k >= 0 {
			f.compareFields(place, reflect.ValueOf(before[k]), reflect.ValueOf(e))
			continue
		}
		f.add(Change, Added, place, "the %s %q is new", kind, name(e))
	}
	for _, e := range before {
		if named(after, name(e)) < 0 {
			f.add(Change, Removed, list, "the %s %q is removed", kind, name(e))
		}
	}
}

// compareFields compares the fields of two structs, except for slices.
func (f *findings) compareFields(place string, before, after reflect.Value) {
	for i := range after.NumField() {
		a, b := before.Field(i), after.Field(i)
		field := place + "." + after.Type().Field(i).Name
		switch {
		case b.Kind() == reflect.Struct:
			f.compareFields(field, a, b)
		case b.Kind() == reflect.Slice || a.Equal(b):
		case b.Kind() == reflect.String:
			f.add(Change, Changed, field, "is %q, was %q", b.Interface(), a.Interface())
		default:
			f.add(Change, Changed, field, "is %v, was %v", b.Interface(), a.Interface())
		}
	}
}

// compareAccounts compares accounts. Of keys it tells the numbers only.
func (f *findings) compareAccounts(before, after []guavascale.Account) {
	switch {
	case before == nil && after != nil:
		f.add(Change, Added, "Accounts", "accounts are declared, so that calls to private routes need a key")
	case before != nil && after == nil:
		f.add(Change, Removed, "Accounts", "no accounts are declared, so that no call needs a key")
	}
	compareEntries(f, "Accounts", "account", before, after, func(a guavascale.Account) string { return a.Name })
	for i := range after {
		a := &after[i]
		var old []guavascale.KeyDigest
		if k := slices.IndexFunc(before, func(b guavascale.Account) bool { return b.Name == a.Name }); k >= 0 {
			old = before[k].Keys
		}
		place := fmt.Sprintf("Accounts[%d].Keys", i)
		if n := missingFrom(old, a.Keys); n > 0 {
			f.add(Change, Added, place, "keys of account %q added: %d", a.Name, n)
		}
		if n := missingFrom(a.Keys, old); n > 0 {
			f.add(Change, Removed, place, "keys of account %q removed: %d", a.Name, n)
		}
	}
	for _, b := range before {
		removed := !slices.ContainsFunc(after, func(a guavascale.Account) bool { return a.Name == b.Name })
		if removed && len(b.Keys) > 0 {
			f.add(Change, Removed, "Accounts", "keys of account %q removed: %d", b.Name, missingFrom(nil, b.Keys))
		}
	}
}

// missingFrom returns how many different keys are not in others.
func missingFrom(others, keys []guavascale.KeyDigest) int {
	n := 0
	for i, k := range keys {
		if !slices.Contains(others, k) && !slices.Contains(keys[:i], k) {
			n++
		}
	}
	return n
}
