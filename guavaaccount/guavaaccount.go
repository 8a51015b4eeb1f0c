// Package guavaaccount decides which calls of callers are answered, by the API keys that
// the operators declare for client accounts.
//
// Assumed failure: a daemon that is disconnected from the store continues to answer calls
// with a key that the operators have revoked. It receives no message about that, so it
// relies on the age of its newest confirmed read of the configuration. The age counts from
// when the request of the read was sent: all that was acknowledged before is in the
// answer. While the age is below Bound, no key is accepted that was revoked longer ago,
// whatever the state of the links. Above it, calls with keys are answered with a retry
// delay; calls to public queues are still served.
//
// A Gate holds what a daemon has read. The daemon that receives a call checks it with
// Gate.Admit and passes an Access to the owner of the shard, which repeats the check with
// Gate.Recheck against its own read. Keys are digested as soon as they are decoded; the
// digest identifies the key in an Access.
//
// Nothing in this package reads a clock or makes calls.
package guavaaccount

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"

	"guavascale.example"
)

type (
	// Index finds the account of a key. It is immutable.
	Index struct {
		// entries holds the keys by the first 8 bytes of their digests. The time of the
		// look-up reveals at most a part of a digest, not of a key.
		entries map[uint64][]entry
		keys    int
	}

	entry struct {
		digest  guavascale.KeyDigest
		account string
	}
)

// MaxKeyBytes is the length of the longest key.
const MaxKeyBytes = 256

// Digest returns the digest of a key.
func Digest(key []byte) guavascale.KeyDigest { return sha256.Sum256(key) }

// NewIndex returns the index of the keys of all accounts.
func NewIndex(accounts []guavascale.Account) *Index {
	keys := 0
	for i := range accounts {
		keys += len(accounts[i].Keys)
	}
	x := &Index{entries: make(map[uint64][]entry, keys), keys: keys}
	for i := range accounts {
		for _, d := range accounts[i].Keys {
			x.entries[prefix(&d)] = append(x.entries[prefix(&d)], entry{d, accounts[i].Name})
		}
	}
	return x
}

// Account returns the name of the account with a key.
func (x *Index) Account(d *guavascale.KeyDigest) (string, bool) {
	name, found := "", false
	for _, e := range x.entries[prefix(d)] {
		if subtle.ConstantTimeCompare(e.digest[:], d[:]) == 1 {
			name, found = e.account, true
		}
	}
	return name, found
}

func prefix(d *guavascale.KeyDigest) uint64 { return binary.BigEndian.Uint64(d[:8]) }
