/* At-most-once claim of an idempotency key.
 *
 * A caller repeats one keyed request up to REQS times; attempt r of it has
 * claim ID r and its own gateway. The owner of the claim partition may change
 * once. Messages between gateway and owner may be lost, delayed and repeated.
 *
 * SAFEGUARDS: NO_EPOCH_CHECK NO_RECHECK_AFTER_PAUSE NO_WRITE_AHEAD NO_CLAIM_BEFORE_SEND NO_READ_BACK RELEASE_WHEN_UNKNOWN NO_CLAIM_ID NOT_RUN_BEFORE_RELEASE RESEND_WITHOUT_KEY
 */
#define REQS 3

/* The store: the log of the partition. */
byte epoch = 1;
byte holder;             /* claim ID that the log holds for the key; 0 when free */

/* The two owners, by epoch 1 and 2; owner 2 acts after the takeover. */
byte view[3];            /* claim ID in memory; 0 when free */
byte pend[3];            /* claim being committed */
bool pendUp[3];          /* its commit took effect */
byte deaf[3];            /* set of claim IDs that the owner rejected or released: never granted */

mtype = { Idle, Asked, Granted, Writing, Releasing, Done };
mtype gw[REQS + 1] = Idle;
mtype = { NoOutcome, Ran, NotRun, Unknown, Already };
mtype outcome[REQS + 1] = NoOutcome;
bool ask[REQS + 1];      /* claim message on its way; it can be repeated */
bool rel[REQS + 1];      /* release message on its way; it can be repeated */
bool grant[REQS + 1];    /* answer to the claim on its way */
bool reject[REQS + 1];
bool relOK[REQS + 1];    /* answer to the release on its way */
byte runs;               /* history: executions of the keyed request */
bool ran[REQS + 1];      /* history: r ran */
byte plain, plainRuns;   /* request without a key: state and executions */
byte faults = 3;

#ifdef NO_EPOCH_CHECK
#define ACCEPTED(o) true
#else
#define ACCEPTED(o) (epoch == o)
#endif

/* An owner with valid authority is the present owner (ownership.pml). */
#ifdef NO_RECHECK_AFTER_PAUSE
#define ANSWERS(o) true
#else
#define ANSWERS(o) (epoch == o)
#endif

proctype Owner(byte o) {
	byte r;
	do
	/* A claim arrives. */
	:: atomic { epoch >= o && pend[o] == 0 -> select(r : 1 .. REQS);
		if
		:: ask[r] && view[o] == 0 && !(deaf[o] & (1 << r)) ->
#ifdef NO_WRITE_AHEAD
			view[o] = r; grant[r] = true; pend[o] = r
#else
			pend[o] = r
#endif
		:: epoch == o && ask[r] && view[o] == r -> grant[r] = true /* a repeated claim of the same request */
		:: ANSWERS(o) && ask[r] && (view[o] && view[o] != r || (deaf[o] & (1 << r))) -> reject[r] = true
		:: else
		fi; r = 0 }
	/* The commit of a claim takes effect, or fails on the owner row. */
	:: d_step { pend[o] && !pendUp[o] && ACCEPTED(o) -> holder = pend[o]; pendUp[o] = true }
	:: d_step { pend[o] && !pendUp[o] && !ACCEPTED(o) -> pend[o] = 0 }
	/* Its answer arrives, late or by reading back. */
	:: d_step { pend[o] && pendUp[o] -> view[o] = pend[o]; grant[pend[o]] = true; pend[o] = 0; pendUp[o] = false }
#ifdef NO_READ_BACK
	:: d_step { pend[o] && faults > 0 -> faults--; view[o] = pend[o]; grant[pend[o]] = true; pend[o] = 0; pendUp[o] = false }
#endif
	/* A release arrives; it names the claim that it releases and bars it. */
	:: atomic { epoch == o && pend[o] == 0 -> select(r : 1 .. REQS);
		if
		:: rel[r] && epoch == o ->
#ifdef NO_CLAIM_ID
			holder = 0; view[o] = 0; relOK[r] = true
#else
			deaf[o] = deaf[o] | (1 << r); relOK[r] = true;
			if :: holder == r -> holder = 0; view[o] = 0 :: else fi
#endif
		:: else
		fi; r = 0 }
	/* Takeover: the new owner reads the log. */
	:: d_step { o == 2 && epoch == 1 && faults > 0 -> faults--; epoch = 2; view[2] = holder; deaf[2] = deaf[1] }
	od
}

inline execute(r) { runs++; ran[r] = true; assert(runs <= 1); assert(outcome[r] != NotRun) }
inline answer(r, a) { outcome[r] = a; gw[r] = Done; if :: a == NotRun -> assert(!ran[r]) :: else fi }

proctype Gateway(byte r) {
	/* The caller repeats only after an answer to the request before. */
	(r == 1 || gw[r - 1] == Done && outcome[r - 1] != Ran);
	d_step { gw[r] = Asked; ask[r] = true }
	end: do
#ifdef NO_CLAIM_BEFORE_SEND
	:: d_step { gw[r] == Asked -> gw[r] = Writing }
#endif
	:: d_step { gw[r] == Asked && grant[r] -> gw[r] = Granted }
	:: d_step { gw[r] == Asked && reject[r] ->
		/* NotRun means that the key can be used again: some earlier request was not answered so. */
		assert(r > 1 && (outcome[1] != NotRun || r > 2 && outcome[2] != NotRun));
		answer(r, Already) }
	/* No answer to the claim: the request is given up. */
	:: d_step { gw[r] == Asked && faults > 0 -> faults--;
#ifdef NOT_RUN_BEFORE_RELEASE
		answer(r, NotRun)
#else
		gw[r] = Releasing; rel[r] = true
#endif
		}
	/* No endpoint is free: certainly not sent. */
	:: d_step { gw[r] == Granted -> gw[r] = Releasing; rel[r] = true }
	:: d_step { gw[r] == Releasing && relOK[r] -> answer(r, NotRun) }
	:: d_step { gw[r] == Releasing && faults > 0 -> faults--; answer(r, Unknown) }
	/* The request is written once; it may run later, or never. */
	:: d_step { gw[r] == Granted -> gw[r] = Writing }
	:: d_step { gw[r] == Writing && !ran[r] -> execute(r) }
	:: d_step { gw[r] == Writing && ran[r] -> answer(r, Ran) }
	:: d_step { gw[r] == Writing && faults > 0 -> faults--;
#ifdef RELEASE_WHEN_UNKNOWN
		rel[r] = true;
#endif
		if :: !ran[r] -> execute(r) :: else fi; answer(r, Unknown) }
	od
}

/* A request without a key: 1 sent, 2 answered. */
proctype Plain() {
	d_step { plain = 1 };
	do
	:: d_step { plain == 1 && plainRuns == 0 -> plainRuns++ }
	:: d_step { plain == 1 -> plain = 2 }
#ifdef RESEND_WITHOUT_KEY
	:: d_step { plain == 1 && plainRuns -> plainRuns++; assert(plainRuns <= 1) }
#endif
	:: d_step { plain == 2 && plainRuns -> assert(plainRuns == 1); plain = 3 }
	od
}

init {
	if
	:: atomic { run Owner(1); run Owner(2); run Gateway(1); run Gateway(2); run Gateway(3) }
	:: run Plain()
	fi
}
