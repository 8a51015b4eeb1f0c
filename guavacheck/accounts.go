package guavacheck

import (
	"fmt"
	"math"

	"guavascale.example"
)

// accounts checks the client accounts. It finds all that guavaaccount.Validate rejects,
// which stops at the first error.
func (f *findings) accounts(c *guavascale.Catalog) {
	names := make(map[string]int, len(c.Accounts))
	owners := make(map[guavascale.KeyDigest]int)
	for i := range c.Accounts {
		a := &c.Accounts[i]
		f.name("Accounts", "Name", a.Name, i, names)
		if len(a.Keys) == 0 {
			f.add(Warning, NoKey, fmt.Sprintf("Accounts[%d].Keys", i), "the account %q has no key, so that nobody can call for it", a.Name)
		}
		for k, d := range a.Keys {
			place := fmt.Sprintf("Accounts[%d].Keys[%d]", i, k)
			first, ok := owners[d]
			switch {
			case ok && first == i:
				f.add(Warning, Duplicate, place, "the account lists this key twice")
			case ok:
				f.add(Error, Duplicate, place, "is a key of account %q, too", c.Accounts[first].Name)
			default:
				owners[d] = i
			}
		}
		f.limits(i, a)
	}
}

// limits checks the weight and the limit of an account.
func (f *findings) limits(i int, a *guavascale.Account) {
	weight, limit := fmt.Sprintf("Accounts[%d].Weight", i), fmt.Sprintf("Accounts[%d].Limit", i)
	if !(a.Weight >= 0) || math.IsInf(a.Weight, 0) {
		f.add(Error, OutOfRange, weight, "is %v; allowed: a finite number, 0 or more", a.Weight)
	}
	l := a.Limit
	if min(l.MilliCores, l.MemoryMB, l.Accelerators) < 0 {
		f.add(Error, OutOfRange, limit, "has a negative field; allowed: 0 or more of each")
	}
	if l.MilliCores == 0 && max(l.MemoryMB, l.Accelerators) > 0 {
		f.add(Warning, LimitWithoutProcessors, limit+".MilliCores", "is 0, which means no limit, while other resources are limited")
	}
	if a.Weight == 0 && l != (guavascale.Resources{}) {
		f.add(Warning, WeightZero, weight, "is 0, so that all work of the account comes after that of others, also below its limit, while capacity is short")
	}
}
