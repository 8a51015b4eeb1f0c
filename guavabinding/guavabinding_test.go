package guavabinding

import (
	"fmt"
	"iter"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

var accepted = guavascale.Queue{Name: "a", Host: "h", PathPrefix: "/p/", Service: "desk", MaxAttempts: 2}

func open(bound ...*Binding) iter.Seq[*Binding] { return slices.Values(bound) }

func catalog(version uint64, queues ...guavascale.Queue) *guavascale.Catalog {
	return &guavascale.Catalog{Version: version, Queues: queues, Pools: []guavascale.Pool{{Service: "desk"}, {Service: "annex"}}}
}

func submitted(version uint64, q guavascale.Queue) *guavascale.Submission {
	return &guavascale.Submission{ID: "1", Queue: q.Name, Origin: guavascale.Origin{Version: version, Queue: q}}
}

// Guards against a policy that gives way to an older one, whichever of submission,
// stored row and catalog arrives last.
func TestNewestPolicyWins(t *testing.T) {
	newer := accepted
	newer.MaxAttempts = 7
	cases := map[string]func(b *Book) *Binding{
		"older catalog": func(b *Book) *Binding {
			b.SetCatalog(catalog(4, accepted), open())
			return b.Bind(submitted(5, newer))
		},
		"newer catalog": func(b *Book) *Binding {
			bound := b.Bind(submitted(4, accepted))
			b.SetCatalog(catalog(5, newer), open(bound))
			return bound
		},
		"older submission": func(b *Book) *Binding {
			b.Bind(submitted(5, newer))
			return b.Bind(submitted(4, accepted))
		},
		"newer submission": func(b *Book) *Binding {
			bound := b.Bind(submitted(4, accepted))
			b.Bind(submitted(5, newer))
			return bound
		},
		"stored": func(b *Book) *Binding {
			var earlier Book
			earlier.Bind(submitted(5, newer))
			require.NoError(t, b.Restore(earlier.Encode(1000)))
			return b.Bind(submitted(4, accepted))
		},
		"catalog without the queue": func(b *Book) *Binding {
			bound := b.Bind(submitted(5, newer))
			b.SetCatalog(catalog(6), open(bound))
			return bound
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, &newer, play(&Book{}).Queue()) })
	}
}

// Guards against work that changes its service because routes exchange their names or
// addresses, and against a second look at the same catalog that decides otherwise.
func TestServiceChangesOnlyWithTheSameQueue(t *testing.T) {
	b := &Book{}
	bound := b.Bind(submitted(1, accepted))
	exchanged := catalog(
		2, guavascale.Queue{Name: "b", Host: "h", PathPrefix: "/p/", Service: "annex", MaxAttempts: 3},
		guavascale.Queue{Name: "a", Host: "h", PathPrefix: "/x/", Service: "annex", MaxAttempts: 4},
	)
	for range 2 {
		b.SetCatalog(exchanged, open(bound))
		assert.Equal(t, "desk", bound.Queue().Service)
		assert.Equal(t, 3, bound.Queue().MaxAttempts, "the address decides")
	}
	assert.True(t, bound.Serves(&exchanged.Queues[0]))
	assert.False(t, bound.Serves(&exchanged.Queues[1]))
	back := accepted
	back.Service = "annex"
	b.SetCatalog(catalog(3, back), open(bound))
	assert.Equal(t, "annex", bound.Queue().Service)
}

// Guards against a row that grows beyond what the store accepts, and against writes
// of what is stored already.
func TestStoredBindingsAreBounded(t *testing.T) {
	b := &Book{}
	var bound []*Binding
	for i := range 400 {
		q := accepted
		q.Name, q.PathPrefix = fmt.Sprint(i), fmt.Sprintf("/%d%s/", i, strings.Repeat("<", 200))
		bound = append(bound, b.Bind(submitted(uint64(i+1), q)))
	}
	assert.False(t, b.Unsaved, "each submission holds its policy")
	const maxBytes = 60_000
	row := b.Encode(maxBytes)
	assert.LessOrEqual(t, len(row), maxBytes)
	next := &Book{}
	require.NoError(t, next.Restore(row))
	newest := bound[len(bound)-1]
	restored := next.Bind(&guavascale.Submission{Queue: newest.identity.Name, Origin: guavascale.Origin{Queue: newest.policy.Queue}})
	assert.Equal(t, newest.policy.Queue, *restored.Queue())
	assert.False(t, next.Unsaved)
	b.SetCatalog(catalog(1000), open())
	assert.Equal(t, "[]", string(b.Encode(maxBytes)), "ended submissions need no binding")
}
