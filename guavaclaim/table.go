package guavaclaim

import (
	"container/list"
	"encoding/json"
	"time"

	"guavascale.example"
	"guavascale.example/guavalog"
)

type (
	// keyTable holds the claims of one partition. It is guarded by the mutex
	// of its Partitions.
	keyTable struct {
		name guavascale.Partition
		log  *guavalog.Log
		keys map[string]*claim
		// order holds the claims, oldest first.
		order *list.List
		// lastSequence is the sequence number of the newest row with a
		// reported outcome.
		lastSequence uint64
		// recordsSinceSnapshot is the number of records logged since the last
		// snapshot.
		recordsSinceSnapshot int
		// snapshotting is set while a snapshot is being written.
		snapshotting bool
	}

	// claim is the claim on one key.
	claim struct {
		key       string
		id        string
		claimedAt time.Time
		state     claimState
		// abandoned is set when the caller stopped waiting for the claim. Its
		// request was not sent, so the claim is released.
		abandoned bool
		element   *list.Element
		answer    *recordedAnswer
	}

	claimState int

	// recordedAnswer is the stored response to a finished request.
	recordedAnswer struct {
		claim      *claim
		answer     guavascale.Answer
		recordedAt time.Time
		element    *list.Element
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

func newTable(name guavascale.Partition, log *guavalog.Log) *keyTable {
	return &keyTable{name: name, log: log, keys: map[string]*claim{}, order: list.New()}
}

func (t *keyTable) add(c *claim) {
	t.keys[c.key] = c
	c.element = t.order.PushBack(c)
}

func (t *keyTable) remove(c *claim) {
	if t.keys[c.key] != c {
		return
	}
	delete(t.keys, c.key)
	t.order.Remove(c.element)
}

// restore adds a recovered key; a later claim of the same key replaces an
// earlier one.
func (t *keyTable) restore(key, id string, at time.Time) {
	if old := t.keys[key]; old != nil {
		t.remove(old)
	}
	t.add(&claim{key: key, id: id, claimedAt: at})
}

// load fills the table from the recovered log.
func (t *keyTable) load(rec guavalog.Recovered, now time.Time) error {
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
			t.recordsSinceSnapshot++
		}
	}
	t.lastSequence = rec.Sequence + uint64(len(rec.Batches))
	return nil
}

// encodeSnapshot returns a snapshot of the keys and the sequence number that
// it covers. The outcomes of the newest row may be only partly reported, so
// the snapshot covers the rows before it; the records of pending claims are
// in later rows.
func (t *keyTable) encodeSnapshot(now time.Time) (uint64, []byte, error) {
	keys := make([]snapshotKey, 0, len(t.keys))
	for e := t.order.Front(); e != nil; e = e.Next() {
		c := e.Value.(*claim)
		if c.state != statePending {
			keys = append(keys, snapshotKey{Key: c.key, ID: c.id, AgeMs: max(now.Sub(c.claimedAt).Milliseconds(), 0)})
		}
	}
	value, err := json.Marshal(keys)
	return max(t.lastSequence, 1) - 1, value, err
}
