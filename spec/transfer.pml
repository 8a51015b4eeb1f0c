/* Hand-over of a task between two shards by an inbox row.
 *
 * Shards 0 and 1. Each has a log in the store and an owner with a view of it.
 * A commit carries HandedOver and the inbox row, or Received and the deletion
 * of the inbox row. Its answer may be lost, and the commit may take effect
 * after the owner read back that it had not. A new owner reads the log.
 *
 * SAFEGUARDS: NO_SEQ_CONDITION NO_ATOMIC_TRANSFER READ_BACK_INBOX BLIND_RETRY
 * USELESS: NO_EPOCH_CHECK NO_READ_BACK NO_INBOX_CONDITION
 */
#define MAXSEQ 3

/* The store. */
byte epoch[2] = 1;
byte seq[2];             /* records in the log of a shard */
bool logged[2];          /* the log says that the shard holds the task */
bool inbox[2];           /* Inbox/<s>/<task> exists */

/* The owners. */
byte ownEpoch[2] = 1;    /* epoch of the acting owner */
byte ownSeq[2];          /* its position in the log */
bool has[2];             /* it believes that the shard holds the task */

/* One commit in flight per shard. */
mtype = { None, Send, Take };
mtype kind[2] = None;
byte cEpoch[2], cSeq[2];
bool waiting[2];         /* the owner waits for the answer */
bool applied[2], failed[2];

byte faults = 3;         /* lost answers and owner changes */

#ifdef NO_EPOCH_CHECK
#define CURRENT(s) true
#else
#define CURRENT(s) (cEpoch[s] == epoch[s])
#endif
#ifdef NO_SEQ_CONDITION
#define FREESEQ(s) true
#define AHEAD(s) true
#else
#define AHEAD(s) (ownSeq[s] == seq[s])
#define FREESEQ(s) (cSeq[s] == seq[s])
#endif
#ifdef NO_INBOX_CONDITION
#define PRESENT(s) true
#else
#define PRESENT(s) inbox[s]
#endif
#define HOLDERS (logged[0] + logged[1] + inbox[0] + inbox[1])

inline recover(s) { ownEpoch[s] = epoch[s]; ownSeq[s] = seq[s]; has[s] = logged[s]; waiting[s] = false }
inline clear(s) { kind[s] = None; cEpoch[s] = 0; cSeq[s] = 0; applied[s] = false; failed[s] = false }
inline done(s) { if :: kind[s] == Send -> has[s] = false :: else -> has[s] = true fi; ownSeq[s]++; waiting[s] = false }
inline issue(s, k) { kind[s] = k; cEpoch[s] = ownEpoch[s]; cSeq[s] = ownSeq[s]; waiting[s] = true }

proctype Shard(byte s) {
	do
	:: d_step { has[s] && kind[s] == None && seq[s] < MAXSEQ -> issue(s, Send) }
	:: d_step { !has[s] && inbox[s] && kind[s] == None && seq[s] < MAXSEQ -> issue(s, Take) }
	/* The store applies the commit. */
#ifdef NO_ATOMIC_TRANSFER
	:: d_step { kind[s] == Send && !applied[s] && !failed[s] && CURRENT(s) && FREESEQ(s) && !inbox[1 - s] ->
		inbox[1 - s] = true }
#endif
	:: d_step { kind[s] == Send && !applied[s] && !failed[s] ->
		if :: CURRENT(s) && FREESEQ(s) -> logged[s] = false; seq[s]++; inbox[1 - s] = true; applied[s] = true
		:: else -> failed[s] = true fi }
	:: d_step { kind[s] == Take && !applied[s] && !failed[s] ->
		if :: CURRENT(s) && FREESEQ(s) && PRESENT(s) -> logged[s] = true; seq[s]++; inbox[s] = false; applied[s] = true
		:: else -> failed[s] = true fi }
	/* The answer arrives. A failed condition makes the owner read the log again. */
	:: d_step { waiting[s] && applied[s] -> done(s); clear(s) }
	:: d_step { waiting[s] && failed[s] -> if :: ownEpoch[s] == epoch[s] -> recover(s) :: else -> waiting[s] = false fi; clear(s) }
	/* The answer is lost. */
	:: d_step { waiting[s] && faults > 0 -> faults--;
#ifdef NO_READ_BACK
		done(s); if :: !applied[s] && !failed[s] -> failed[s] = true :: else fi /* taken for success */
#else
#ifdef BLIND_RETRY
		if :: kind[s] == Send && applied[s] -> seq[s]++; inbox[1 - s] = true :: else fi; done(s); ownSeq[s] = seq[s]
#else
#ifdef READ_BACK_INBOX
		/* The inbox row is read; the other shard may have deleted it. */
		if
		:: kind[s] == Send && applied[s] && inbox[1 - s] -> done(s)
		:: kind[s] == Send && applied[s] && !inbox[1 - s] -> waiting[s] = false; ownSeq[s] = seq[s]
		:: kind[s] == Take && applied[s] -> done(s)
		:: else -> waiting[s] = false
		fi
#else
		/* The row of the log is read. Without effect the owner goes on at the same sequence number. */
		if :: applied[s] -> done(s) :: else -> waiting[s] = false fi
#endif
#endif
#endif
		;
		if :: applied[s] || failed[s] -> clear(s) :: else fi }
	/* A commit that nobody waits for has ended. */
	:: d_step { kind[s] != None && !waiting[s] && (applied[s] || failed[s]) -> clear(s) }
	/* A delayed commit leaves room for another one: the owner commits its next record at the same sequence number. */
	:: d_step { kind[s] == Send && !waiting[s] && !applied[s] && !failed[s] && has[s] && ownEpoch[s] == epoch[s] && seq[s] == ownSeq[s] && seq[s] < MAXSEQ ->
		seq[s]++; ownSeq[s]++ }
	/* The owner acts on the task. A record at its next sequence number goes first; on a conflict it reads the log. */
	:: d_step { has[s] && !waiting[s] && ownEpoch[s] == epoch[s] && AHEAD(s) -> assert(logged[s]) }
	:: d_step { !waiting[s] && ownEpoch[s] == epoch[s] && ownSeq[s] != seq[s] -> recover(s) }
	/* Another daemon takes the shard over and reads the log; the old commit may still be on its way. */
	:: d_step { faults > 0 -> faults--; epoch[s]++; recover(s) }
	od
}

proctype Monitor() { do :: assert(HOLDERS == 1) od }

init {
	d_step { logged[0] = true; has[0] = true }
	run Shard(0); run Shard(1); run Monitor()
}
