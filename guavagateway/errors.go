package guavagateway

import (
	"fmt"

	"guavascale.example"
)

type (
	// limitError reports that no connection to a worker may be opened.
	limitError struct {
		Worker guavascale.WorkerID
		Limit  int
	}

	// answerError reports an answer that is not complete or not the one to
	// the request.
	answerError struct {
		Reason string
	}
)

func (e *limitError) Error() string {
	return fmt.Sprintf("all %d connections to worker %q are in use", e.Limit, e.Worker)
}

func (e *answerError) Error() string { return e.Reason }
