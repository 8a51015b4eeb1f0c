package guavascheduler

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"guavascale.example/guavaaccount"
	"guavascale.example/guavastate"
)

// Dump is the state of a daemon for diagnosis.
type Dump struct {
	Instance string
	Address  string
	Owner    string
	Leaving  bool
	// ConfigVersion is the version of the catalog in force, or 0 if there is
	// none yet.
	ConfigVersion uint64
	// Accounts is set if the operators declare accounts.
	Accounts *guavaaccount.Status `json:",omitempty"`
	// CommitAgeMs is the age of the last commit and Shard the state of the
	// shard. Only the owner sets them.
	CommitAgeMs int64            `json:",omitempty"`
	Shard       *guavastate.Dump `json:",omitempty"`
}

// dumpWait is how long to wait for the state from the goroutine of the term.
const dumpWait = 2 * time.Second

// WriteDump writes the state of the daemon to w as JSON and returns the error of
// the writer.
func (s *Scheduler) WriteDump(ctx context.Context, w io.Writer) error {
	d := Dump{
		Instance: s.Instance, Address: s.Address, Owner: s.owner(), Leaving: s.leaving.Load(),
		Accounts: s.Accounts.Status(s.Clock.Now()),
	}
	if c := s.catalog.Load(); c != nil {
		d.ConfigVersion = c.Version
	}
	if t := s.term.Load(); t != nil {
		now := s.Clock.Now()
		d.CommitAgeMs = t.commitAge(now).Milliseconds()
		ch := make(chan guavastate.Dump, 1)
		ctx, cancel := context.WithTimeout(ctx, dumpWait)
		defer cancel()
		if t.post(func() { ch <- t.engine.Dump(now) }) {
			select {
			case shard := <-ch:
				d.Shard = &shard
			case <-ctx.Done():
			}
		}
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(d)
}
