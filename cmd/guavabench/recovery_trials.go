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
	// shortLease is shorter than storeOutageTime, so that leases expire during
	// the outage.
	shortLease = 30
	// zoneLease is short enough for the tasks of a lost zone to resume within
	// the trial.
	zoneLease = 20
	// endpointAttempts limits the attempts to reopen the endpoint of a
	// restarted worker.
	endpointAttempts = 50
)

var trials = []trial{
	{name: "store away", run: failStore},
	{name: "store away (lease 30 s)", lease: shortLease, run: failStore},
	{name: "daemons replaced", run: replaceDaemons},
	{name: "daemon cut off from the store", run: disconnectDaemon},
	{name: "daemon dies", run: killDaemon},
	{name: "rack fails", run: failRack},
	{name: "rack fails for good (lease 20 s)", lease: zoneLease, run: failRackForGood},
	{name: "zone fails (lease 20 s)", lease: zoneLease, run: failZone},
}

func killDaemon(r *trialRun) error {
	return r.phase("killed", 35*time.Second, nil, func() error {
		r.system.kill(r.system.live()[0])
		return nil
	})
}

// replaceDaemons is a rolling replacement: it stops one daemon gracefully, starts
// a new one and waits until that is ready before it goes on with the next.
func replaceDaemons(r *trialRun) error {
	m := startMonitor(r.system, &r.callers, r.system.runningBatchTasks(), nil)
	for _, n := range r.system.live() {
		r.system.stopNode(n)
		next, err := r.system.startNode()
		if err != nil {
			return err
		}
		r.callers.waitReady(next.daemon.Addresses().Gateway)
	}
	r.finish("seven replaced", m)
	return r.phase("after the last", 25*time.Second, nil, func() error { return nil })
}

func failStore(r *trialRun) error {
	set := func(down bool) func() error {
		return func() error {
			r.system.platform.Table.SetFaults(guavafake.StoreFaults{Down: down})
			r.system.platform.Objects.SetFaults(guavafake.StoreFaults{Down: down})
			return nil
		}
	}
	var workers []guavascale.WorkerID
	if err := r.phase("away", storeOutageTime, nil, set(true)); err != nil {
		return err
	}
	// Tasks whose leases expired must be started again. The empty ID is the
	// worker of tasks that do not run.
	running := r.system.runningBatchTasks()
	if len(running) < recoveryTasks {
		workers = append(workers, "")
	}
	return r.phase("back", 30*time.Second, workers, set(false))
}

func disconnectDaemon(r *trialRun) error {
	n := r.system.live()[0]
	set := func(down bool) func() error {
		return func() error {
			n.proxy.storeDown.Store(down)
			return nil
		}
	}
	if err := r.phase("cut off", 35*time.Second, nil, set(true)); err != nil {
		return err
	}
	return r.phase("connected again", 15*time.Second, nil, set(false))
}

func firstRack() []guavascale.WorkerID {
	var rack []guavascale.WorkerID
	for i := range guavafake.RackSize {
		rack = append(rack, guavascale.WorkerID(fmt.Sprintf("%s-%d", recoveryZones[0], i)))
	}
	return rack
}

func failRackForGood(r *trialRun) error {
	rack := firstRack()
	return r.phase("failed", 55*time.Second, rack, r.applyAction(rack, guavafake.ActionKill))
}

func failRack(r *trialRun) error {
	rack := firstRack()
	if err := r.phase("failed", 20*time.Second, rack, r.applyAction(rack, guavafake.ActionKill)); err != nil {
		return err
	}
	// The tasks of the rack are not running, so they must be started again. The
	// empty ID is the worker of tasks that do not run.
	return r.phase("returned", 25*time.Second, append(rack, ""), r.applyAction(rack, guavafake.ActionRestart))
}

func failZone(r *trialRun) error {
	var zone []guavascale.WorkerID
	for id := range r.system.platform.Endpoints.Counts() {
		if strings.HasPrefix(string(id), string(recoveryZones[1])+"-") {
			zone = append(zone, id)
		}
	}
	return r.phase("failed, taken out", 50*time.Second, zone, func() error {
		if err := r.applyAction(zone, guavafake.ActionKill)(); err != nil {
			return err
		}
		return r.system.submitChange(guavaconfig.Change{Kind: guavaconfig.TakeZoneOut, Name: string(recoveryZones[1])})
	})
}

func (r *trialRun) applyAction(ids []guavascale.WorkerID, action guavafake.WorkerAction) func() error {
	return func() error {
		for _, id := range ids {
			err := r.system.platform.Act(id, action)
			// An outgoing connection may have taken the endpoint's port in the
			// meantime.
			for range endpointAttempts {
				if err == nil || action != guavafake.ActionRestart {
					break
				}
				time.Sleep(sampleInterval)
				err = r.system.platform.Endpoints.Accept(id)
			}
			if err != nil {
				return err
			}
		}
		return nil
	}
}
