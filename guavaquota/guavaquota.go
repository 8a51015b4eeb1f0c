// Package guavaquota keeps what each client account has running within its limit.
//
// Assumed load: an account that sends several times its usual rate, and an owner that dies
// while accounts are at their limits. Without a count over the whole pool, such an account
// had 261 cores running where its limit was 233. Most starts are not stored, so a new owner
// doesn't know what the one before has started: until all workers have answered, it counts
// what may be running (Inherited).
//
// A Book holds the accounts of a shard. Its owner adds each run when it takes up room on a
// worker and removes it when the room is free again, asks before each start, and passes in
// the accounts of each version of the catalog.
package guavaquota

import (
	"time"

	"guavascale.example"
	"guavascale.example/guavafairness"
)

type (
	// Book holds the accounts of a shard by name. The zero value is ready to use. A Book is
	// not safe for concurrent use.
	Book struct {
		// Unsaved is set while limits of removed accounts are known that are stored nowhere.
		// Encode clears it; an owner whose write failed must set it again.
		Unsaved bool

		accounts map[string]*Account
		// declared holds the accounts of the catalog, nil if it declares none.
		declared map[string]guavascale.Account
		// stored holds the accounts of the latest call of Encode or Restore.
		stored map[string]removed
		// inherited is set while some account has inherited runs, counted at inheritedAt.
		inherited   bool
		inheritedAt time.Time
		// passedAt is when the latest scheduling pass began.
		passedAt time.Time
	}

	// Account is the use of a client account. The nil Account stands for work without an
	// account, which has no limit.
	Account struct {
		Name string
		book *Book
		// Claims is for package guavafairness.
		Claims guavafairness.Account
		// limit is the last known limit. A field that is 0 sets none.
		limit   guavascale.Resources
		weight  float64
		running guavascale.Resources
		runs    int64
		// services is the part of running that services use.
		services guavascale.Resources
		// inherited is what may be running besides, started by earlier owners. It follows from
		// what may be placed on workers and from the processors of fillers.
		inherited, placed, fillers guavascale.Resources

		// waiting is what waits in the latest scheduling pass, and serviceHeld is set if the
		// limit held back a service in the pass before.
		waiting     waiting
		serviceHeld bool
		// heldSince is the time since which the limit has held back work in each pass, or zero.
		heldSince time.Time
		// overtaken is the late step for which a part of the limit is kept, and admitted the
		// size of the latest start that was allowed.
		overtaken overtaken
		admitted  guavascale.Resources
		// noted holds the counts of the next notices, noticedAt the times of the last ones
		// and rejected the numbers of rejected submissions, by cause.
		noted, rejected [causes]int64
		noticedAt       [causes]time.Time
		// drained is the number of ended runs until drainedAt, of which older ones count less.
		drained   float64
		drainedAt time.Time
	}
)

// Account returns the account with a name, or nil for an empty name.
func (b *Book) Account(name string) *Account {
	if name == "" {
		return nil
	}
	a := b.accounts[name]
	if a == nil {
		if b.accounts == nil {
			b.accounts = make(map[string]*Account)
		}
		a = &Account{Name: name, book: b, limit: b.stored[name].Limit, weight: b.stored[name].Weight}
		b.accounts[name] = a
		if b.declared != nil {
			a.update(b.declared)
		}
	}
	return a
}

// SetAccounts applies the accounts of a catalog; nil means that it declares none. An account
// that is no longer declared keeps its last known limit and weight while it has submissions,
// of which known holds all and account tells the account.
func SetAccounts[S any](b *Book, accounts []guavascale.Account, known map[string]S, account func(S) *Account) {
	b.declared = nil
	if accounts != nil {
		b.declared = make(map[string]guavascale.Account, len(accounts))
	}
	for _, a := range accounts {
		b.declared[a.Name] = a
	}
	used := make(map[*Account]bool)
	for _, s := range known {
		used[account(s)] = true
	}
	for name, a := range b.accounts {
		if _, ok := b.declared[name]; !ok && !used[a] {
			delete(b.accounts, name)
			continue
		}
		a.update(b.declared)
	}
	b.checkStored()
	b.inheritedAt = time.Time{}
}

func (a *Account) update(declared map[string]guavascale.Account) {
	former := a.limit
	if declared == nil {
		a.limit, a.weight = guavascale.Resources{}, 0
	} else if d, ok := declared[a.Name]; ok {
		a.limit, a.weight = d.Limit, d.Weight
	}
	if a.limit != former {
		a.heldSince = time.Time{}
	}
}

// Add adds n runs of a task of a step, or removes them if n is negative. Inherited is set if an
// earlier owner may have started the task.
func (a *Account) Add(step *guavascale.Step, n int64, inherited bool) {
	if a == nil {
		return
	}
	use := step.Size.Times(n)
	a.running = a.running.Add(use)
	a.runs += n
	if step.Service {
		a.services = a.services.Add(use)
	}
	if inherited {
		a.book.inheritedAt = time.Time{}
	}
}

// Limited reports whether a limit is in force for the account.
func (a *Account) Limited() bool { return a != nil && !a.limit.IsZero() }

// MayStart reports whether n tasks of a size may start together. Where nothing of the account
// runs, one task may start that alone exceeds a limit, which was lowered after the submission
// was accepted; it would never run otherwise.
func (a *Account) MayStart(size guavascale.Resources, n int64) bool {
	if !a.Limited() {
		return true
	}
	alone := a.runs == 0 && a.inherited.IsZero() && n == 1
	return alone || a.fits(size, n)
}

// MayOrder reports whether n tasks of a step that have been added may still be ordered to start,
// since the limit may have been lowered in between.
func (a *Account) MayOrder(step *guavascale.Step, n int) bool {
	if !a.Limited() {
		return true
	}
	alone := a.runs == 1 && a.inherited.IsZero() && n == 1
	return alone || a.fits(step.Size, 0)
}

// MayReplace reports whether a task may get a copy of its run, or where the step allows none,
// whether the run could start again once it is stopped.
func (a *Account) MayReplace(step *guavascale.Step) bool {
	if step.Copies {
		return a.MayStart(step.Size, 1)
	}
	return a.MayOrder(step, 1)
}

// fits reports whether n tasks more keep the account within the limit of each field that the
// tasks use.
func (a *Account) fits(size guavascale.Resources, n int64) bool {
	total := a.running.Add(a.inherited).Add(size.Times(n))
	return within(total.MilliCores, size.MilliCores, a.limit.MilliCores) &&
		within(total.MemoryMB, size.MemoryMB, a.limit.MemoryMB) &&
		within(total.Accelerators, size.Accelerators, a.limit.Accelerators)
}

func within(total, each, limit int64) bool { return each == 0 || limit == 0 || total <= limit }

// Running returns what the account has running, with what may be.
func (a *Account) Running() guavascale.Resources { return a.running.Add(a.inherited) }
