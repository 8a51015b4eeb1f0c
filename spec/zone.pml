/* Configuration versions and task starts in a zone that is taken out of service.
 *
 * The configuration document has two settings: Out (the zone is out of service)
 * and Preset. Two operators change one setting each and retry a change whose
 * response was lost. Daemon 0 starts a task on the zone's worker; daemon 1 only
 * gossips. A tick is one second; steps within a tick occur in any order.
 *
 * SAFEGUARDS: NO_VERSION_CHECK NO_CHANGE_ID NO_MONOTONIC_ADOPT NO_NOT_AFTER NO_CONFIG_AGE_BOUND NOT_AFTER_FROM_REQUEST GOSSIP_CONFIRMS CONFIRM_FROM_ANSWER
 */
#define AGE 2 /* ticks for which a confirmation of the version is valid, counted from the start of the poll */
#define BOUND 2 /* ticks after which no task may start in a zone that is out of service */
#define MAX_VERSION  4

/* The store: the current version of the document, and the settings of each version. */
byte version = 1;
bool out[MAX_VERSION + 1];    /* the zone is out of service in version v */
bool preset[MAX_VERSION + 1]; /* the changed preset is active in version v */
bool changeApplied[2];        /* the document contains the change ID of operator o */
byte outAge;                  /* history: ticks since the zone was taken out of service, up to BOUND + 1 */

/* Operators: version that the change is based on, and remaining attempts. */
byte baseVersion[2];
byte tries[2] = 2;
bool accepted[2];     /* history: the change was accepted */
byte applications[2]; /* history: number of times the change was applied */

/* Daemons. */
byte daemonVersion[2] = 1;
byte authority; /* daemon 0: remaining ticks in which it may start tasks */
byte poll;      /* its poll: 0 none, 1 sent, 2 version read, response in flight */
byte pollVersion;
byte pollAuthority;
byte gossip;    /* version in flight from daemon 1; 0 for none */

/* Reading of the worker's clock by daemon 0; ages are in ticks. */
byte request;     /* report: 0 none, 1 requested, 2 clock read by the worker */
byte requestAge;  /* since the request was sent */
byte readAge;     /* since the worker read its clock */
bool haveReading; /* daemon 0 has a clock reading */
byte skew;        /* ticks by which the assumed time of the reading precedes the actual time */

/* The start order. */
byte start;    /* 0 none, 1 checked but not sent, 2 in flight */
byte notAfter; /* ticks until the worker rejects it */

#ifdef NO_CONFIG_AGE_BOUND
#define CONFIRMED true
#else
#define CONFIRMED (authority > 0)
#endif

#ifdef NO_NOT_AFTER
#define ACCEPTS true
#else
#define ACCEPTS (notAfter > 0)
#endif
#ifdef NO_CHANGE_ID
#define NOT_APPLIED(o) true
#else
#define NOT_APPLIED(o) !changeApplied[o]
#endif
#ifdef GOSSIP_CONFIRMS
#define GOSSIP_ALWAYS true
#else
#define GOSSIP_ALWAYS false
#endif

inline adopt(d, v) {
#ifdef NO_MONOTONIC_ADOPT
	assert(v >= daemonVersion[d]); /* a daemon never reverts to an older version */
	daemonVersion[d] = v
#else
	if :: v > daemonVersion[d] -> daemonVersion[d] = v :: else fi
#endif
}

/* Operator 0 takes the zone out; operator 1 changes the preset. */
proctype Operator(byte o) {
	do
	:: d_step { baseVersion[o] == 0 && tries[o] > 0 && version < MAX_VERSION -> baseVersion[o] = version; tries[o]-- }
	:: d_step { baseVersion[o] > 0 ->
		if
#ifndef NO_CHANGE_ID
		:: changeApplied[o] -> skip /* the retried change was already applied */
#endif
#ifdef NO_VERSION_CHECK
		:: NOT_APPLIED(o) && version < MAX_VERSION ->
#else
		:: NOT_APPLIED(o) && baseVersion[o] == version && version < MAX_VERSION ->
#endif
			/* The new document is the base with the change applied. */
			out[version + 1] = (o == 0 -> true : out[baseVersion[o]]);
			preset[version + 1] = (o == 1 -> true : preset[baseVersion[o]]);
			version++; changeApplied[o] = true; accepted[o] = true; applications[o]++;
			if :: o == 0 && outAge == 0 -> outAge = 1 :: else fi;
			assert(!accepted[0] || out[version]);    /* no accepted change is lost, */
			assert(!accepted[1] || preset[version]);
			assert(applications[o] == 1)             /* or applied twice */
		:: else -> skip /* conflict */
		fi;
		baseVersion[o] = 0 }
	od
}

proctype Daemon() {
	do
	:: d_step { poll == 0 -> poll = 1; pollAuthority = AGE }
	:: d_step { poll == 1 -> poll = 2; pollVersion = version }
	:: d_step { poll == 2 ->
#ifdef CONFIRM_FROM_ANSWER
		pollAuthority = AGE;
#endif
		adopt(0, pollVersion); authority = (pollAuthority > authority -> pollAuthority : authority); poll = 0; pollVersion = 0; pollAuthority = 0 }
	:: d_step { poll == 2 -> poll = 0; pollVersion = 0; pollAuthority = 0 } /* the response is lost */
	/* Daemon 1 polls in one step and gossips its version, which may be outdated on arrival. */
	:: d_step { daemonVersion[1] < version -> daemonVersion[1] = version }
	:: d_step { gossip == 0 && (daemonVersion[0] != daemonVersion[1] || GOSSIP_ALWAYS) -> gossip = daemonVersion[1] }
	:: d_step { gossip > 0 -> adopt(0, gossip); gossip = 0;
#ifdef GOSSIP_CONFIRMS
		authority = AGE
#endif
		}
	/* A report contains the worker's clock. The reading is taken as of the arrival of the report. */
	:: d_step { request == 0 && !haveReading -> request = 1; requestAge = 0 }
	:: d_step { request == 1 -> request = 2; readAge = 0 }
	:: d_step { request == 2 -> haveReading = true; request = 0;
#ifdef NOT_AFTER_FROM_REQUEST
		skew = requestAge - readAge;
#endif
		requestAge = 0; readAge = 0 }
	/* Checks the configuration and computes NotAfter from the remaining authority. */
	:: d_step { start == 0 && haveReading && !out[daemonVersion[0]] && CONFIRMED ->
		start = 1; notAfter = (authority > 0 -> authority : AGE) + skew }
	/* Sends the order, possibly after a pause. */
	:: d_step { start == 1 -> start = 2 }
	/* The order reaches the worker. */
	:: d_step { start == 2 ->
		if
		:: ACCEPTS -> assert(!out[version] || outAge <= BOUND) /* P4: no task starts more than BOUND ticks after the zone was taken out */
		:: else
		fi;
		start = 0; notAfter = 0 }
	od
}

proctype Clock() {
	do
	:: d_step { true ->
		if :: authority > 0 -> authority-- :: else fi;
		if :: pollAuthority > 0 -> pollAuthority-- :: else fi;
		if :: notAfter > 0 -> notAfter-- :: else fi;
		if :: request == 1 && requestAge < 3 -> requestAge++ :: request == 2 && requestAge < 3 -> requestAge++; readAge++ :: else fi;
		if :: outAge > 0 && outAge <= BOUND -> outAge++ :: else fi }
	od
}

init { atomic { run Operator(0); run Operator(1); run Daemon(); run Clock() } }
