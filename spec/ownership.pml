/* Ownership of a partition: session leases, takeover, epochs and release.
 *
 * Two daemons, one partition and at most MAX_SESSION sessions in total. A tick
 * is the interval between two reads of a session row. Daemon steps and ticks
 * interleave freely, so a daemon may be paused between any two of its steps.
 *
 * SAFEGUARDS: NO_EPOCH_CHECK NO_RECHECK_AFTER_PAUSE NO_SESSION_FENCE NO_SESSION_CONDITION NO_LEASE_WAIT NO_READ_BACK LEASE_FROM_ANSWER NO_READ_RESTART NO_GAP_RESTART RESUME_AFTER_RELEASE
 * PROGRESS: owned
 * PROGRESS-SAFEGUARDS: NO_ADOPT_OWN_ROW
 */
#define MAX_SESSION 3 /* sessions are numbered 1..MAX_SESSION */
#ifdef PROGRESS
#define MAX_EPOCH 8 /* highest epoch; not reached in the progress check */
#else
#define MAX_EPOCH 4
#endif
#define AUTHORITY 1 /* ticks of authority, counted from the start of a renewal (9 s) */
#define OBSERVATION 2 /* ticks that a session must be observed before a takeover (11 s) */

/* The store. */
bool up = true;            /* it is available */
bool upInTick = true;      /* it was available at some point in this tick */
bool row[MAX_SESSION + 1]; /* Session/<i> exists */
byte owner = 1;            /* session in the owner row; 0 if released */
byte epoch = 1;
byte next = 3;             /* next unused session number */

/* The daemons. */
byte session[2];        /* current session; 0 before its row is written */
byte authority[2];      /* remaining ticks of authority to act as owner */
mtype = { None, Sent, Effective, Rejected, Takeover, Release, FenceOnly };
mtype renew[2] = None;
byte renewAuthority[2]; /* authority that the renewal in flight would grant */
bool due[2];            /* a renewal is due; progress check only */
byte heldEpoch[2];      /* epoch in which it is the owner according to its own state; 0 if it is not */

/* Observation of the session in the owner row. */
byte observed[2];        /* observed session; 0 for none */
byte observedTicks[2];   /* number of ticks in which its row did not change */
byte observedUpTicks[2]; /* history: number of these ticks since the last one in which the store was down throughout */
byte readResult[2];      /* read in this tick: 0 none, 1 succeeded, 2 failed */

/* The commit in flight of each daemon, at most one. FenceOnly is a takeover of
 * another partition of the same owner, which here only deletes the session row. */
mtype kind[2] = None;
byte fencedSession[2]; /* session whose row it deletes; 0 if the partition was released or the row is gone */
byte sender[2];        /* session that sent the commit */
bool conflict[2];      /* a row in its conditions has changed */
bool applied[2];
bool timedOut[2];      /* the sender timed out, and its read-back showed no effect */

/* At most one log append in flight, sent by daemon 0, the first owner. */
bool appendSent, appendConflict;

/* Bounds on the environment. */
byte outages = 1;
byte faults = 2;   /* lost responses, killed daemons and releases in total */
byte overruns = 2; /* ticks that pass while a step is due; progress check only */

#ifdef NO_RECHECK_AFTER_PAUSE
#define VALID(d) true
#else
#define VALID(d) (authority[d] > 0)
#endif
#ifdef NO_LEASE_WAIT
#define WAITED(d) true
#else
#define WAITED(d) (observedTicks[d] >= OBSERVATION && readResult[d] == 1)
#endif
#ifdef NO_READ_RESTART
#define COUNTS(d) (readResult[d] != 0)
#else
#ifdef NO_GAP_RESTART
#define COUNTS(d) (readResult[d] != 2)
#else
#define COUNTS(d) (readResult[d] == 1)
#endif
#endif
#define CAN_COMMIT(d) (session[d] && up && kind[d] == None)
#define CAN_TAKE_OVER(d) (CAN_COMMIT(d) && authority[d] > 0 && epoch < MAX_EPOCH && owner != session[d] && (owner == 0 || !row[owner]))
#define CAN_FENCE(d) (CAN_COMMIT(d) && authority[d] > 0 && observed[d] && observed[d] == owner && OBSERVABLE(d) && WAITED(d))
#define CAN_ADOPT(d) (CAN_COMMIT(d) && owner == session[d] && heldEpoch[d] == 0)
#ifdef NO_ADOPT_OWN_ROW
#define ADOPTED(d) true
#else
#define ADOPTED(d) !CAN_ADOPT(d)
#endif
#ifdef PROGRESS
#define DUE(d) due[d]
#define SAFETY false
#define READY(d) (session[d] == 0 && next > MAX_SESSION || !up || \
	session[d] && renew[d] == None && !due[d] && kind[d] == None && (readResult[d] || !OBSERVABLE(d)) && !CAN_TAKE_OVER(d) && !CAN_FENCE(d) && ADOPTED(d))
