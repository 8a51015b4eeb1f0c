package guavaconfig

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/internal/bubbletest"
)

func takeZoneOut(id string, based uint64, zone string) Change {
	return Change{ID: id, Based: based, Kind: TakeZoneOut, Name: zone}
}

// Guards against task starts under an outdated document by a daemon that was
// partitioned or paused. P4, no start in a zone taken out, depends on it.
func TestStartAuthorityExpires(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		table := &memTable{}
		w := &Watcher{Table: table}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, ok := w.MayStart(0)
		require.False(t, ok, "no document yet")
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx, nil) }()
		synctest.Wait()
		left, ok := w.MayStart(1)
		require.True(t, ok)
		assert.Equal(t, 2*time.Second, left)
		_, ok = w.MayStart(2)
		assert.False(t, ok, "a version that is not known")

		time.Sleep(10 * time.Second)
		synctest.Wait()
		_, ok = w.MayStart(1)
		require.True(t, ok, "renewed by polling")

		table.setDown(true)
		time.Sleep(2*time.Second - time.Millisecond)
		_, ok = w.MayStart(1)
		require.True(t, ok)
		time.Sleep(time.Millisecond)
		_, ok = w.MayStart(1)
		require.False(t, ok, "2 s after the last read began")

		table.setDown(false)
		time.Sleep(time.Second)
		synctest.Wait()
		_, ok = w.MayStart(1)
		require.True(t, ok, "after the outage")
		cancel()
		<-done
		time.Sleep(2 * time.Second)
		_, ok = w.MayStart(1)
		require.False(t, ok, "paused")
	})
}

// slowTable delays reads and returns the row as it was when the read began.
type slowTable struct {
	*memTable
	delay time.Duration
}

func (t *slowTable) Get(ctx context.Context, key string) (guavascale.Row, error) {
	row, err := t.memTable.Get(ctx, key)
	time.Sleep(t.delay)
	return row, err
}

// Guards against counting the authority from the end of a slow read, since its
// result may be as old as the beginning of the read.
func TestAuthorityCountsFromStartOfRead(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		w := &Watcher{Table: &slowTable{&memTable{}, 1500 * time.Millisecond}}
		_ = w.Refresh(t.Context())
		time.Sleep(time.Second)
		require.NoError(t, w.Refresh(t.Context()))
		left, ok := w.MayStart(1)
		require.True(t, ok)
		assert.Equal(t, 500*time.Millisecond, left)
		time.Sleep(500 * time.Millisecond)
		_, ok = w.MayStart(1)
		require.False(t, ok)
	})
}

// Guards against reverting to an older document (P10), and against granting
// authority for anything but a read of the row that confirms the document.
func TestNeverAdoptsLowerVersion(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		table := &memTable{}
		w := &Watcher{Table: table}
		old, err := w.Submit(t.Context(), takeZoneOut("a", 1, "Brest"))
		require.NoError(t, err)
		newer, err := Apply(old, takeZoneOut("b", 2, "Vannes"))
		require.NoError(t, err)
		invalid := newer
		invalid.Version, invalid.Preset = 9, "none"
		require.False(t, w.Accept(invalid))
		require.True(t, w.Accept(newer))
		require.False(t, w.Accept(old))
		require.False(t, w.Accept(Initial()))

		time.Sleep(time.Second)
		var revert *RevertError
		require.ErrorAs(t, w.Refresh(t.Context()), &revert)
		assert.Equal(t, RevertError{Held: 3, Found: 2}, *revert)
		left, _ := w.MayStart(3)
		assert.Equal(t, time.Second, left, "counted from the last read that confirmed the document")
		table.rows = nil
		require.ErrorAs(t, w.Refresh(t.Context()), &revert)
		assert.Empty(t, table.rows, "a deleted row is not replaced by the initial document")
		held, _ := w.Config()
		assert.Equal(t, uint64(3), held.Version)
	})
}

// Guards against an invalid row that is adopted, grants authority or is
// overwritten.
func TestInvalidConfigRow(t *testing.T) {
	table := &memTable{rows: map[string]guavascale.Row{Key: {Key: Key, Version: 7, Value: []byte(`{"Version": 2}`)}}}
	w := &Watcher{Table: table}
	var (
		unavailable *guavascale.UnavailableError
		invalid     *guavascale.ValidationError
	)
	err := w.Refresh(t.Context())
	require.ErrorAs(t, err, &unavailable)
	require.ErrorAs(t, err, &invalid)
	_, err = w.Submit(t.Context(), takeZoneOut("a", 2, "Brest"))
	require.ErrorAs(t, err, &unavailable)
	assert.False(t, unavailable.MayHaveApplied)
	_, ok := w.MayStart(2)
	assert.False(t, ok)
	assert.Equal(t, uint64(7), table.rows[Key].Version)
}

