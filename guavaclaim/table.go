package guavaclaim

import (
	"container/list"
	"encoding/json"
	"time"

	"guavascale.example"
	"guavascale.example/guavalog"
)

type (
	// table holds the keys of one partition. It is guarded by the mutex of
	// its Partitions.
	table struct {
		name guavascale.Partition
		log  *guavalog.Log
		keys map[string]*claim
		// order holds the claims by age, oldest first.
		order *list.List
		// last is the sequence number of the newest row of which an outcome
		// was reported.
		last uint64
		// records counts the records since the last snapshot.
		records int
		// snapshoting is set while a snapshot is written.
		snapshoting bool
	}

	// claim is one key.
	claim struct {
		key   string
		id    string
		at    time.Time
		state claimState
		// abandoned is set when the caller stopped waiting for the grant; the
		// request was then not sent and the claim is given back.
		abandoned bool
		order     *list.Element
		answer    *recorded
	}

	claimState int

	// recorded is a recorded answer.
	recorded struct {
		claim  *claim
		answer guavascale.Answer
		at     time.Time
		order  *list.Element
	}
)

const (
	// stateClaimed is a claim whose record is committed.
	stateClaimed claimState = iota
	// statePending is a claim whose record is being committed.
	statePending
	// stateReleasing is a claim whose release is being committed.
	stateReleasing
)

func newTable(name guavascale.Partition, log *guavalog.Log) *table {
	return &table{name: name, log: log, keys: map[string]*claim{}, order: list.New()}
}

func (t *table) add(c *claim) {
	t.keys[c.key] = c
	c.order = t.order.PushBack(c)
}

func (t *table) remove(c *claim) {
	if t.keys[c.key] != c {
		return
	}
	delete(t.keys, c.key)
	t.order.Remove(c.order)
}

// restore adds a recovered key; a newer claim of the key replaces an older one.
func (t *table) restore(key, id string, at time.Time) {
	if old := t.keys[key]; old != nil {
		t.remove(old)
	}
	t.add(&claim{key: key, id: id, at: at})
}

// load fills the table with the recovered content of the log.
func (t *table) load(rec guavalog.Recovered, now time.Time) error {
	keys, err := decodeSnapshot(rec.Snapshot)
	if err != nil {
		return err
	}
	for _, k := range keys {
		t.restore(k.Key, k.ID, now.Add(-time.Duration(k.AgeMs)*time.Millisecond))
	}
	for _, b := range rec.Batches {
		for _, value := range b.Records {
			r, err := decodeRecord(value)
			if err != nil {
				return err
			}
			t.replay(r, now)
			t.records++
		}
	}
	t.last = rec.Sequence + uint64(len(rec.Batches))
	return nil
}

// state returns the sequence number of a snapshot and the keys in it. The
// outcomes of the newest row may be reported in part, so that the snapshot ends
// at the row before it; pending claims are in later rows.
func (t *table) state(now time.Time) (uint64, []byte, error) {
	keys := make([]snapshotKey, 0, len(t.keys))
	for e := t.order.Front(); e != nil; e = e.Next() {
		c := e.Value.(*claim)
		if c.state != statePending {
			keys = append(keys, snapshotKey{Key: c.key, ID: c.id, AgeMs: max(now.Sub(c.at).Milliseconds(), 0)})
		}
	}
	value, err := json.Marshal(keys)
	return max(t.last, 1) - 1, value, err
}
