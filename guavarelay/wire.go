package guavarelay

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavascale.example"
	"guavascale.example/guavaorder"
)

type (
	// hello is the first message of a relay.
	hello struct {
		Instance string
		Zone     guavascale.Zone
		Strength float64
		// Clock is a reading of the relay's clock.
		Clock int64
	}

	// orderFrame is a message of the owner.
	orderFrame struct {
		_     struct{} `cbor:",toarray"`
		Token uint64
		// Echo is the latest reading of the relay's clock that the owner had
		// received.
		Echo   int64
		Orders []wireOrder
	}

	wireOrder struct {
		_       struct{} `cbor:",toarray"`
		Number  uint64
		Kind    guavaorder.Kind
		Worker  guavascale.WorkerID
		Address string
		// Valid is the time since Echo within which the order may be sent.
		Valid   time.Duration
		Timeout time.Duration
		Run     wireRun
		// Payload, Checkpoint and Ticket are set for starts, LeaseEnd for starts
		// and holds, Seen and Wait for holds, Percent for paces.
		Payload    string
		Checkpoint string
		Ticket     string
		LeaseEnd   time.Duration
		Seen       uint64
		Wait       time.Duration
		Percent    int
	}

	wireRun struct {
		_          struct{} `cbor:",toarray"`
		Submission string
		Occurrence int
		Step       int
		Index      int
		Attempt    int64
	}

	// outcomeFrame is a message of a relay.
	outcomeFrame struct {
		_ struct{} `cbor:",toarray"`
		// Clock is a reading of the relay's clock.
		Clock int64
		// Leaving is set when the relay wants no more orders.
		Leaving  bool
		Outcomes []wireOutcome
	}

	outcomeStatus int

	wireOutcome struct {
		_      struct{} `cbor:",toarray"`
		Number uint64
		Status outcomeStatus
		// Reason is the worker's reason for statusRefused and an error text for
		// the other failures.
		Reason  string
		Clock   guavascale.WorkerClock
		Born    int64
		Running []wireRunState
		Ended   []wireRunEnd
	}

	wireRunState struct {
		_          struct{} `cbor:",toarray"`
		Run        wireRun
		Checkpoint string
		Percent    int
		Tail       time.Duration
		Used       int64
	}

	wireRunEnd struct {
		_          struct{} `cbor:",toarray"`
		Number     uint64
		Run        wireRun
		Outcome    guavascale.RunOutcome
		Checkpoint string
	}
)

const (
	statusDone outcomeStatus = iota
	statusRefused
	// statusNotSent means that the relay has not sent the order, statusFailed that
	// it could not be sent, which may be the worker's fault, and
	// statusUnknown that it may take effect, and statusEnded that the worker's host
	// refused the connection.
	statusNotSent
	statusFailed
	statusUnknown
	statusEnded
)

var (
	encoding = func() cbor.EncMode {
		m, err := cbor.EncOptions{}.EncMode()
		if err != nil {
			panic("guavarelay: invalid CBOR encoding options: " + err.Error())
		}
		return m
	}()
	decoding = func() cbor.DecMode {
		m, err := cbor.DecOptions{}.DecMode()
		if err != nil {
			panic("guavarelay: invalid CBOR decoding options: " + err.Error())
		}
		return m
	}()
)

func toWireRun(r guavascale.Run) wireRun {
	return wireRun{Submission: r.Task.Submission, Occurrence: r.Task.Occurrence, Step: r.Task.Step, Index: r.Task.Index, Attempt: r.Attempt}
}

func (r *wireRun) run() guavascale.Run {
	return guavascale.Run{
		Task:    guavascale.TaskRef{Submission: r.Submission, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index},
		Attempt: r.Attempt,
	}
}

func toWireOrder(o *guavaorder.Order, number uint64, valid time.Duration) wireOrder {
	w := wireOrder{
		Number: number, Kind: o.Kind, Worker: o.Worker.ID, Address: o.Worker.AgentAddress, Valid: valid, Timeout: o.Timeout,
		Run: toWireRun(o.Run), Percent: o.Percent,
	}
	switch o.Kind {
	case guavaorder.Start:
		w.Payload, w.Checkpoint, w.Ticket, w.LeaseEnd = o.Start.Payload, o.Start.Checkpoint, o.Start.Ticket, o.Start.LeaseEnd
	case guavaorder.Hold:
		w.LeaseEnd, w.Seen, w.Wait = o.Hold.LeaseEnd, o.Hold.Seen, o.Hold.Wait
	}
	return w
}

