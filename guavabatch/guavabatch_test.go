package guavabatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against changes that never get into a commit because others always come first.
func TestOrderLeavesRoomForBoth(t *testing.T) {
	cases := map[string]struct{ changes, want string }{
		"none":         {"", ""},
		"urgent first": {"abAcB", "ABabc"},
		"both":         {"aAbBCD", "ABabCD"},
		"only urgent":  {"ABCD", "ABCD"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := Order([]byte(tc.changes), func(c byte) bool { return c < 'a' }, 2)
			assert.Equal(t, tc.want, string(got))
		})
	}
}
