package main

import (
	"fmt"
	"strings"
	"time"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
)

const (
	// shortLease is shorter than the store's outage.
	shortLease = 30
	// zoneLease lets the tasks of a lost zone resume within the trial.
	zoneLease = 20
	// acceptAttempts bounds the attempts to open the endpoint of a worker.
	acceptAttempts = 50
)

var trials = []trial{
	{name: "store away", run: awayStore},
	{name: "store away (lease 30 s)", lease: shortLease, run: awayStore},
	{name: "daemons replaced", run: replaceDaemons},
	{name: "daemon cut off from the store", run: cutDaemon},
	{name: "daemon dies", run: killDaemon},
	{name: "rack fails", run: failRack},
	{name: "rack fails for good (lease 20 s)", lease: zoneLease, run: loseRack},
	{name: "zone fails (lease 20 s)", lease: zoneLease, run: failZone},
}

func killDaemon(r *trialRun) error {
	return r.phase("killed", 35*time.Second, nil, func() error {
		r.s.kill(r.s.live()[0])
		return nil
	})
}

// replaceDaemons stops each daemon gracefully, starts a new one and waits until
// it is ready before the next.
func replaceDaemons(r *trialRun) error {
	w := begin(r.s, &r.load, r.s.batchRuns(), nil)
	for _, n := range r.s.live() {
		r.s.stopNode(n)
		next, err := r.s.startNode()
		if err != nil {
			return err
		}
		r.load.waitReady(next.daemon.Addresses().Gateway)
	}
	r.finish("seven replaced", w)
	return r.phase("after the last", 25*time.Second, nil, func() error { return nil })
}

func awayStore(r *trialRun) error {
	set := func(down bool) func() error {
		return func() error {
			r.s.platform.Table.SetFaults(guavafake.StoreFaults{Down: down})
			r.s.platform.Objects.SetFaults(guavafake.StoreFaults{Down: down})
			return nil
		}
	}
	var workers []guavascale.WorkerID
	if err := r.phase("away", storeOutage, nil, set(true)); err != nil {
		return err
	}
	// Tasks whose leases ended have to be started again.
	running := r.s.batchRuns()
	if len(running) < recoveryTasks {
		workers = append(workers, "")
	}
	return r.phase("back", 30*time.Second, workers, set(false))
}

func cutDaemon(r *trialRun) error {
	n := r.s.live()[0]
	set := func(cut bool) func() error {
		return func() error {
			n.link.storeCut.Store(cut)
			return nil
		}
	}
	if err := r.phase("cut off", 35*time.Second, nil, set(true)); err != nil {
		return err
	}
	return r.phase("connected again", 15*time.Second, nil, set(false))
}

func rackOfTrial() []guavascale.WorkerID {
	var rack []guavascale.WorkerID
	for i := range guavafake.RackSize {
		rack = append(rack, guavascale.WorkerID(fmt.Sprintf("%s-%d", recoveryZones[0], i)))
	}
	return rack
}

func loseRack(r *trialRun) error {
	rack := rackOfTrial()
	return r.phase("failed", 55*time.Second, rack, r.act(rack, guavafake.ActionKill))
}

func failRack(r *trialRun) error {
	rack := rackOfTrial()
	if err := r.phase("failed", 20*time.Second, rack, r.act(rack, guavafake.ActionKill)); err != nil {
		return err
	}
	// The tasks of the rack do not run now; they have to be started again.
	return r.phase("returned", 25*time.Second, append(rack, ""), r.act(rack, guavafake.ActionRestart))
}

func failZone(r *trialRun) error {
	var zone []guavascale.WorkerID
	for id := range r.s.platform.Endpoints.Counts() {
		if strings.HasPrefix(string(id), string(recoveryZones[1])+"-") {
			zone = append(zone, id)
		}
	}
	return r.phase("failed, taken out", 50*time.Second, zone, func() error {
		if err := r.act(zone, guavafake.ActionKill)(); err != nil {
			return err
		}
		return r.s.submitted(guavaconfig.Change{Kind: guavaconfig.TakeZoneOut, Name: string(recoveryZones[1])})
	})
}

func (r *trialRun) act(ids []guavascale.WorkerID, a guavafake.WorkerAction) func() error {
	return func() error {
		for _, id := range ids {
			err := r.s.platform.Act(id, a)
			// An outgoing connection may use the endpoint's port meanwhile.
			for range acceptAttempts {
				if err == nil || a != guavafake.ActionRestart {
					break
				}
				time.Sleep(sampleInterval)
				err = r.s.platform.Endpoints.Accept(id)
			}
			if err != nil {
				return err
			}
		}
		return nil
	}
}