#define TICK (overruns > 0 || READY(0) && READY(1))
#else
#define DUE(d) true
#define SAFETY true
#define TICK true
#endif
#define OBSERVABLE(d) (owner && owner != session[d] && row[owner])
#define OWNS(d) (session[d] && heldEpoch[d] && owner == session[d] && epoch == heldEpoch[d])

/* A write of Session/<i> resets observations of that row. Commits that are conditional on it fail. */
inline sessionChanged(i) {
	if :: observed[0] == i -> observed[0] = 0; observedTicks[0] = 0; readResult[0] = 0; observedUpTicks[0] = 0 :: else fi;
	if :: observed[1] == i -> observed[1] = 0; observedTicks[1] = 0; readResult[1] = 0; observedUpTicks[1] = 0 :: else fi;
#ifndef NO_SESSION_CONDITION
	if :: kind[0] != None && fencedSession[0] == i && !applied[0] -> conflict[0] = true :: else fi;
	if :: kind[1] != None && fencedSession[1] == i && !applied[1] -> conflict[1] = true :: else fi
#endif
}

inline ownerChanged() {
	if :: kind[0] != None && kind[0] != FenceOnly && !applied[0] -> conflict[0] = true :: else fi;
	if :: kind[1] != None && kind[1] != FenceOnly && !applied[1] -> conflict[1] = true :: else fi;
	appendConflict = appendSent
}

inline dropSession(d) {
	heldEpoch[d] = 0; session[d] = 0; authority[d] = 0; renew[d] = None; renewAuthority[d] = 0;
	due[d] = false; observed[d] = 0; observedTicks[d] = 0; readResult[d] = 0; observedUpTicks[d] = 0
}

inline finish(d) {
	kind[d] = None; fencedSession[d] = 0; sender[d] = 0; conflict[d] = false; applied[d] = false; timedOut[d] = false
}

inline gainAuthority(d) {
	authority[d] = (renewAuthority[d] > authority[d] -> renewAuthority[d] : authority[d]);
	renew[d] = None; renewAuthority[d] = 0
}

inline send(d, k, v) { kind[d] = k; fencedSession[d] = v; sender[d] = session[d] }

proctype Daemon(byte d) {
	do
	:: d_step { session[d] == 0 && up && next <= MAX_SESSION ->
		session[d] = next; row[next] = true; next++; authority[d] = AUTHORITY }
	/* Renews its session. After a lost response it reads the row back, which is equivalent to a late response. */
	:: d_step { session[d] && DUE(d) && renew[d] == None -> renew[d] = Sent; renewAuthority[d] = AUTHORITY; due[d] = false }
	:: d_step { renew[d] == Effective && up ->
#ifdef LEASE_FROM_ANSWER
		renewAuthority[d] = AUTHORITY;
#endif
		gainAuthority(d) }
	:: d_step { renew[d] == Rejected && up -> dropSession(d) }
#ifdef NO_READ_BACK
	:: d_step { renew[d] != None && faults > 0 -> faults--; gainAuthority(d) }
#endif
	/* Is killed and restarts with a new session. */
	:: d_step { session[d] && next <= MAX_SESSION && faults > 0 -> faults--; dropSession(d) }
	/* Acts as owner; the authority check is part of the same step. */
	:: d_step { SAFETY && heldEpoch[d] && VALID(d) -> assert(OWNS(d)) }
	/* Sends a log append; the commit may reach the store much later. */
	:: d_step { SAFETY && d == 0 && heldEpoch[d] && VALID(d) && !appendSent -> appendSent = true; appendConflict = !OWNS(d) }
	/* Reads the owner's session row. */
	:: d_step { session[d] && readResult[d] == 0 && (observed[d] || up && OBSERVABLE(d)) ->
		if
		:: !up -> readResult[d] = 2
		:: up && observed[d] == owner -> readResult[d] = 1
		:: up && observed[d] != owner && OBSERVABLE(d) -> observed[d] = owner; observedTicks[d] = 0; observedUpTicks[d] = 0; readResult[d] = 1
		:: else -> observed[d] = 0; observedTicks[d] = 0; observedUpTicks[d] = 0
		fi }
	/* Takes over a partition that was released, whose session row is gone, or whose session was observed without change for long enough. */
	:: d_step { CAN_TAKE_OVER(d) ->
		send(d, Takeover, 0) }
	:: d_step { CAN_FENCE(d) && epoch < MAX_EPOCH ->
#ifndef NO_LEASE_WAIT
		assert(observedUpTicks[d] >= OBSERVATION); /* an owner that was able to renew is never displaced */
#endif
		send(d, Takeover, owner) }
	:: d_step { CAN_FENCE(d) ->
		send(d, FenceOnly, owner) }
#ifndef NO_ADOPT_OWN_ROW
	/* Adopts a partition whose owner row contains its session, whatever it assumed about the outcome of the takeover. */
	:: d_step { CAN_ADOPT(d) -> heldEpoch[d] = epoch }
#endif
	/* Releases the partition: stops acting as owner, then clears the owner row. */
	:: d_step { session[d] && up && authority[d] > 0 && kind[d] == None && OWNS(d) && faults > 0 ->
		faults--; heldEpoch[d] = 0; send(d, Release, 0) }
	/* The response to the commit arrives. */
	:: d_step { kind[d] != None && applied[d] && up ->
		if :: kind[d] == Takeover && !timedOut[d] && sender[d] == session[d] && owner == session[d] -> heldEpoch[d] = epoch :: else fi;
		finish(d) }
	:: d_step { kind[d] != None && conflict[d] && up -> finish(d) }
	/* The commit times out and the read-back shows no effect, but the commit is still in flight. */
	:: d_step { kind[d] != None && !applied[d] && !timedOut[d] && up && faults > 0 -> faults--; timedOut[d] = true;
#ifdef RESUME_AFTER_RELEASE
		if :: kind[d] == Release && sender[d] == session[d] && owner == session[d] -> heldEpoch[d] = epoch :: else fi
#endif
		}
	od
}

