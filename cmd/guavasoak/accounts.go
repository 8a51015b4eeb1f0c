package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example/platform/guavastandin"
)

type (
	// keyring holds the API keys of the client accounts of a run. The zero value has no
	// accounts. It is safe for concurrent use.
	keyring struct {
		mu       sync.Mutex
		accounts []account
		revoked  []revokedKey
		made     int
	}

	account struct {
		name string
		key  string
		// declaredAt is when the operator learned that the key is declared, and changing is
		// set while the operator replaces it.
		declaredAt time.Time
		changing   bool
	}

	revokedKey struct {
		account int
		key     string
		// at is when the operator learned that the key is no longer declared.
		at time.Time
	}
)

const (
	accountCount   = 4
	publicPrefix   = "/open/"
	probeInterval  = 80 * time.Millisecond
	rotateInterval = 800 * time.Millisecond
	// maxCutTime is the longest time for which daemons are cut off the store in runs with
	// accounts, cutInterval the mean time between two cuts, and holdInterval the time after which the
	// cut is repeated.
	maxCutTime   = 9 * time.Second
	cutInterval  = 2 * time.Second
	holdInterval = 200 * time.Millisecond
	// revokeMax and applyMax are the limits that the platform sets: no call sent later
	// than revokeMax after a key was removed may be answered, and none sent later than applyMax
	// after a key was added may be denied.
	revokeMax = 5 * time.Second
	applyMax  = 3 * time.Second
)

// hasAccounts reports whether the run has client accounts: every fifth one has. The others
// are those of earlier versions, so that their seeds keep their meaning.
func (s *soak) hasAccounts() bool { return s.seed%5 == 4 }

func (k *keyring) enabled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.accounts) > 0
}

// declare adds the accounts of a run.
func (k *keyring) declare() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range accountCount {
		k.accounts = append(k.accounts, account{name: fmt.Sprintf("account-%d", i), key: k.newKey()})
	}
}

func (k *keyring) newKey() string {
	k.made++
	return fmt.Sprintf("soak-key-%d", k.made)
}

// declared returns the accounts as the configuration declares them.
func (k *keyring) declared() []guavastandin.Account {
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []guavastandin.Account
	for _, a := range k.accounts {
		all = append(all, guavastandin.Account{Name: a.name, Keys: []string{a.key}, Weight: 1})
	}
	return all
}

// key returns the current key of an account, or "" if there are no accounts.
func (k *keyring) key(i int) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.accounts) == 0 {
		return ""
	}
	return k.accounts[i].key
}

// rotate replaces the key of an account. Store returns once the operator knows that the
// accounts are stored.
func (k *keyring) rotate(i int, store func() error) error {
	k.mu.Lock()
	old := k.accounts[i].key
	k.accounts[i].key, k.accounts[i].changing = k.newKey(), true
	k.mu.Unlock()
	if err := store(); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.accounts[i].declaredAt, k.accounts[i].changing = now, false
	k.revoked = append(k.revoked, revokedKey{i, old, now})
	return nil
}

// deniedWrongly reports whether a call with a key that was sent at a time must not be denied.
func (k *keyring) deniedWrongly(i int, key string, sentAt time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.accounts[i]
	return a.key == key && !a.changing && sentAt.Sub(a.declaredAt) > applyMax
}

// revokedLongAgo returns a random key that must not be accepted any more, and its account.
func (k *keyring) revokedLongAgo(r *rand.Rand) (key string, account int, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for n < len(k.revoked) && time.Since(k.revoked[n].at) > revokeMax {
		n++
	}
	if n == 0 {
		return "", 0, false
	}
	// The newest ones are those that a daemon may not know of.
	chosen := k.revoked[n-1-r.IntN(min(n, 3))]
	return chosen.key, chosen.account, true
}

// rotateUntil replaces keys of accounts until stop is closed.
func (s *soak) rotateUntil(stop chan struct{}) {
	defer s.wg.Done()
	r := rand.New(rand.NewPCG(s.seed, 4))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.Float64() * 2 * float64(rotateInterval))):
		}
		s.addError(s.client.keys.rotate(r.IntN(accountCount), s.configure))
	}
}

// cutUntil cuts one daemon or all of them off the store for longer than revokeMax, until stop is
// closed: other faults are too short for a daemon to go on with an old configuration.
func (s *soak) cutUntil(stop chan struct{}) {
	defer s.wg.Done()
	r := rand.New(rand.NewPCG(s.seed, 7))
	for {
		cut := s.processes
		if r.IntN(3) > 0 {
			i := r.IntN(len(cut))
			cut = cut[i : i+1]
		}
		mode := [...]proxyMode{proxyDropAll, proxyDropResponses, proxyReset}[r.IntN(3)]
		length := revokeMax + time.Duration(1+r.Float64()*float64(maxCutTime-revokeMax))
		if !s.hold(stop, time.Duration(r.Float64()*2*float64(cutInterval)), nil, proxyPass) || !s.hold(stop, length, cut, mode) {
			return
		}
	}
}

