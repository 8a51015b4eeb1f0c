/* At-most-once claim of an idempotency key.
 *
 * A caller sends one keyed request up to REQS times. Attempt r uses claim ID r
 * and its own gateway. The owner of the claim partition may change once.
 * Messages between gateways and owners may be lost, delayed and duplicated.
 *
 * SAFEGUARDS: NO_EPOCH_CHECK NO_RECHECK_AFTER_PAUSE NO_WRITE_AHEAD NO_CLAIM_BEFORE_SEND NO_READ_BACK RELEASE_WHEN_UNKNOWN NO_CLAIM_ID NOT_RUN_BEFORE_RELEASE RESEND_WITHOUT_KEY
 */
#define REQS 3

/* The store: the log of the claim partition. */
byte epoch = 1;
byte holder; /* claim ID logged for the key; 0 if it is free */

/* The owners of epochs 1 and 2; owner 2 becomes active with the takeover. */
byte view[3];           /* claim ID in memory; 0 if the key is free */
byte pending[3];        /* claim ID being committed; 0 for none */
bool pendingApplied[3]; /* the commit took effect */
byte barred[3];         /* set of claim IDs that a release message named: never granted from then on */

mtype = { Idle, Claiming, Granted, Writing, Releasing, Done };
mtype gatewayState[REQS + 1] = Idle;
mtype = { NoOutcome, Ran, NotRun, Unknown, AlreadyRun };
mtype outcome[REQS + 1] = NoOutcome;
bool claimSent[REQS + 1];        /* claim message in flight; may be delivered repeatedly */
bool releaseSent[REQS + 1];      /* release message in flight; may be delivered repeatedly */
bool grantSent[REQS + 1];        /* response to the claim in flight */
bool rejectSent[REQS + 1];
bool releaseConfirmed[REQS + 1]; /* response to the release in flight */
byte runs;                       /* history: number of executions of the keyed request */
bool ran[REQS + 1];              /* history: attempt r was executed */
byte plain, plainRuns;           /* request without a key: state and number of executions */
byte faults = 3;

#ifdef NO_EPOCH_CHECK
#define ACCEPTED(o) true
#else
#define ACCEPTED(o) (epoch == o)
#endif

/* An owner with valid authority is the current owner; ownership.pml verifies
 * this. */
#ifdef NO_RECHECK_AFTER_PAUSE
#define AUTHORIZED(o) true
#else
#define AUTHORIZED(o) (epoch == o)
#endif

proctype Owner(byte o) {
	byte r;
	do
	/* A claim message arrives. */
	:: atomic { epoch >= o && pending[o] == 0 -> select(r : 1 .. REQS);
		if
		:: claimSent[r] && view[o] == 0 && !(barred[o] & (1 << r)) ->
#ifdef NO_WRITE_AHEAD
			view[o] = r; grantSent[r] = true; pending[o] = r
#else
			pending[o] = r
#endif
		:: epoch == o && claimSent[r] && view[o] == r -> grantSent[r] = true /* duplicate claim of the same request */
		:: AUTHORIZED(o) && claimSent[r] && (view[o] && view[o] != r || (barred[o] & (1 << r))) -> rejectSent[r] = true
		:: else
		fi; r = 0 }
	/* The commit of a claim takes effect, or fails its condition on the owner row. */
	:: d_step { pending[o] && !pendingApplied[o] && ACCEPTED(o) -> holder = pending[o]; pendingApplied[o] = true }
	:: d_step { pending[o] && !pendingApplied[o] && !ACCEPTED(o) -> pending[o] = 0 }
	/* The result of the commit is known, from a possibly late response or by reading back. */
	:: d_step { pending[o] && pendingApplied[o] -> view[o] = pending[o]; grantSent[pending[o]] = true; pending[o] = 0; pendingApplied[o] = false }
#ifdef NO_READ_BACK
	:: d_step { pending[o] && faults > 0 -> faults--; view[o] = pending[o]; grantSent[pending[o]] = true; pending[o] = 0; pendingApplied[o] = false }
#endif
	/* A release message arrives. It releases the claim ID that it names and bars it from being granted. */
	:: atomic { epoch == o && pending[o] == 0 -> select(r : 1 .. REQS);
		if
		:: releaseSent[r] && epoch == o ->
#ifdef NO_CLAIM_ID
			holder = 0; view[o] = 0; releaseConfirmed[r] = true
#else
			barred[o] = barred[o] | (1 << r); releaseConfirmed[r] = true;
			if :: holder == r -> holder = 0; view[o] = 0 :: else fi
#endif
		:: else
		fi; r = 0 }
	/* Takeover: the new owner restores its state from the log. */
	:: d_step { o == 2 && epoch == 1 && faults > 0 -> faults--; epoch = 2; view[2] = holder; barred[2] = barred[1] }
	od
}

inline execute(r) { runs++; ran[r] = true; assert(runs <= 1); assert(outcome[r] != NotRun) }
inline respond(r, a) { outcome[r] = a; gatewayState[r] = Done; if :: a == NotRun -> assert(!ran[r]) :: else fi }

proctype Gateway(byte r) {
	/* The caller retries only after a response to the previous attempt. */
	(r == 1 || gatewayState[r - 1] == Done && outcome[r - 1] != Ran);
	d_step { gatewayState[r] = Claiming; claimSent[r] = true }
	end: do
#ifdef NO_CLAIM_BEFORE_SEND
	:: d_step { gatewayState[r] == Claiming -> gatewayState[r] = Writing }
#endif
	:: d_step { gatewayState[r] == Claiming && grantSent[r] -> gatewayState[r] = Granted }
	:: d_step { gatewayState[r] == Claiming && rejectSent[r] ->
		/* NotRun allows the caller to reuse the key, so AlreadyRun requires an earlier attempt with another outcome. */
		assert(r > 1 && (outcome[1] != NotRun || r > 2 && outcome[2] != NotRun));
		respond(r, AlreadyRun) }
	/* The claim times out: the gateway gives up the request. */
	:: d_step { gatewayState[r] == Claiming && faults > 0 -> faults--;
#ifdef NOT_RUN_BEFORE_RELEASE
		respond(r, NotRun)
#else
		gatewayState[r] = Releasing; releaseSent[r] = true
#endif
		}
	/* No endpoint is free: the request was not sent. */
	:: d_step { gatewayState[r] == Granted -> gatewayState[r] = Releasing; releaseSent[r] = true }
	:: d_step { gatewayState[r] == Releasing && releaseConfirmed[r] -> respond(r, NotRun) }
	:: d_step { gatewayState[r] == Releasing && faults > 0 -> faults--; respond(r, Unknown) }
	/* The request is sent once. It may be executed later, or never. */
	:: d_step { gatewayState[r] == Granted -> gatewayState[r] = Writing }
	:: d_step { gatewayState[r] == Writing && !ran[r] -> execute(r) }
	:: d_step { gatewayState[r] == Writing && ran[r] -> respond(r, Ran) }
	:: d_step { gatewayState[r] == Writing && faults > 0 -> faults--;
#ifdef RELEASE_WHEN_UNKNOWN
		releaseSent[r] = true;
#endif
		if :: !ran[r] -> execute(r) :: else fi; respond(r, Unknown) }
	od
}

/* A request without a key. States: 1 sent, 2 response received, 3 checked. */
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
