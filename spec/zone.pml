/* Configuration versions and the start of tasks in a zone.
 *
 * The document holds two settings: Out (the zone is out) and Preset. Two
 * operators change one setting each and repeat a change whose answer was lost.
 * Daemon 0 starts a task on the worker of the zone; daemon 1 only gossips. A
 * tick is one second; the order of steps within a tick is free.
 *
 * SAFEGUARDS: NO_VERSION_CHECK NO_CHANGE_ID NO_MONOTONIC_ADOPT NO_NOT_AFTER NO_CONFIG_AGE_BOUND NOT_AFTER_FROM_REQUEST GOSSIP_CONFIRMS CONFIRM_FROM_ANSWER
 */
#define AGE   2 /* ticks that a confirmation holds, from its start */
#define BOUND 2 /* ticks after which no task starts in a zone that is out */
#define MAXV  4

/* The store: the document, and the settings of each version. */
byte version = 1;
bool out[MAXV + 1];      /* the zone is out in version v */
bool preset[MAXV + 1];   /* the changed preset is in force in version v */
bool byId[2];            /* IDs of the changes in the document */
byte outAge;             /* history: ticks since the zone was taken out, up to BOUND + 1 */

/* Operators: version that the change is based on, and progress. */
byte base[2];
byte tries[2] = 2;
bool accepted[2];        /* history: the change was in force once */
byte applications[2];    /* history */

/* Daemons. */
byte ver[2] = 1;
byte auth;               /* daemon 0: ticks of authority to start tasks */
byte poll;               /* its poll: 0 none, 1 sent, 2 read */
byte pollVer;
byte pollAuth;
byte gossip;             /* version on its way from daemon 1; 0 for none */

/* Clock reading of the worker: ages in ticks. */
byte request;            /* report: 0 none, 1 asked, 2 read by the worker */
byte requestAge;         /* since the request was sent */
byte readAge;            /* since the worker read its clock */
bool reading;            /* daemon 0 has a reading */
byte skew;               /* ticks by which the assumed time of the reading precedes the real one */

/* The start order. */
byte start;              /* 0 none, 1 checked but not sent, 2 on its way, 3 started or expired */
byte notAfter;           /* ticks until the worker rejects it */

#ifdef NO_CONFIG_AGE_BOUND
#define CONFIRMED true
#else
#define CONFIRMED (auth > 0)
#endif

#ifdef NO_NOT_AFTER
#define ACCEPTS true
#else
#define ACCEPTS (notAfter > 0)
#endif
#ifdef NO_CHANGE_ID
#define NEW(o) true
#else
#define NEW(o) !byId[o]
#endif
#ifdef GOSSIP_CONFIRMS
#define GOSSIPS true
#else
#define GOSSIPS false
#endif

inline adopt(d, v) {
#ifdef NO_MONOTONIC_ADOPT
	assert(v >= ver[d]); /* a version never reverts */
	ver[d] = v
#else
	if :: v > ver[d] -> ver[d] = v :: else fi
#endif
}

/* Operator 0 takes the zone out; operator 1 changes the preset. */
proctype Operator(byte o) {
	do
	:: d_step { base[o] == 0 && tries[o] > 0 && version < MAXV -> base[o] = version; tries[o]-- }
	:: d_step { base[o] > 0 ->
		if
#ifndef NO_CHANGE_ID
		:: byId[o] -> skip /* the repeated change is already in force */
#endif
#ifdef NO_VERSION_CHECK
		:: NEW(o) && version < MAXV ->
#else
		:: NEW(o) && base[o] == version && version < MAXV ->
#endif
			/* The new document is the base with the change applied. */
			out[version + 1] = (o == 0 -> true : out[base[o]]);
			preset[version + 1] = (o == 1 -> true : preset[base[o]]);
			version++; byId[o] = true; accepted[o] = true; applications[o]++;
			if :: o == 0 && outAge == 0 -> outAge = 1 :: else fi;
			assert(!accepted[0] || out[version]);    /* no accepted change is lost */
			assert(!accepted[1] || preset[version]);
			assert(applications[o] == 1)             /* or applied twice */
		:: else -> skip /* conflict */
		fi;
		base[o] = 0 }
	od
}

proctype Daemon() {
	do
	:: d_step { poll == 0 -> poll = 1; pollAuth = AGE }
	:: d_step { poll == 1 -> poll = 2; pollVer = version }
	:: d_step { poll == 2 ->
#ifdef CONFIRM_FROM_ANSWER
		pollAuth = AGE;
#endif
		adopt(0, pollVer); auth = (pollAuth > auth -> pollAuth : auth); poll = 0; pollVer = 0; pollAuth = 0 }
	:: d_step { poll == 2 -> poll = 0; pollVer = 0; pollAuth = 0 } /* the answer is lost */
	/* Daemon 1 polls in one step and gossips its version, which may be old on arrival. */
	:: d_step { ver[1] < version -> ver[1] = version }
	:: d_step { gossip == 0 && (ver[0] != ver[1] || GOSSIPS) -> gossip = ver[1] }
	:: d_step { gossip > 0 -> adopt(0, gossip); gossip = 0;
#ifdef GOSSIP_CONFIRMS
		auth = AGE
#endif
		}
	/* A report of the worker gives its clock; it counts from its arrival. */
	:: d_step { request == 0 && !reading -> request = 1; requestAge = 0 }
	:: d_step { request == 1 -> request = 2; readAge = 0 }
	:: d_step { request == 2 -> reading = true; request = 0;
#ifdef NOT_AFTER_FROM_REQUEST
		skew = requestAge - readAge;
#endif
		requestAge = 0; readAge = 0 }
	/* Checks the configuration and computes NotAfter from the authority that is left. */
	:: d_step { start == 0 && reading && !out[ver[0]] && CONFIRMED ->
		start = 1; notAfter = (auth > 0 -> auth : AGE) + skew }
	/* Sends it, maybe after a pause. */
	:: d_step { start == 1 -> start = 2 }
	/* The order arrives at the worker. */
	:: d_step { start == 2 ->
		if
		:: ACCEPTS -> assert(!out[version] || outAge <= BOUND) /* P4 */
		:: else
		fi;
		start = 0; notAfter = 0 }
	od
}

proctype Clock() {
	do
	:: d_step { true ->
		if :: auth > 0 -> auth-- :: else fi;
		if :: pollAuth > 0 -> pollAuth-- :: else fi;
		if :: notAfter > 0 -> notAfter-- :: else fi;
		if :: request == 1 && requestAge < 3 -> requestAge++ :: request == 2 && requestAge < 3 -> requestAge++; readAge++ :: else fi;
		if :: outAge > 0 && outAge <= BOUND -> outAge++ :: else fi }
	od
}

init { atomic { run Operator(0); run Operator(1); run Daemon(); run Clock() } }
