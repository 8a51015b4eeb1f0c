package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavaoperator"
)

type (
	// acceptedChange is a configuration change that a daemon accepted.
	acceptedChange struct {
		ID         string
		Change     string
		Version    uint64
		AcceptedAt time.Time
		// ReadyDaemons holds the daemons that were ready when the change was
		// accepted.
		ReadyDaemons []*daemon
	}

	// operator submits changes through random ready daemons and retries each
	// one with the same ID until it is accepted.
	operator struct {
		cluster *cluster
		changes []acceptedChange
	}
)

const (
	operatorRetryDelay = 100 * time.Millisecond
	// maxInForceDelay is the guaranteed time from the acceptance of a
	// configuration until all daemons use it, at the present cluster sizes.
	maxInForceDelay = 3 * time.Second
	// inForceTimeout bounds the wait until a daemon uses a configuration.
	inForceTimeout = 10 * time.Second
)

// submitChange submits a change, based on the newest version, until it is
// accepted.
func (o *operator) submitChange(ctx context.Context, c guavaconfig.Change) (acceptedChange, error) {
	c.ID = guavaconfig.NewID()
	for {
		r, err := o.trySubmit(ctx, c)
		if err == nil {
			a := acceptedChange{ID: c.ID, Change: string(c.Kind), Version: r.Version, AcceptedAt: time.Now(), ReadyDaemons: o.cluster.ready()}
			o.changes = append(o.changes, a)
			return a, nil
		}
		if !retriable(err) {
			return acceptedChange{}, fmt.Errorf("%s: %w", c.Kind, err)
		}
		if sleep(ctx, operatorRetryDelay) != nil {
			return acceptedChange{}, fmt.Errorf("%s was not accepted in time: %w", c.Kind, err)
		}
	}
}

// trySubmit submits a change once, based on the version that the daemon has.
func (o *operator) trySubmit(ctx context.Context, c guavaconfig.Change) (guavaoperator.ChangeResult, error) {
	d, err := o.readyDaemon()
	if err != nil {
		return guavaoperator.ChangeResult{}, err
	}
	cfg, err := d.operator.Config(ctx)
	if err != nil {
		return guavaoperator.ChangeResult{}, err
	}
	c.Based = cfg.Version
	return d.operator.Submit(ctx, c)
}

// declareJob declares a job until it is accepted. The ID of the job makes the
// call idempotent.
func (o *operator) declareJob(ctx context.Context, job guavascale.Job) error {
	for {
		d, err := o.readyDaemon()
		if err == nil {
			_, err = d.operator.DeclareJob(ctx, guavaoperator.JobRequest{ID: job.ID, Job: job})
		}
		if err == nil || !retriable(err) {
			return err
		}
		if sleep(ctx, operatorRetryDelay) != nil {
			return fmt.Errorf("job %s was not accepted in time: %w", job.ID, err)
		}
	}
}

// readyDaemon returns a random ready daemon. The error if there is none is
// retriable.
func (o *operator) readyDaemon() (*daemon, error) {
	if d := o.cluster.pickReady(nil); d != nil {
		return d, nil
	}
	return nil, &guavascale.UnavailableError{System: "every daemon", Op: "operator call", Cause: errors.New("none is ready")}
}

// retriable reports whether a call that returned err may succeed when it is
// repeated with the same ID.
func retriable(err error) bool {
	var (
		conflict *guavascale.ConflictError
		down     *guavascale.UnavailableError
	)
	return errors.As(err, &conflict) || errors.As(err, &down)
}

// awaitJob waits until a job has ended and returns its status. If ctx is done
// first, it returns the last status observed and an error.
func (o *operator) awaitJob(ctx context.Context, job string) (guavaoperator.JobStatus, error) {
	var last guavaoperator.JobStatus
	for {
		if d, err := o.readyDaemon(); err == nil {
			if st, err := d.operator.Job(ctx, job); err == nil {
				last = st
			}
		}
		switch last.State {
		case guavaoperator.JobDone, guavaoperator.JobFailed, guavaoperator.JobCancelled:
			return last, nil
		}
		if sleep(ctx, operatorRetryDelay) != nil {
			return last, fmt.Errorf("job %s is %s with tasks %v", job, last.State, last.Tasks)
		}
	}
}

// inForceDelay returns the time from the acceptance of a change until it was in
// force at all daemons that were ready then, except those that stopped before.
// It returns inForceTimeout if that did not happen in time.
func (a acceptedChange) inForceDelay(ctx context.Context) time.Duration {
	var longest time.Duration
	for _, d := range a.ReadyDaemons {
		longest = max(longest, a.inForceDelayAt(ctx, d))
	}
	return longest
}

// inForceDelayAt returns the delay for one daemon, or 0 if the daemon stopped
// before the change was in force there.
func (a acceptedChange) inForceDelayAt(ctx context.Context, d *daemon) time.Duration {
	for {
		if at, ok := d.firstSeenAt(a.Version); ok {
			return max(at.Sub(a.AcceptedAt), 0)
		}
		if d.exitedWithin(0) || d.stopping.Load() {
			return 0
		}
		if time.Since(a.AcceptedAt) > inForceTimeout || sleep(ctx, pollInterval) != nil {
			return inForceTimeout
		}
	}
}
