// Package guavacheck checks a version of the operators' configuration before it is sent.
//
// Daemons keep the version in force when a new one is invalid, and take a valid one as it
// is, also if a route in it can never match or an account can never call. So the checks
// find three things: errors, with which daemons reject the version or can't serve a part of
// it; warnings, for entries without effect and for limits that contradict each other; and
// changes against the version in force.
//
// Check and Compare are functions of plain data. Places name the fields of
// guavascale.Catalog; whoever reads the configuration translates them. Findings contain no
// keys, not even digests.
package guavacheck

import (
	"cmp"
	"fmt"
	"slices"

	"guavascale.example"
)

type (
	// Severity says what a finding means for the version.
	Severity string

	// Rule identifies the check that a finding comes from.
	Rule string

	// Finding is a result of a check.
	Finding struct {
		Severity Severity
		Rule     Rule
		// Place is the path of a field, such as Queues[2].Host.
		Place   string
		Message string
	}

	// findings collects the results of checks.
	findings []Finding
)

const (
	// Error is the severity of what daemons reject or can't serve.
	Error Severity = "Error"
	// Warning is the severity of what has no effect or contradicts itself.
	Warning Severity = "Warning"
	// Change is the severity of a difference from the version in force.
	Change Severity = "Change"
)

const (
	// Missing is an empty field that needs a value.
	Missing Rule = "Missing"
	// OutOfRange is a number outside of its limits.
	OutOfRange Rule = "OutOfRange"
	// Duplicate is a name or key that another entry has.
	Duplicate Rule = "Duplicate"
	// Undeclared is a service of a route that isn't declared.
	Undeclared Rule = "Undeclared"
	// VersionNotHigher is a version that isn't above the one in force.
	VersionNotHigher Rule = "VersionNotHigher"

	// NeverMatches is a route that no request selects.
	NeverMatches Rule = "NeverMatches"
	// NoKey is an account without keys, or a private route while no account has one.
	NoKey Rule = "NoKey"
	// Unused is a service that no route uses.
	Unused Rule = "Unused"

	// LimitWithoutProcessors is a limit of other resources only.
	LimitWithoutProcessors Rule = "LimitWithoutProcessors"
	// WeightZero is a limit of an account that has no weight.
	WeightZero Rule = "WeightZero"
	// TimeoutBelowTarget is a timeout that ends before the objective's target.
	TimeoutBelowTarget Rule = "TimeoutBelowTarget"
	// NoObjective is an objective of 0.
	NoObjective Rule = "NoObjective"
	// PriorityUnreached is a priority that only routes without requests have.
	PriorityUnreached Rule = "PriorityUnreached"

	// Added, Removed and Changed are differences from the version in force.
	Added   Rule = "Added"
	Removed Rule = "Removed"
	Changed Rule = "Changed"
)

var severities = []Severity{Error, Warning, Change}

// Check returns the errors and warnings of a catalog on its own, errors first.
func Check(c *guavascale.Catalog) []Finding {
	var f findings
	if c.Version == 0 {
		f.add(Error, OutOfRange, "Version", "is 0; allowed: 1 or more")
	}
	f.pools(c)
	f.queues(c)
	f.accounts(c)
	Sort(f)
	return f
}

// Sort orders findings by severity, errors first, and keeps the order of the others.
func Sort(f []Finding) {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Compare(slices.Index(severities, a.Severity), slices.Index(severities, b.Severity))
	})
}

// Count returns the number of findings of a severity.
func Count(f []Finding, s Severity) int {
	n := 0
	for _, x := range f {
		if x.Severity == s {
			n++
		}
	}
	return n
}

func (f *findings) add(s Severity, r Rule, place, format string, args ...any) {
	*f = append(*f, Finding{Severity: s, Rule: r, Place: place, Message: fmt.Sprintf(format, args...)})
}

// name checks the name of entry i of a list, which must be unique. Seen holds the names of
// the entries before it.
func (f *findings) name(list, field, name string, i int, seen map[string]int) {
	place := fmt.Sprintf("%s[%d].%s", list, i, field)
	first, ok := seen[name]
	switch {
	case name == "":
		f.add(Error, Missing, place, "is empty; allowed: a value")
	case ok:
		f.add(Error, Duplicate, place, "is %q, as that of entry %d of the list (counted from 0)", name, first)
	default:
		seen[name] = i
	}
}