// Guards against changes that are lost, applied twice or misreported if the
// table's responses are lost.
func TestSubmitWithLostResponses(t *testing.T) {
	tests := map[string]struct {
		lose, drop int
		down       bool
		other      bool
		unknown    bool
		fails      bool
	}{
		"no fault":                 {},
		"response lost":            {lose: 1},
		"commit lost":              {drop: 1},
		"commit and response lost": {drop: 1, lose: 1},
		"concurrent change":        {lose: 1, other: true},
		"every commit lost":        {drop: 100, unknown: true, fails: true},
		"table down":               {down: true, fails: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				table := &memTable{}
				w := &Watcher{Table: table}
				require.NoError(t, w.Refresh(t.Context()))
				table.loseResponses, table.dropCommits, table.down = tt.lose, tt.drop, tt.down
				if tt.other {
					go func() {
						time.Sleep(time.Millisecond)
						o := &Watcher{Table: table}
						_, err := o.Submit(t.Context(), takeZoneOut("o", 2, "Vannes"))
						assert.NoError(t, err)
					}()
				}
				c, err := w.Submit(t.Context(), takeZoneOut("a", 1, "Brest"))
				if !tt.fails {
					require.NoError(t, err)
					v, _ := AppliedVersion(c, "a")
					assert.Equal(t, uint64(2), v)
					again, err := w.Submit(t.Context(), takeZoneOut("a", 1, "Brest"))
					require.NoError(t, err)
					assert.Equal(t, c.Version, again.Version)
					return
				}
				var unavailable *guavascale.UnavailableError
				require.ErrorAs(t, err, &unavailable)
				assert.Equal(t, tt.unknown, unavailable.MayHaveApplied)
			})
		})
	}
}

// Guards against a lost update if operators submit concurrently through
// different daemons: one change per version succeeds, and the others fail with
// ConflictError.
func TestConcurrentSubmit(t *testing.T) {
	table := &memTable{}
	watchers := []*Watcher{{Table: table}, {Table: table}}
	const rounds = 25
	won := make([]int, len(watchers))
	var wg sync.WaitGroup
	for i, w := range watchers {
		wg.Go(func() {
			for n := range rounds {
				id := fmt.Sprintf("c-%d-%d", i, n)
				assert.NoError(t, w.Refresh(t.Context()))
				doc, _ := w.Config()
				got, err := w.Submit(t.Context(), takeZoneOut(id, doc.Version, fmt.Sprintf("z-%d-%d", i, n)))
				var conflict *guavascale.ConflictError
				if assert.True(t, err == nil || assert.ErrorAs(t, err, &conflict)) && err == nil {
					won[i]++
					v, _ := AppliedVersion(got, id)
					assert.Equal(t, doc.Version+1, v)
				}
			}
		})
	}
	wg.Wait()
	require.NoError(t, watchers[0].Refresh(t.Context()))
	doc, _ := watchers[0].Config()
	assert.Len(t, doc.ZonesOut, won[0]+won[1])
	assert.Equal(t, uint64(1+won[0]+won[1]), doc.Version)
}

// Guards against overwriting another daemon's commit that occurs between
// Submit's read and its own commit.
func TestCommitBetweenReadAndCommit(t *testing.T) {
	table := &memTable{}
	w := &Watcher{Table: table}
	require.NoError(t, w.Refresh(t.Context()))
	table.beforeCommit = func() {
		table.beforeCommit = nil
		_, err := (&Watcher{Table: table}).Submit(t.Context(), takeZoneOut("b", 1, "Vannes"))
		require.NoError(t, err)
	}
	_, err := w.Submit(t.Context(), takeZoneOut("a", 1, "Brest"))
	var conflict *guavascale.ConflictError
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, uint64(2), conflict.InForce)
	doc, _ := w.Config()
	assert.Equal(t, map[guavascale.Zone]bool{"Vannes": true}, doc.ZonesOut)
}
