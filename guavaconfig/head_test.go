package guavaconfig

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// countingTable counts the reads of each key.
type countingTable struct {
	*memTable
	mu    sync.Mutex
	reads map[string]int
}

func (t *countingTable) Get(ctx context.Context, key string) (guavascale.Row, error) {
	t.mu.Lock()
	t.reads[key]++
	t.mu.Unlock()
	return t.memTable.Get(ctx, key)
}

// Guards against polls that read an unchanged document, and against a poll that
// misses a change.
func TestPollReadsHeadRow(t *testing.T) {
	table := &memTable{}
	_, err := (&Watcher{Table: table}).Submit(t.Context(), takeZoneOut("a", 1, "Brest"))
	require.NoError(t, err)
	counted := &countingTable{memTable: table, reads: map[string]int{}}
	w := &Watcher{Table: counted}
	for range 10 {
		require.NoError(t, w.Refresh(t.Context()))
	}
	assert.Equal(t, map[string]int{HeadKey: 10, Key: 1}, counted.reads)
	_, err = (&Watcher{Table: table}).Submit(t.Context(), takeZoneOut("b", 2, "Vannes"))
	require.NoError(t, err)
	require.NoError(t, w.Refresh(t.Context()))
	c, _ := w.Config()
	assert.Equal(t, uint64(3), c.Version)
	_, ok := w.MayStart(3)
	assert.True(t, ok)
	_, ok = w.MayStart(2)
	assert.False(t, ok)
}

// Guards against a reader that combines the head of one commit with the
// document of an earlier one and starts tasks under that document.
func TestHeadMatchesDocumentDuringCommits(t *testing.T) {
	table := &memTable{}
	writer := &Watcher{Table: table}
	require.NoError(t, writer.Refresh(t.Context()))
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := range uint64(200) {
			_, err := writer.Submit(t.Context(), takeZoneOut(fmt.Sprint(n), n+1, fmt.Sprint("z", n)))
			assert.NoError(t, err)
		}
	})
	for range 4 {
		wg.Go(func() {
			w := &Watcher{Table: table}
			for range 500 {
				head, err := table.Get(t.Context(), HeadKey)
				assert.NoError(t, err)
				assert.NoError(t, w.Refresh(t.Context()))
				w.mu.Lock()
				assert.GreaterOrEqual(t, w.parsedRowVersion, head.Version)
				w.mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// Guards against creating a new document, or granting the authority to start
// tasks, if the document is missing or older than the head. A missing or older
// head is harmless, and the next commit repairs it.
func TestInconsistentRows(t *testing.T) {
	doc, err := EncodeConfig(Initial())
	require.NoError(t, err)
	for name, tt := range map[string]struct {
		rows map[string]guavascale.Row
		ok   bool
	}{
		"head without a document":  {map[string]guavascale.Row{HeadKey: {Key: HeadKey, Version: 7}}, false},
		"document older than head": {map[string]guavascale.Row{HeadKey: {Key: HeadKey, Version: 7}, Key: {Key: Key, Version: 6, Value: doc}}, false},
		"document without a head":  {map[string]guavascale.Row{Key: {Key: Key, Version: 7, Value: doc}}, true},
		"document newer than head": {map[string]guavascale.Row{HeadKey: {Key: HeadKey, Version: 6}, Key: {Key: Key, Version: 7, Value: doc}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := &memTable{rows: tt.rows, version: 7}
			w := &Watcher{Table: table}
			err := w.Refresh(t.Context())
			_, may := w.MayStart(1)
			assert.Equal(t, tt.ok, may)
			_, submitted := w.Submit(t.Context(), takeZoneOut("a", 1, "Brest"))
			if !tt.ok {
				var down *guavascale.UnavailableError
				require.ErrorAs(t, err, &down)
				require.ErrorAs(t, submitted, &down)
				assert.Len(t, table.rows, len(tt.rows), "nothing is written")
				return
			}
			require.NoError(t, err)
			require.NoError(t, submitted)
			assert.Equal(t, table.rows[Key].Version, table.rows[HeadKey].Version)
		})
	}
}