// hold keeps the mode of the store's proxies of some daemons for a time, against other faults that
// end meanwhile, and reports whether stop is still open.
func (s *soak) hold(stop chan struct{}, length time.Duration, cut []*process, mode proxyMode) bool {
	if len(cut) > 0 {
		s.client.cut.Store(cut[0])
	}
	defer func() {
		s.client.cut.Store(nil)
		for _, p := range cut {
			p.store.setMode(proxyPass)
		}
	}()
	for begun := time.Now(); time.Since(begun) < length; {
		for _, p := range cut {
			p.store.setMode(mode)
		}
		select {
		case <-stop:
			return false
		case <-time.After(holdInterval):
		}
	}
	return true
}

// probeUntil makes calls that must not be answered with success until stop is closed.
func (s *soak) probeUntil(stop chan struct{}) {
	defer s.wg.Done()
	r := rand.New(rand.NewPCG(s.seed, 5))
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		rng := rand.New(rand.NewPCG(r.Uint64(), 6))
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.addFinding(s.client.probe(s.randomProcess(rng), rng))
		}()
	}
}

// probe makes a call that must not be answered with success, or one to a public route that must
// not be denied, and returns a finding if it is.
func (c *submissionClient) probe(p *process, r *rand.Rand) string {
	switch r.IntN(6) {
	case 0:
		return c.probeSubmit(p, r, fmt.Sprintf("unknown-%d", r.Uint64()), "an unknown key")
	case 1:
		return c.probeSubmit(p, r, "", "no key")
	case 2, 3:
		key, owner, ok := c.keys.revokedLongAgo(r)
		if !ok {
			return ""
		}
		if cut := c.cut.Load(); cut != nil {
			p = cut
		}
		if r.IntN(3) == 0 {
			return c.probeSubmit(p, r, key, "a key that was revoked")
		}
		return c.probeState(p, r, key, "a key that was revoked", func(a int) bool { return a == owner })
	case 4:
		other := r.IntN(accountCount)
		return c.probeState(p, r, c.keys.key(other), "the key of another account", func(a int) bool { return a != other })
	}
	status, _ := c.call(p, fasthttp.MethodGet, publicPrefix, "", "unknown", nil)
	if status == fasthttp.StatusUnauthorized || status == fasthttp.StatusForbidden {
		return fmt.Sprintf("a call to a public route was answered with %d by %s", status, p.name)
	}
	return ""
}

// probeSubmit sends a submission that must not run.
func (c *submissionClient) probeSubmit(p *process, r *rand.Rand, key, what string) string {
	id := fmt.Sprintf("%016x", r.Uint64())
	c.mu.Lock()
	c.submissions[id] = &submissionStatus{rejected: true}
	c.mu.Unlock()
	body, err := guavastandin.Submission("10ms", []guavastandin.Step{{Tasks: 1, MilliCores: 100, MemoryMB: 1, Estimate: 10 * time.Millisecond}})
	if err != nil {
		panic(err) // Impossible: the body contains only numbers and strings.
	}
	status, _ := c.call(p, fasthttp.MethodPost, routePrefix, id, key, body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes[what]++
	if status == fasthttp.StatusOK {
		return fmt.Sprintf("submission %s with %s was accepted by %s", id, what, p.name)
	}
	return ""
}

// probeState asks for the state of an accepted submission of an account that a function chooses.
func (c *submissionClient) probeState(p *process, r *rand.Rand, key, what string, of func(account int) bool) string {
	c.mu.Lock()
	id := ""
	for candidate, t := range c.submissions {
		// A daemon answers by itself if it has told the final state before.
		if t.accepted && of(t.account) && (id == "" || t.toldBy == p && r.IntN(8) == 0) {
			id = candidate
		}
	}
	c.mu.Unlock()
	if id == "" {
		return ""
	}
	status, _ := c.call(p, fasthttp.MethodGet, routePrefix, id, key, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes[what]++
	if status == fasthttp.StatusOK || status == fasthttp.StatusGone {
		return fmt.Sprintf("the state of submission %s was asked for with %s and answered with %d by %s", id, what, status, p.name)
	}
	return ""
}

// denial returns a finding if a call with a key of an account that was sent at a time must not be
// answered with a status.
func (c *submissionClient) denial(p *process, account int, key string, sentAt time.Time, status int) string {
	switch {
	case status == fasthttp.StatusForbidden:
		return fmt.Sprintf("a call of account %d about its own submission was forbidden by %s", account, p.name)
	case status == fasthttp.StatusUnauthorized && key == "":
		return fmt.Sprintf("a call without a key was denied by %s although there are no accounts", p.name)
	case status == fasthttp.StatusUnauthorized && c.keys.deniedWrongly(account, key, sentAt):
		return fmt.Sprintf("a call of account %d with its current key was denied by %s", account, p.name)
	}
	return ""
}