inline apply(d) {
	if
	:: fencedSession[d] ->
#ifndef NO_SESSION_FENCE
		row[fencedSession[d]] = false; sessionChanged(fencedSession[d])
#endif
	:: else
	fi;
	if
	:: kind[d] == Takeover -> owner = sender[d]; epoch++; applied[d] = true; ownerChanged()
	:: kind[d] == Release -> owner = 0; applied[d] = true; ownerChanged()
	:: else -> applied[d] = true
	fi;
	conflict[d] = false
}

proctype Store() {
	do
	:: d_step { up && renew[0] == Sent -> if :: row[session[0]] -> renew[0] = Effective; sessionChanged(session[0]) :: else -> renew[0] = Rejected fi }
	:: d_step { up && renew[1] == Sent -> if :: row[session[1]] -> renew[1] = Effective; sessionChanged(session[1]) :: else -> renew[1] = Rejected fi }
	:: d_step { up && kind[0] != None && !applied[0] && !conflict[0] -> apply(0) }
	:: d_step { up && kind[1] != None && !applied[1] && !conflict[1] -> apply(1) }
	:: d_step { up && appendSent ->
#ifdef NO_EPOCH_CHECK
		assert(!appendConflict); /* appends are accepted only from the current owner */
#endif
		appendSent = false; appendConflict = false }
	:: d_step { up && outages > 0 -> outages--; up = false }
	:: d_step { !up -> up = true; upInTick = true }
	od
}

inline tick(d) {
	if :: authority[d] > 0 -> authority[d]-- :: else fi;
	if :: renewAuthority[d] > 0 -> renewAuthority[d]-- :: else fi;
#ifdef PROGRESS
	due[d] = (session[d] != 0);
#endif
	if
	:: observed[d] && COUNTS(d) ->
		if :: observedTicks[d] < OBSERVATION -> observedTicks[d]++ :: else fi;
		if :: !upInTick -> observedUpTicks[d] = 0 :: upInTick && observedUpTicks[d] < OBSERVATION -> observedUpTicks[d]++ :: else fi
	:: else -> observed[d] = 0; observedTicks[d] = 0; observedUpTicks[d] = 0
	fi;
	readResult[d] = 0
}

proctype Clock() {
	do
	:: d_step { TICK ->
#ifdef PROGRESS
		if :: READY(0) && READY(1) :: else -> overruns-- fi;
#endif
		tick(0); tick(1); upInTick = up }
	od
}

init {
	d_step {
		session[0] = 1; row[1] = true; authority[0] = AUTHORITY; heldEpoch[0] = 1;
		session[1] = 2; row[2] = true; authority[1] = AUTHORITY
	}
	run Daemon(0); run Daemon(1); run Store(); run Clock()
}

ltl owned { <> [] (OWNS(0) || OWNS(1)) }
