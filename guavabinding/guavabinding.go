// Package guavabinding tells which policy applies to accepted submissions while
// versions of the catalog rename, move, change and remove queues.
//
// It answers a failure: work that was bound to its queue by name alone never ran on
// after a version had given the queue another name. A Binding stands for a queue as
// callers used it, by host and path prefix, and as operators named it. Each version
// of the catalog is searched for a queue with the same address and the same name,
// then for one with the same address, then for one with the same name. If there is
// none, the newest known policy stays in force, so that accepted work runs on.
//
// Only a queue with the same address and name takes accepted work to another service.
// In all other cases it is open whether both are the same queue, and the work stays on
// the service on which it may run in either case, as long as the catalog declares that
// service.
//
// Part of what is known may be newer than what is stored with the submissions. The
// owner of a Book stores it (Encode) and passes it to its successor (Restore).
package guavabinding

import (
	"cmp"
	"encoding/json"
	"fmt"
	"iter"
	"slices"
	"strings"

	"guavascale.example"
)

type (
	// Book holds the bindings of the open submissions of a shard. The zero value is
	// ready to use. A Book is not safe for concurrent use.
	Book struct {
		// Unsaved is set while policies are known that are stored nowhere. Encode
		// clears it; an owner whose write failed must set it again.
		Unsaved bool

		catalog  *guavascale.Catalog
		bindings map[identity]*Binding
		// stored holds the bindings of the latest call of Encode or Restore.
		stored map[identity]guavascale.Origin
	}

	// Binding is a queue that has accepted submissions.
	Binding struct {
		identity identity
		policy   guavascale.Origin
	}

	// identity identifies a queue across versions of the catalog. Address is zero for
	// submissions of daemons that did not record it.
	identity struct {
		Name string
		address
	}

	// address is what callers' requests select a queue by.
	address struct {
		Host       string `json:",omitempty"`
		PathPrefix string `json:",omitempty"`
	}

	// bindingRow is the stored form of a Binding.
	bindingRow struct {
		identity
		Policy guavascale.Origin
	}
)

// Bind returns the binding of a submission.
func (b *Book) Bind(s *guavascale.Submission) *Binding {
	id := identity{s.Queue, addressOf(&s.Origin.Queue)}
	bound := b.bindings[id]
	if bound == nil {
		bound = &Binding{identity: id, policy: b.stored[id]}
		if b.bindings == nil {
			b.bindings = make(map[identity]*Binding)
		}
		b.bindings[id] = bound
	}
	if bound.Queue() == nil || s.Origin.Version > bound.policy.Version {
		bound.policy = s.Origin
	}
	bound.update(b.catalog)
	if bound.policy.Queue != s.Origin.Queue {
		b.checkStored(bound)
	}
	return bound
}

// SetCatalog applies a catalog, which must not be older than the one before, and drops
// all bindings but the open ones.
func (b *Book) SetCatalog(c *guavascale.Catalog, open iter.Seq[*Binding]) {
	b.catalog = c
	clear(b.bindings)
	for bound := range open {
		if b.bindings[bound.identity] != nil {
			continue
		}
		b.bindings[bound.identity] = bound
		last := bound.policy.Queue
		bound.update(c)
		if bound.policy.Queue != last {
			b.checkStored(bound)
		}
	}
}

// checkStored sets Unsaved if the policy of a binding is not stored.
func (b *Book) checkStored(bound *Binding) {
	b.Unsaved = b.Unsaved || b.stored[bound.identity].Queue != bound.policy.Queue
}

// Encode returns the content of a row with the bindings, of at most maxBytes, and
// clears Unsaved. If not all of them fit, those with the newest policies are stored; for
// the others a successor knows the policy under which the submissions were accepted.
func (b *Book) Encode(maxBytes int) []byte {
	b.Unsaved = false
	rows := make([]bindingRow, 0, len(b.bindings))
	for id, bound := range b.bindings {
		if bound.Queue() != nil {
			rows = append(rows, bindingRow{id, bound.policy})
		}
	}
	slices.SortFunc(rows, func(x, y bindingRow) int {
		return cmp.Or(
			cmp.Compare(y.Policy.Version, x.Policy.Version), strings.Compare(x.Name, y.Name),
			strings.Compare(x.Host, y.Host), strings.Compare(x.PathPrefix, y.PathPrefix),
		)
	})
	b.stored = make(map[identity]guavascale.Origin, len(rows))
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
		b.stored[r.identity] = r.Policy
	}
	return append(list, ']')
}

// Restore loads what an earlier owner has stored. It must be called before Bind.
func (b *Book) Restore(data []byte) error {
	var rows []bindingRow
	if err := json.Unmarshal(data, &rows); err != nil {
		return fmt.Errorf("decode bindings: %w", err)
	}
	b.stored = make(map[identity]guavascale.Origin, len(rows))
	for _, r := range rows {
		b.stored[r.identity] = r.Policy
	}
	return nil
}

// Queue returns the newest known policy of the queue, or nil if none is known. The
// result may change with the next catalog.
func (b *Binding) Queue() *guavascale.Queue {
	if b == nil || b.policy.Queue == (guavascale.Queue{}) {
		return nil
	}
	return &b.policy.Queue
}

// Serves reports whether a queue of some version of the catalog is the one that the
// binding stands for. It is compared by name only if an address is not known.
func (b *Binding) Serves(q *guavascale.Queue) bool {
	known := b.Queue()
	if known == nil {
		return q.Name == b.identity.Name
	}
	a := addressOf(q)
	if a == (address{}) {
		return q.Name == known.Name
	}
	return a == addressOf(known) || a == b.identity.address
}

// update takes over the policy of a catalog, unless a newer one is known.
func (b *Binding) update(c *guavascale.Catalog) {
	if c == nil || c.Version < b.policy.Version {
		return
	}
	q := b.find(c)
	if q == nil {
		return
	}
	policy := *q
	if last := b.Queue(); last != nil && (q.Name != b.identity.Name || addressOf(q) != b.address()) && isRunning(c, last.Service) {
		policy.Service = last.Service
	}
	b.policy = guavascale.Origin{Version: c.Version, Queue: policy}
}

// find returns the queue of a catalog that the binding stands for, or nil.
func (b *Binding) find(c *guavascale.Catalog) *guavascale.Queue {
	var sameAddress, sameName *guavascale.Queue
	a := b.address()
	for i := range c.Queues {
		q := &c.Queues[i]
		if a != (address{}) && addressOf(q) == a && (sameAddress == nil || q.Name == b.identity.Name) {
			sameAddress = q
		}
		if q.Name == b.identity.Name {
			sameName = q
		}
	}
	if sameAddress != nil {
		return sameAddress
	}
	return sameName
}

// address returns the address that callers use, or the one that was last known for the
// name if that is not recorded.
func (b *Binding) address() address {
	if b.identity.address == (address{}) {
		return addressOf(&b.policy.Queue)
	}
	return b.identity.address
}

func addressOf(q *guavascale.Queue) address { return address{q.Host, q.PathPrefix} }

// isRunning reports whether a catalog declares a service whose machines are not switched
// off.
func isRunning(c *guavascale.Catalog, service string) bool {
	return slices.ContainsFunc(c.Pools, func(p guavascale.Pool) bool { return p.Service == service && !p.Standby })
}
