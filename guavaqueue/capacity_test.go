package guavaqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

type (
	// roomHistory is the capacity that a worker has had. Until it changes for the first
	// time, it is the one in the platform's list of workers.
	roomHistory struct {
		changes []roomChange
		// unguarded workers start whatever they are told to.
		unguarded bool
	}

	roomChange struct {
		at   time.Time
		room guavascale.Resources
	}
)

// testRoomDelay is how long after it has shrunk the former room of a worker may be used:
// the platform's contactMs and one heartbeat.
const testRoomDelay = 4500 * time.Millisecond

// setRoom changes the room of a worker. The platform lists it with the next reportRooms.
func (f *fleet) setRoom(w *fakeWorker, room guavascale.Resources) {
	if len(w.rooms.changes) == 0 {
		w.rooms.changes = []roomChange{{testEpoch, w.info.Capacity}}
	}
	w.rooms.changes = append(w.rooms.changes, roomChange{f.now, room})
}

// setRooms changes the rooms of all workers and lists them.
func (f *fleet) setRooms(room guavascale.Resources) {
	for _, w := range f.workers {
		f.setRoom(w, room)
	}
	f.reportRooms()
}

// reportRooms lists all workers with the rooms that they have now.
func (f *fleet) reportRooms() {
	for _, w := range f.workers {
		w.info.Capacity = w.room()
	}
	f.listWorkers()
}

func (w *fakeWorker) room() guavascale.Resources {
	if n := len(w.rooms.changes); n > 0 {
		return w.rooms.changes[n-1].room
	}
	return w.info.Capacity
}

// usableRoom returns the room that may be used at a given time: the most that the worker
// has had within testRoomDelay.
func (w *fakeWorker) usableRoom(at time.Time) guavascale.Resources {
	if len(w.rooms.changes) == 0 {
		return w.info.Capacity
	}
	most := guavascale.Resources{}
	for i, c := range w.rooms.changes {
		if i+1 < len(w.rooms.changes) && w.rooms.changes[i+1].at.Before(at.Add(-testRoomDelay)) {
			continue
		}
		most = most.Max(c.room)
	}
	return most
}

// admits reports whether a worker carries out a start with which its runs use so much. It
// fails the test if a worker that doesn't guard its room is brought over it.
func (f *fleet) admits(w *fakeWorker, r guavascale.Run, used guavascale.Resources, sent time.Time) bool {
	if !w.rooms.unguarded {
		return w.room().Fits(used)
	}
	if room := w.usableRoom(sent); !room.Fits(used) {
		f.t.Fatalf("%s: %v, sent at %s, brings %s to %+v, over its room %+v", f.elapsed(), r, sent.Sub(testEpoch), w.info.ID, used, room)
	}
	return true
}

func newUnguardedFleet(t *testing.T, workers int) *fleet {
	f := newFleet(t, workers)
	for _, w := range f.workers {
		w.rooms.unguarded = true
	}
	f.advance(time.Second)
	return f
}

func cores(n int64) guavascale.Resources {
	return guavascale.Resources{MilliCores: 1000 * n, MemoryMB: 8000}
}

// Guards against a start without an answer that is repeated after the worker's room has
// shrunk (LIMIT).
func TestRepeatedStartStaysWithinShrunkRoom(t *testing.T) {
	f := newUnguardedFleet(t, 2)
	f.lostStartShare, f.maxStartDelay = 1, time.Hour
	s := batchOf("a", 1, 1, time.Second)
	s.Steps[0].Size.MilliCores = 3000
	f.submit(s)
	f.advance(100 * time.Millisecond)
	for id, w := range f.workers {
		if len(f.engine.workers[id].runs) > 0 {
			f.setRoom(w, cores(2))
		}
	}
	f.advance(testRoomDelay)
	f.reportRooms()
	f.lostStartShare, f.delayedStarts = 0, nil
	f.advance(5 * time.Second)
	assert.Equal(t, map[guavascale.SubmissionState]int{guavascale.SubmissionCompleted: 1}, f.countStates())
}

// Guards against a start that is ordered once it is stored, after the worker's room has
// shrunk meanwhile (LIMIT).
func TestStoredStartStaysWithinShrunkRoom(t *testing.T) {
	for _, gang := range []bool{false, true} {
		f := newUnguardedFleet(t, 2)
		s := batchOf("a", 1, 2, time.Second)
		s.Steps[0].Size.MilliCores, s.Steps[0].Gang = 3000, gang
		f.submit(s)
		f.tick()
		require.True(t, f.accepted["a"])
		for _, task := range f.engine.subs["a"].steps[0].tasks {
			task.record.Doubts = 1
		}
		f.holdCommits = true
		f.advance(time.Second)
		require.Len(t, f.engine.recording, 2)
		f.setRoom(f.workers["w0"], cores(2))
		f.reportRooms()
		f.advance(5 * time.Second)
		f.holdCommits = false
		f.advance(3 * time.Second)
		f.setRoom(f.workers["w0"], cores(4))
		f.reportRooms()
		f.advance(20 * time.Second)
		assert.Equal(t, map[guavascale.SubmissionState]int{guavascale.SubmissionCompleted: 1}, f.countStates(), "gang %t", gang)
	}
}

