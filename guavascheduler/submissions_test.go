package guavascheduler

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"

	"guavascale.example"
	"guavascale.example/guavalimit"
)

// Guards against a caller that repeats a submission that can never be accepted, and one
// that gives up a submission that fits once other workers are there.
func TestRejectionTellsWhatIsNotValid(t *testing.T) {
	invalid := guavalimit.Check(&guavascale.Submission{ID: "a"})
	cases := map[string]struct {
		err     error
		invalid bool
	}{
		"not valid":       {invalid, true},
		"no worker fits":  {errors.Join(&guavascale.RejectedError{Reason: "no worker fits"}, invalid), false},
		"another failure": {errors.New("test"), false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := rejection(tc.err)
			assert.Equal(t, verdictRejected, r.Verdict, "daemons of earlier versions know only the verdict")
			assert.Equal(t, tc.invalid, r.Invalid != nil)
			assert.NotEmpty(t, r.Reason)
		})
	}
}
