// Package guavarelay sends an owner's orders to workers through other daemons.
//
// One daemon, the owner, decides for the whole fleet. If it also made every call to
// the workers, the calls would use up its host's processor long before the
// decisions do, while the other daemons are idle. A relay is another daemon that
// makes the calls for some of the workers. It opens a stream to the owner, receives
// orders in batches and returns their outcomes in batches. The owner's end of all
// streams is the Hub. It assigns each worker to a relay, in the worker's zone if
// possible. The owner calls the remaining workers itself.
//
// A relay decides nothing and keeps nothing. An order carries the owner's fencing
// token and lease times, so a worker treats it like one from the owner. Each order
// also has a time by which it must be sent. The clocks of two hosts differ, so the
// relay measures that time with its own clock: every frame to the owner contains a
// reading, every frame back echoes the latest reading that the owner had, and what is
// in a frame can't be older than the echoed reading. A relay or an owner that was
// suspended in between thus sends nothing that is out of date.
//
// If a stream breaks, the outcomes of the orders on it are unknown: starts and stops
// may have taken effect, and holds are repeated. The workers are assigned to the
// remaining relays.
package guavarelay

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"

	"guavascale.example"
	"guavascale.example/guavaorder"
)

// Preamble is sent first on a stream, which shares a listener with other protocols. It
// contains the version of the messages.
const Preamble = "GVRELAY1"

// system names relays in errors.
const system = "relay"

// ErrOrderTooLate means that an order was too old when it was due to be sent.
var ErrOrderTooLate = errors.New("the order was too old when it was due to be sent")

var (
	errLinkLost   = errors.New("the stream to the relay broke")
	errNoPath     = errors.New("the relay gets no answer from most of its workers")
	errUnknown    = errors.New("the kind of the order is not known")
	errNoCapacity = errors.New("too many calls of the relay are in progress")
)

// Execute sends an order to its worker and returns the outcome.
func Execute(ctx context.Context, log *zerolog.Logger, r guavascale.Runner, token uint64, o *guavaorder.Order) (out guavaorder.Outcome) {
	defer func() {
		if fault := recover(); fault != nil {
			log.Error().Interface("Fault", fault).Bytes("Stack", debug.Stack()).Str("Worker", string(o.Worker.ID)).
				Msg("relay: an order panicked")
			out = guavaorder.Outcome{Err: fmt.Errorf("panic: %v", fault)}
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	switch o.Kind {
	case guavaorder.Hold:
		out.Report, out.Err = r.Hold(ctx, o.Worker, o.Hold)
		out.Clock = out.Report.Clock
	case guavaorder.Start:
		out.Clock, out.Err = r.Start(ctx, o.Worker, o.Start)
	case guavaorder.Stop:
		out.Clock, out.Err = r.Stop(ctx, o.Worker, o.Run, token)
	case guavaorder.Pace:
		out.Clock, out.Err = r.Pace(ctx, o.Worker, o.Run, o.Percent, token)
	default:
		return notSent(errUnknown)
	}
	var runErr *guavascale.RunError
	if errors.As(out.Err, &runErr) {
		out.Clock = runErr.Clock
	}
	return out
}