// Guards against accepted fillers that have nothing running although memory is free on all
// workers, since no worker has as many processors as they declare any more (LOST).
func TestFillersRunOnShrunkWorkers(t *testing.T) {
	cases := map[string]struct {
		// services is set if each worker has a service.
		services bool
		target   time.Duration
		room     guavascale.Resources
	}{
		"too late":                  {target: 10 * time.Millisecond, room: guavascale.Resources{MilliCores: 1000, MemoryMB: 8000}},
		"in time":                   {target: time.Hour, room: guavascale.Resources{MilliCores: 1000, MemoryMB: 8000}},
		"too late, beside services": {services: true, target: 10 * time.Millisecond, room: guavascale.Resources{MilliCores: 2000, MemoryMB: 8000}},
		"in time, beside services":  {services: true, target: time.Hour, room: guavascale.Resources{MilliCores: 2000, MemoryMB: 8000}},
		"no change":                 {services: true, target: time.Hour, room: cores(4)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 4)
			f.catalog.Queues[1].Slack, f.catalog.Queues[1].Target = 0, c.target
			if c.services {
				s := serviceOf("service", 4)
				s.Steps[0].Kind, s.Steps[0].Target, s.Steps[0].MaxPerWorker = "a", 18*time.Millisecond, 1
				f.submit(s)
			}
			for _, w := range f.workers {
				w.tailLatency = 5 * time.Millisecond
			}
			f.advance(time.Second)
			for i := range 4 {
				s := fillersOf(fmt.Sprint("filler", i), "filler", 1, time.Minute)
				s.Steps[0].Size.MilliCores = 3900
				f.submit(s)
			}
			f.setRooms(c.room)
			f.advance(3 * time.Second)
			assert.Equal(t, 4, f.countRunning("filler"))
		})
	}
}

// Guards against a rejection of work that fits again once rooms have grown back: callers
// don't repeat it.
func TestSubmissionIsAcceptedWhileRoomsAreShrunk(t *testing.T) {
	f := newFleet(t, 2)
	f.setRooms(guavascale.Resources{})
	s := batchOf("a", 1, 4, time.Second)
	s.Steps[0].Size.MilliCores = 3000
	f.submit(s)
	f.advance(3 * time.Second)
	assert.True(t, f.accepted["a"])
	assert.Zero(t, f.starts)
	f.setRooms(cores(4))
	f.advance(4 * time.Second)
	assert.Equal(t, map[guavascale.SubmissionState]int{guavascale.SubmissionCompleted: 1}, f.countStates())

	f.setRooms(cores(2))
	for _, w := range f.workers {
		f.restartWorker(w)
	}
	f.advance(3 * time.Second)
	f.listWorkers()
	var rejected *guavascale.RejectedError
	s.ID = "b"
	require.ErrorAs(t, f.engine.Submit(f.now, s, nil), &rejected, "a new boot may have another room for good")
}

// Guards against starts on workers that may have shrunk, and against unanswered ones that
// are repeated there, while the owner can't read the list of workers (LIMIT).
func TestOldCapacitiesAreNotUsed(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		f := newFleet(t, 1)
		f.catalog.Pools = []guavascale.Pool{{Service: "desk", Guarded: guarded}}
		f.lostStartShare, f.maxStartDelay = 1, time.Hour
		f.submit(batchOf("lost", 1, 1, time.Minute))
		f.advance(100 * time.Millisecond)
		f.capacityIsOld, f.lostStartShare, f.delayedStarts = true, 0, nil
		f.submit(batchOf("new", 1, 1, time.Minute))
		f.advance(3 * time.Second)
		want := 0
		if guarded {
			want = 2
		}
		assert.Equal(t, want, f.starts, "guarded %t", guarded)
		f.capacityIsOld = false
		f.advance(time.Second)
		assert.Equal(t, 2, f.starts, "guarded %t", guarded)
	}
}

// Guards against a new owner that starts work beside runs of a cancelled submission that are
// still being stopped (LIMIT).
func TestNewOwnerCountsRunsOfCancelledWork(t *testing.T) {
	large := func(id string) guavascale.Submission {
		s := batchOf(id, 1, 2, time.Minute)
		s.Steps[0].Size.MilliCores = 3000
		return s
	}
	f := newUnguardedFleet(t, 2)
	f.submit(large("a"))
	f.advance(time.Second)
	require.Equal(t, 2, f.countRunning("a"))
	f.engine.Cancel(f.now, "a", func(guavascale.SubmissionState) {})
	f.commit()
	f.replaceOwner()
	f.submit(large("b"))
	f.advance(2 * time.Second)
	assert.Equal(t, 0, f.countRunning("a"))
	assert.Equal(t, 2, f.countRunning("b"))
}
