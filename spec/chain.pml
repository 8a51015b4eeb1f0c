/* Commits of successive owners of one shard, in a chain of head rows.
 *
 * Two daemons. A commit is sent once here; it stays deliverable until it is
 * applied or its condition fails, which stands for its copies. A tick is the time
 * for which the owner is the only one after it has sent a commit that was applied.
 * Daemon steps, applications and ticks interleave freely.
 *
 * SAFEGUARDS: NO_CONDITION NO_COMMIT_ID NO_SETTLE SETTLE_BY_READ NUMBER_WITHOUT_SETTLE CONFIRM_FROM_ANSWER CLAIM_FROM_ANSWER NO_OBSERVATION READS_WHILE_RELEASING
 */
#define MAX_ID 5    /* commits with different content, numbered 1..MAX_ID */
#define AUTHORITY 1 /* ticks, counted from when the commit was sent */
#define OBSERVATION 1 /* ticks for which a head is unchanged before it is claimed */

#ifdef NUMBER_WITHOUT_SETTLE
#define NO_COMMIT_ID
#define NO_SETTLE
#endif

/* The head row. The ID of its commit also stands for its version. */
byte headEpoch, headNumber, headId;
byte headOwner = 2;
bool headLeft;

byte next = 1; /* next unused ID */
bool applied[MAX_ID + 1];
bool denied[MAX_ID + 1]; /* history: its outcome was given as not applied */

/* The daemons. */
bool owns[2];                     /* it runs a term */
byte epoch[2], number[2], id[2];  /* the last commit that it knows as applied */
byte sole[2];                     /* ticks for which it takes itself for the only owner */
bool seen[2];
byte seenId[2], silent[2];        /* the head that it observes, and the ticks without a change */

/* Commits: index d is the one that daemon d waits for, d + 2 one that it gave up
 * and that may still be applied. */
mtype = { None, Planned, Claim, Batch, Release };
mtype kind[4] = None;
byte cEpoch[4], cNumber[4], cId[4], cCondition[4];
byte cSole[2]; /* authority that the commit would give */

byte faults = 2; /* commits given up or refused */

#define OPEN(i) (kind[i] != None && kind[i] != Planned)
#ifdef NO_CONDITION
#define HOLDS(i) true
#else
#define HOLDS(i) (cCondition[i] == headId)
#endif
#ifdef NO_COMMIT_ID
#define IS_HEAD(d) (headOwner == d && headEpoch == cEpoch[d] && headNumber == cNumber[d])
#else
#define IS_HEAD(d) (headOwner == d && headEpoch == cEpoch[d] && headNumber == cNumber[d] && headId == cId[d])
#endif
#ifdef NO_OBSERVATION
#define SILENT(d) true
#else
#define SILENT(d) (seen[d] && seenId[d] == headId && silent[d] >= OBSERVATION)
#endif
#ifdef READS_WHILE_RELEASING
#define RELEASING(d) false
#else
#define RELEASING(d) (kind[d] == Release)
#endif

inline clear(i) { kind[i] = None; cEpoch[i] = 0; cNumber[i] = 0; cId[i] = 0; cCondition[i] = 0 }
inline drop(d) { clear(d); cSole[d] = 0 }
inline end(d) { owns[d] = false; sole[d] = 0; epoch[d] = 0; number[d] = 0; id[d] = 0 }

inline send(d, k) {
	kind[d] = k; cEpoch[d] = epoch[d]; cNumber[d] = number[d] + 1; cId[d] = next; next++;
	cCondition[d] = id[d]; cSole[d] = AUTHORITY
}

inline giveUp(d) {
	faults--;
	kind[d + 2] = kind[d]; cEpoch[d + 2] = cEpoch[d]; cNumber[d + 2] = cNumber[d];
	cId[d + 2] = cId[d]; cCondition[d + 2] = cCondition[d]; drop(d)
}

