package guavacheck

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"guavascale.example"
	"guavascale.example/guavalimit"
)

// maxSlack is the largest slack with which the objective of a step of the longest estimate
// doesn't overflow.
const maxSlack = math.MaxInt64 / int64(guavalimit.MaxEstimate)

// pools checks the services.
func (f *findings) pools(c *guavascale.Catalog) {
	seen := make(map[string]int, len(c.Pools))
	for i := range c.Pools {
		service := c.Pools[i].Service
		f.name("Pools", "Service", service, i, seen)
		used := slices.ContainsFunc(c.Queues, func(q guavascale.Queue) bool { return q.Service == service })
		if service != "" && !used {
			f.add(Warning, Unused, fmt.Sprintf("Pools[%d]", i), "no route uses the service %q", service)
		}
	}
}

// queues checks the routes.
func (f *findings) queues(c *guavascale.Catalog) {
	names := make(map[string]int, len(c.Queues))
	matches := make([]bool, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		f.name("Queues", "Name", q.Name, i, names)
		f.policy(i, q)
		declared := slices.ContainsFunc(c.Pools, func(p guavascale.Pool) bool { return p.Service == q.Service })
		switch place := fmt.Sprintf("Queues[%d].Service", i); {
		case q.Service == "":
			f.add(Error, Missing, place, "is empty; allowed: the name of a service")
		case !declared:
			f.add(Error, Undeclared, place, "the service %q isn't declared", q.Service)
		}
		matches[i] = f.matches(c, i)
	}
	f.priorities(c, matches)
	f.keyless(c)
}

// matches reports whether requests select route i. Of routes with one host and prefix,
// daemons select the first one of the list.
func (f *findings) matches(c *guavascale.Catalog, i int) bool {
	q := &c.Queues[i]
	if q.Host == "" {
		f.add(Error, Missing, fmt.Sprintf("Queues[%d].Host", i), "is empty; allowed: a value")
		return false
	}
	if lower := strings.ToLower(q.Host); q.Host != lower {
		f.add(Warning, NeverMatches, fmt.Sprintf("Queues[%d].Host", i), "%q never matches, since hosts of requests are compared in lower case: %q", q.Host, lower)
		return false
	}
	place := fmt.Sprintf("Queues[%d].PathPrefix", i)
	if q.PathPrefix != "" && !strings.HasPrefix(q.PathPrefix, "/") {
		f.add(Warning, NeverMatches, place, "%q never matches, since each path begins with a slash", q.PathPrefix)
		return false
	}
	first := slices.IndexFunc(c.Queues, func(o guavascale.Queue) bool { return o.Host == q.Host && o.PathPrefix == q.PathPrefix })
	if first < i {
		f.add(Warning, NeverMatches, place, "never matches, since the route %q before it has the same host and prefix", c.Queues[first].Name)
		return false
	}
	return true
}

// policy checks the numbers of a route.
func (f *findings) policy(i int, q *guavascale.Queue) {
	place := func(field string) string { return fmt.Sprintf("Queues[%d].%s", i, field) }
	for _, n := range []struct {
		field string
		value int
	}{{"Priority", q.Priority}, {"MaxAttempts", q.MaxAttempts}} {
		if n.value < 0 {
			f.add(Error, OutOfRange, place(n.field), "is %d; allowed: 0 or more", n.value)
		}
	}
	for _, d := range []struct {
		field string
		value time.Duration
	}{{"Timeout", q.Timeout}, {"Target", q.Target}} {
		if d.value < 0 || d.value > guavalimit.MaxSpan {
			f.add(Error, OutOfRange, place(d.field), "is %v; allowed: 0 to %v", d.value, time.Duration(guavalimit.MaxSpan))
		}
	}
	if !(q.Slack >= 0 && q.Slack <= float64(maxSlack)) {
		f.add(Error, OutOfRange, place("Slack"), "is %v; allowed: 0 to %d", q.Slack, maxSlack)
	}
	if q.Timeout > 0 && q.Timeout < q.Target {
		f.add(Warning, TimeoutBelowTarget, place("Timeout"), "requests end after %v, before the target of %v", q.Timeout, q.Target)
	}
	if q.Slack == 0 && q.Target == 0 {
		f.add(Warning, NoObjective, place("Target"), "the objective of all submissions is 0, so that all of them are too late at once")
	}
}

// priorities warns of priorities that only routes without requests have. Whether work of
// another one is reached depends on the load, which a configuration doesn't tell.
func (f *findings) priorities(c *guavascale.Catalog, matches []bool) {
	reached := make(map[int]bool, len(c.Queues))
	for i := range c.Queues {
		if matches[i] {
			reached[c.Queues[i].Priority] = true
		}
	}
	for i := range c.Queues {
		if p := c.Queues[i].Priority; !reached[p] {
			f.add(Warning, PriorityUnreached, fmt.Sprintf("Queues[%d].Priority", i), "no route that matches requests has priority %d", p)
		}
	}
}

// keyless warns of private routes that no caller has a key for.
func (f *findings) keyless(c *guavascale.Catalog) {
	if c.Accounts == nil || slices.ContainsFunc(c.Accounts, func(a guavascale.Account) bool { return len(a.Keys) > 0 }) {
		return
	}
	for i := range c.Queues {
		if !c.Queues[i].Public {
			f.add(Warning, NoKey, fmt.Sprintf("Queues[%d].Public", i), "the route %q is private, but no account has a key", c.Queues[i].Name)
		}
	}
}
