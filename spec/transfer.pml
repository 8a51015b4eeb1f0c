/* Hand-over of a task between two shards through an inbox row.
 *
 * Shards 0 and 1 each have a log in the store and an owner with an in-memory
 * copy of its state. A commit contains either a HandedOver record and the inbox
 * row, or a Received record and the deletion of the inbox row. Its response may
 * be lost, and the commit may still take effect after the owner has read back
 * that it did not. A new owner restores its state from the log.
 *
 * SAFEGUARDS: NO_SEQ_CONDITION NO_ATOMIC_TRANSFER READ_BACK_INBOX BLIND_RETRY
 * USELESS: NO_EPOCH_CHECK NO_READ_BACK NO_INBOX_CONDITION
 */
#define MAX_SEQ 3

/* The store. */
byte epoch[2] = 1;
byte seq[2];    /* number of records in the log of the shard */
bool logged[2]; /* according to the log, the shard holds the task */
bool inbox[2];  /* Inbox/<s>/<task> exists */

/* The owners. */
byte ownEpoch[2] = 1; /* epoch in which the owner acts */
byte ownSeq[2];       /* the owner's position in the log */
bool holds[2];        /* according to the owner, the shard holds the task */

/* The commit in flight of each shard, at most one. */
mtype = { None, HandOver, Receive };
mtype kind[2] = None;
byte commitEpoch[2], commitSeq[2];
bool waiting[2]; /* the owner waits for the response */
bool applied[2], failed[2];

byte faults = 3; /* lost responses and owner changes in total */

#ifdef NO_EPOCH_CHECK
#define CURRENT(s) true
#else
#define CURRENT(s) (commitEpoch[s] == epoch[s])
#endif
#ifdef NO_SEQ_CONDITION
#define SEQ_FREE(s) true
#define UP_TO_DATE(s) true
#else
#define UP_TO_DATE(s) (ownSeq[s] == seq[s])
#define SEQ_FREE(s) (commitSeq[s] == seq[s])
#endif
#ifdef NO_INBOX_CONDITION
#define INBOX_PRESENT(s) true
#else
#define INBOX_PRESENT(s) inbox[s]
#endif
#define HOLDERS (logged[0] + logged[1] + inbox[0] + inbox[1])

inline recover(s) { ownEpoch[s] = epoch[s]; ownSeq[s] = seq[s]; holds[s] = logged[s]; waiting[s] = false }
inline clearCommit(s) { kind[s] = None; commitEpoch[s] = 0; commitSeq[s] = 0; applied[s] = false; failed[s] = false }
inline confirm(s) { if :: kind[s] == HandOver -> holds[s] = false :: else -> holds[s] = true fi; ownSeq[s]++; waiting[s] = false }
inline startCommit(s, k) { kind[s] = k; commitEpoch[s] = ownEpoch[s]; commitSeq[s] = ownSeq[s]; waiting[s] = true }

proctype Shard(byte s) {
	do
	:: d_step { holds[s] && kind[s] == None && seq[s] < MAX_SEQ -> startCommit(s, HandOver) }
	:: d_step { !holds[s] && inbox[s] && kind[s] == None && seq[s] < MAX_SEQ -> startCommit(s, Receive) }
	/* The store applies the commit. */
#ifdef NO_ATOMIC_TRANSFER
	:: d_step { kind[s] == HandOver && !applied[s] && !failed[s] && CURRENT(s) && SEQ_FREE(s) && !inbox[1 - s] ->
		inbox[1 - s] = true }
#endif
	:: d_step { kind[s] == HandOver && !applied[s] && !failed[s] ->
		if :: CURRENT(s) && SEQ_FREE(s) -> logged[s] = false; seq[s]++; inbox[1 - s] = true; applied[s] = true
		:: else -> failed[s] = true fi }
	:: d_step { kind[s] == Receive && !applied[s] && !failed[s] ->
		if :: CURRENT(s) && SEQ_FREE(s) && INBOX_PRESENT(s) -> logged[s] = true; seq[s]++; inbox[s] = false; applied[s] = true
		:: else -> failed[s] = true fi }
	/* The response arrives. After a failed condition the owner reloads the log. */
	:: d_step { waiting[s] && applied[s] -> confirm(s); clearCommit(s) }
	:: d_step { waiting[s] && failed[s] -> if :: ownEpoch[s] == epoch[s] -> recover(s) :: else -> waiting[s] = false fi; clearCommit(s) }
	/* The response is lost. */
	:: d_step { waiting[s] && faults > 0 -> faults--;
#ifdef NO_READ_BACK
		confirm(s); if :: !applied[s] && !failed[s] -> failed[s] = true :: else fi /* the commit is assumed to have succeeded */
#else
#ifdef BLIND_RETRY
		if :: kind[s] == HandOver && applied[s] -> seq[s]++; inbox[1 - s] = true :: else fi; confirm(s); ownSeq[s] = seq[s]
#else
#ifdef READ_BACK_INBOX
		/* The owner reads the inbox row, which the other shard may have deleted. */
		if
		:: kind[s] == HandOver && applied[s] && inbox[1 - s] -> confirm(s)
		:: kind[s] == HandOver && applied[s] && !inbox[1 - s] -> waiting[s] = false; ownSeq[s] = seq[s]
		:: kind[s] == Receive && applied[s] -> confirm(s)
		:: else -> waiting[s] = false
		fi
#else
		/* The owner reads the log row. If the commit had no effect, the owner continues at the same sequence number. */
		if :: applied[s] -> confirm(s) :: else -> waiting[s] = false fi
#endif
#endif
#endif
		;
		if :: applied[s] || failed[s] -> clearCommit(s) :: else fi }
	/* A commit whose owner no longer waits for it has completed. */
	:: d_step { kind[s] != None && !waiting[s] && (applied[s] || failed[s]) -> clearCommit(s) }
	/* While a commit is delayed, the owner commits its next record at the same sequence number. */
	:: d_step { kind[s] == HandOver && !waiting[s] && !applied[s] && !failed[s] && holds[s] && ownEpoch[s] == epoch[s] && seq[s] == ownSeq[s] && seq[s] < MAX_SEQ ->
		seq[s]++; ownSeq[s]++ }
	/* The owner acts on the task, after committing a record at its next sequence number; on a conflict it reloads the log. */
	:: d_step { holds[s] && !waiting[s] && ownEpoch[s] == epoch[s] && UP_TO_DATE(s) -> assert(logged[s]) }
	:: d_step { !waiting[s] && ownEpoch[s] == epoch[s] && ownSeq[s] != seq[s] -> recover(s) }
	/* Another daemon takes over the shard and reads the log; the previous owner's commit may still be in flight. */
	:: d_step { faults > 0 -> faults--; epoch[s]++; recover(s) }
	od
}

proctype Monitor() { do :: assert(HOLDERS == 1) od }

init {
	d_step { logged[0] = true; holds[0] = true }
	run Shard(0); run Shard(1); run Monitor()
}
