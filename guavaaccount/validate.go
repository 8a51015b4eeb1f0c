package guavaaccount

import (
	"fmt"
	"math"
	"strconv"

	"guavascale.example"
)

// Validate checks the accounts of a configuration. It fails with ValidationError for the
// first invalid field. The error contains no key.
func Validate(accounts []guavascale.Account) error {
	names := make(map[string]int, len(accounts))
	owners := make(map[guavascale.KeyDigest]int)
	for i := range accounts {
		a := &accounts[i]
		invalid := func(field, value, allowed string) error {
			return &guavascale.ValidationError{Field: fmt.Sprintf("Accounts[%d].%s", i, field), Value: value, Allowed: allowed}
		}
		if a.Name == "" {
			return invalid("Name", `""`, "a value")
		}
		if first, ok := names[a.Name]; ok {
			return invalid("Name", strconv.Quote(a.Name), fmt.Sprintf("a name other than that of Accounts[%d]", first))
		}
		names[a.Name] = i
		if !(a.Weight >= 0) || math.IsInf(a.Weight, 0) {
			return invalid("Weight", fmt.Sprint(a.Weight), "a finite number, 0 or more")
		}
		if l := a.Limit; min(l.MilliCores, l.MemoryMB, l.Accelerators) < 0 {
			return invalid("Limit", fmt.Sprintf("%+v", l), "0 or more of each")
		}
		for k, d := range a.Keys {
			if first, ok := owners[d]; ok && first != i {
				return invalid(fmt.Sprintf("Keys[%d]", k), fmt.Sprintf("a key of account %q", accounts[first].Name), "a key that no other account has")
			}
			owners[d] = i
		}
	}
	return nil
}
