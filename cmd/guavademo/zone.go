package main

import (
	"context"
	"time"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
)

type (
	// closedZone is an availability zone during the time it is out.
	closedZone struct {
		cluster *cluster
		zone    guavascale.Zone
		// since is when the zone must be quiet, until is when its return was
		// submitted.
		since time.Time
		until time.Time
		// before and after are the runs of requests at its endpoints at these
		// times.
		before int
		after  int
	}
)

// zoneGrace is the promised time after which nothing starts in a zone that was
// taken out, and after which its endpoints get no request.
const zoneGrace = 3 * time.Second

// closeZone takes a zone out, keeps it out for a time and brings it back. It
// calls during once the zone must be quiet.
func closeZone(ctx context.Context, o *operator, zone guavascale.Zone, out time.Duration, during func()) (closedZone, error) {
	z := closedZone{cluster: o.cluster, zone: zone}
	a, err := o.change(ctx, guavaconfig.Change{Kind: guavaconfig.TakeZoneOut, Name: string(zone)})
	if err != nil {
		return z, err
	}
	z.since = a.At.Add(zoneGrace)
	if err := pause(ctx, time.Until(z.since)); err != nil {
		return z, err
	}
	if z.before, err = z.requests(); err != nil {
		return z, err
	}
	during()
	if err := pause(ctx, time.Until(a.At.Add(out))); err != nil {
		return z, err
	}
	if z.after, err = z.requests(); err != nil {
		return z, err
	}
	z.until = time.Now()
	_, err = o.change(ctx, guavaconfig.Change{Kind: guavaconfig.BringZoneBack, Name: string(zone)})
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

// starts returns the starts in the zone while it had to be quiet.
func (z *closedZone) starts(v guavafake.Verdict) []guavafake.Start {
	var list []guavafake.Start
	for _, s := range v.StartsByZone[z.zone] {
		if s.At.After(z.since) && s.At.Before(z.until) {
			list = append(list, s)
		}
	}
	return list
}