/* The daemon takes its commit for applied. */
inline confirm(d) {
	assert(applied[cId[d]]); /* its rows are stored */
	if
	:: kind[d] == Release -> end(d)
	:: else ->
		owns[d] = true; epoch[d] = cEpoch[d]; number[d] = cNumber[d]; id[d] = headId;
#ifdef CONFIRM_FROM_ANSWER
		sole[d] = AUTHORITY
#else
#ifdef CLAIM_FROM_ANSWER
		sole[d] = (kind[d] == Claim -> AUTHORITY : cSole[d])
#else
		sole[d] = cSole[d]
#endif
#endif
	fi;
	drop(d)
}

inline apply(i, d) {
	assert(!denied[cId[i]]); /* nobody was told that it was not applied */
	headEpoch = cEpoch[i]; headNumber = cNumber[i]; headId = cId[i]; headOwner = d;
	headLeft = (kind[i] == Release); applied[cId[i]] = true
}

proctype Daemon(byte d) {
	do
	/* Reads the head, and later sends the claim that follows it. */
	:: d_step { !owns[d] && (!seen[d] || seenId[d] != headId) -> seen[d] = true; seenId[d] = headId; silent[d] = 0 }
	:: d_step { !owns[d] && kind[d] == None && next <= MAX_ID && (SILENT(d) || headId == 0 || headLeft) ->
		kind[d] = Planned; cEpoch[d] = headEpoch + 1; cNumber[d] = 1; cCondition[d] = headId; cId[d] = next; next++ }
	:: d_step { kind[d] == Planned -> kind[d] = Claim; cSole[d] = AUTHORITY }
	/* An owner commits rows, or releases the shard. */
	:: d_step { owns[d] && kind[d] == None && next <= MAX_ID -> send(d, Batch) }
	:: d_step { owns[d] && kind[d] == None && next <= MAX_ID -> send(d, Release) }
	/* The answer arrives. */
	:: d_step { OPEN(d) && applied[cId[d]] && headId == cId[d] -> confirm(d) }
	/* A copy has failed its condition: the daemon reads the head. */
	:: d_step { OPEN(d) && cCondition[d] != headId ->
		if
		:: IS_HEAD(d) -> confirm(d)
		:: else ->
			assert(!owns[d] || headEpoch != epoch[d]); /* a term is lost only to another claim */
			end(d); drop(d)
		fi }
	/* The store refuses it. */
	:: d_step { OPEN(d) && !applied[cId[d]] && faults > 0 -> faults--; denied[cId[d]] = true; drop(d) }
	/* The wait ends early: a claim is given up for another one, a term ends. */
	:: d_step { OPEN(d) && kind[d + 2] == None && faults > 0 ->
#ifndef NO_SETTLE
		end(d);
#endif
		giveUp(d) }
#ifdef SETTLE_BY_READ
	/* The head shows that it was not applied. */
	:: d_step { OPEN(d) && kind[d + 2] == None && faults > 0 && cCondition[d] == headId -> denied[cId[d]] = true; giveUp(d) }
#endif
	/* Answers a read, or takes a lease as expired. */
	:: d_step { owns[d] && sole[d] > 0 && !RELEASING(d) -> assert(headOwner == d && headEpoch == epoch[d] && !headLeft) }
	od
}

proctype Store() {
	do
	:: d_step { OPEN(0) && !applied[cId[0]] && HOLDS(0) -> apply(0, 0) }
	:: d_step { OPEN(1) && !applied[cId[1]] && HOLDS(1) -> apply(1, 1) }
	:: d_step { OPEN(2) && HOLDS(2) -> apply(2, 0); clear(2) }
	:: d_step { OPEN(3) && HOLDS(3) -> apply(3, 1); clear(3) }
	:: d_step { OPEN(2) && !HOLDS(2) -> clear(2) }
	:: d_step { OPEN(3) && !HOLDS(3) -> clear(3) }
	od
}

inline tick(d) {
	if :: sole[d] > 0 -> sole[d]-- :: else fi;
	if :: cSole[d] > 0 -> cSole[d]-- :: else fi;
	if :: seen[d] && silent[d] < OBSERVATION -> silent[d]++ :: else fi
}

proctype Clock() { do :: d_step { true -> tick(0); tick(1) } od }

init { run Daemon(0); run Daemon(1); run Store(); run Clock() }