func (w *wireOrder) order(token uint64) guavaorder.Order {
	o := guavaorder.Order{
		Kind: w.Kind, Worker: guavascale.Worker{ID: w.Worker, AgentAddress: w.Address}, Run: w.Run.run(),
		Percent: w.Percent, Timeout: w.Timeout,
	}
	switch w.Kind {
	case guavaorder.Start:
		o.Start = guavascale.RunStart{
			Run: o.Run, Payload: w.Payload, Checkpoint: w.Checkpoint, LeaseEnd: w.LeaseEnd, Token: token, Ticket: w.Ticket,
		}
	case guavaorder.Hold:
		o.Hold = guavascale.Hold{Token: token, Seen: w.Seen, LeaseEnd: w.LeaseEnd, Wait: w.Wait}
	}
	return o
}

func toWireOutcome(number uint64, out *guavaorder.Outcome) wireOutcome {
	w := wireOutcome{Number: number, Clock: out.Clock, Born: out.Report.Born}
	var (
		refused     *guavascale.RunError
		unavailable *guavascale.UnavailableError
	)
	switch {
	case out.Err == nil:
	case out.NotSent:
		w.Status, w.Reason = statusNotSent, out.Err.Error()
	case errors.As(out.Err, &refused):
		w.Status, w.Reason = statusRefused, string(refused.Reason)
	case errors.As(out.Err, &unavailable) && unavailable.Refused:
		w.Status, w.Reason = statusEnded, out.Err.Error()
	case errors.As(out.Err, &unavailable) && !unavailable.MayHaveApplied:
		w.Status, w.Reason = statusFailed, out.Err.Error()
	default:
		w.Status, w.Reason = statusUnknown, out.Err.Error()
	}
	if n := len(out.Report.Running); n > 0 {
		w.Running = make([]wireRunState, n)
	}
	for i := range out.Report.Running {
		s := &out.Report.Running[i]
		w.Running[i] = wireRunState{Run: toWireRun(s.Run), Checkpoint: s.Checkpoint, Percent: s.Percent, Tail: s.Tail, Used: s.Used}
	}
	for i := range out.Report.Ended {
		e := &out.Report.Ended[i]
		w.Ended = append(w.Ended, wireRunEnd{Number: e.Number, Run: toWireRun(e.Run), Outcome: e.Outcome, Checkpoint: e.Checkpoint})
	}
	return w
}

// outcome decodes the outcome of an order.
func (w *wireOutcome) outcome(o *guavaorder.Order) guavaorder.Outcome {
	out := guavaorder.Outcome{Clock: w.Clock}
	switch w.Status {
	case statusDone:
	case statusRefused:
		out.Err = &guavascale.RunError{Worker: o.Worker.ID, Op: o.Kind.String(), Reason: guavascale.RunRefusal(w.Reason), Clock: w.Clock}
		return out
	case statusNotSent:
		return notSent(errors.New(w.Reason))
	default:
		err := unavailable(o, w.Status != statusFailed && w.Status != statusEnded, errors.New(w.Reason))
		err.Refused = w.Status == statusEnded
		out.Err = err
		return out
	}
	rep := &out.Report
	rep.Clock, rep.Born = w.Clock, w.Born
	if n := len(w.Running); n > 0 {
		rep.Running = make([]guavascale.RunState, n)
	}
	for i := range w.Running {
		s := &w.Running[i]
		rep.Running[i] = guavascale.RunState{Run: s.Run.run(), Checkpoint: s.Checkpoint, Percent: s.Percent, Tail: s.Tail, Used: s.Used}
	}
	for i := range w.Ended {
		e := &w.Ended[i]
		rep.Ended = append(rep.Ended, guavascale.RunEnd{Number: e.Number, Run: e.Run.run(), Outcome: e.Outcome, Checkpoint: e.Checkpoint})
	}
	return out
}

func notSent(cause error) guavaorder.Outcome { return guavaorder.Outcome{Err: cause, NotSent: true} }

func unavailable(o *guavaorder.Order, mayHaveApplied bool, cause error) *guavascale.UnavailableError {
	return &guavascale.UnavailableError{System: system, Op: o.Kind.String(), MayHaveApplied: mayHaveApplied, Cause: cause}
}
