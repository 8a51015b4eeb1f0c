package main

import (
	"context"
	"time"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
)

type (
	// closedZone is an availability zone that was taken out of service, and the
	// period in which nothing may start or run there.
	closedZone struct {
		cluster *cluster
		zone    guavascale.Zone
		// checkFrom is the time from which nothing may start or run in the zone.
		// checkUntil is when the change that brings it back was submitted.
		checkFrom  time.Time
		checkUntil time.Time
		// requestsBefore and requestsAfter are the numbers of requests that had
		// run at its endpoints at these times.
		requestsBefore int
		requestsAfter  int
	}
)

// zoneOutLimit is the guaranteed time after which, in a zone that was taken out
// of service, no task starts and no endpoint gets a request.
const zoneOutLimit = 3 * time.Second

// closeZone takes a zone out of service, brings it back after the duration out
// and returns the period in between that is to be checked. It calls during at
// the start of that period.
func closeZone(ctx context.Context, o *operator, zone guavascale.Zone, out time.Duration, during func()) (closedZone, error) {
	z := closedZone{cluster: o.cluster, zone: zone}
	a, err := o.submitChange(ctx, guavaconfig.Change{Kind: guavaconfig.TakeZoneOut, Name: string(zone)})
	if err != nil {
		return z, err
	}
	z.checkFrom = a.AcceptedAt.Add(zoneOutLimit)
	if err := sleep(ctx, time.Until(z.checkFrom)); err != nil {
		return z, err
	}
	if z.requestsBefore, err = z.requests(); err != nil {
		return z, err
	}
	during()
	if err := sleep(ctx, time.Until(a.AcceptedAt.Add(out))); err != nil {
		return z, err
	}
	if z.requestsAfter, err = z.requests(); err != nil {
		return z, err
	}
	z.checkUntil = time.Now()
	_, err = o.submitChange(ctx, guavaconfig.Change{Kind: guavaconfig.BringZoneBack, Name: string(zone)})
	return z, err
}

// requests returns the number of requests that ran in the zone so far.
func (z *closedZone) requests() (int, error) {
	workers, err := z.cluster.workers(z.zone)
	if err != nil {
		return 0, err
	}
	state, err := z.cluster.control.State()
	if err != nil {
		return 0, err
	}
	n := 0
	for _, w := range workers {
		n += state.Endpoints[w].Runs
	}
	return n, nil
}

// starts returns the attempts that were started in the zone from checkFrom to
// checkUntil.
func (z *closedZone) starts(v guavafake.Verdict) []guavafake.Start {
	var list []guavafake.Start
	for _, s := range v.StartsByZone[z.zone] {
		if s.At.After(z.checkFrom) && s.At.Before(z.checkUntil) {
			list = append(list, s)
		}
	}
	return list
}
