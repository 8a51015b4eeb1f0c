package guavagateway

import (
	"fmt"

	"guavascale.example"
)

type (
	// connLimitError reports that the limit on connections to a worker is reached.
	connLimitError struct {
		Worker guavascale.WorkerID
		Limit  int
	}

	// responseError reports a response that is incomplete or does not belong to
	// the request.
	responseError struct {
		Reason string
	}
)

func (e *connLimitError) Error() string {
	return fmt.Sprintf("all %d connections to worker %q are in use", e.Limit, e.Worker)
}

func (e *responseError) Error() string { return e.Reason }
