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
	// accepted is a configuration change that the system accepted.
	accepted struct {
		ID      string
		Change  string
		Version uint64
		At      time.Time
		// Live holds the daemons that were ready when it was accepted.
		Live []*daemon
	}

	// operator makes changes through random ready daemons, each with one ID
	// until it is settled.
	operator struct {
		cluster *cluster
		changes []accepted
	}
)

const (
	operatorPause = 100 * time.Millisecond
	// inForceLimit is the promised time until a configuration is in force
	// everywhere, at today's sizes.
	inForceLimit = 3 * time.Second
	// inForceWait bounds the wait for it.
	inForceWait = 10 * time.Second
)

// change submits a change, based on the newest version, until it is accepted.
func (o *operator) change(ctx context.Context, c guavaconfig.Change) (accepted, error) {
	c.ID = guavaconfig.NewID()
	for {
		r, err := o.submit(ctx, c)
		if err == nil {
			a := accepted{ID: c.ID, Change: string(c.Kind), Version: r.Version, At: time.Now(), Live: o.cluster.ready()}
			o.changes = append(o.changes, a)
			return a, nil
		}
		if !retriable(err) {
			return accepted{}, fmt.Errorf("%s: %w", c.Kind, err)
		}
		if pause(ctx, operatorPause) != nil {
			return accepted{}, fmt.Errorf("%s was not accepted in time: %w", c.Kind, err)
		}
	}
}

func (o *operator) submit(ctx context.Context, c guavaconfig.Change) (guavaoperator.ChangeResult, error) {
	d, err := o.daemon()
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

// declare declares a job until it is accepted; the job's ID makes repeats
// harmless.
func (o *operator) declare(ctx context.Context, job guavascale.Job) error {
	for {
		d, err := o.daemon()
		if err == nil {
			_, err = d.operator.DeclareJob(ctx, guavaoperator.JobRequest{ID: job.ID, Job: job})
		}
		if err == nil || !retriable(err) {
			return err
		}
		if pause(ctx, operatorPause) != nil {
			return fmt.Errorf("job %s was not accepted in time: %w", job.ID, err)
		}
	}
}

func (o *operator) daemon() (*daemon, error) {
	if d := o.cluster.pick(nil); d != nil {
		return d, nil
	}
	return nil, &guavascale.UnavailableError{System: "every daemon", Op: "operator call", Cause: errors.New("none is ready")}
}

// retriable reports whether a call may succeed when it is repeated with the
// same ID.
func retriable(err error) bool {
	var (
		conflict *guavascale.ConflictError
		down     *guavascale.UnavailableError
	)
	return errors.As(err, &conflict) || errors.As(err, &down)
}

// await waits until the job has ended.
func (o *operator) await(ctx context.Context, job string) (guavaoperator.JobStatus, error) {
	var last guavaoperator.JobStatus
	for {
		if d, err := o.daemon(); err == nil {
			if st, err := d.operator.Job(ctx, job); err == nil {
				last = st
			}
		}
		switch last.State {
		case guavaoperator.JobDone, guavaoperator.JobFailed, guavaoperator.JobCancelled:
			return last, nil
		}
		if pause(ctx, operatorPause) != nil {
			return last, fmt.Errorf("job %s is %s with tasks %v", job, last.State, last.Tasks)
		}
	}
}

// inForce returns the longest time from the acceptance of a change until all
// daemons that were ready then and still run had it in force; it is inForceWait
// when one never had.
func (a accepted) inForce(ctx context.Context) time.Duration {
	var longest time.Duration
	for _, d := range a.Live {
		longest = max(longest, a.inForceAt(ctx, d))
	}
	return longest
}

func (a accepted) inForceAt(ctx context.Context, d *daemon) time.Duration {
	for {
		if at, ok := d.sawAt(a.Version); ok {
			return max(at.Sub(a.At), 0)
		}
		if d.ended(0) || d.stopping.Load() {
			return 0
		}
		if time.Since(a.At) > inForceWait || pause(ctx, pollInterval) != nil {
			return inForceWait
		}
	}
}
