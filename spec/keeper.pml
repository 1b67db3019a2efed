/* One task of a job whose caller waits: its first run on an executor under a
 * lease, and a second try through another entry after a break.
 *
 * The home H took the job; the keeper K started its run on executor X and
 * renews X's lease while it hears from H. H may die or be cut off from K, K may
 * freeze or die, the caller's connection may break. The caller hands the job in
 * again RESEND after the break, through an entry that knows nothing of all this,
 * which starts the task on another executor at once. Orders to X may be lost;
 * a renewal may also be carried out at any later time. X's lease covers all that
 * runs there, also other tasks, whose homes are alive: whoever starts or renews
 * one of these extends the lease of the first run too.
 *
 * Time is counted in units of 100 ms. X's clock may run slow by SLOW units a
 * lease. An entry that is not frozen acts within the unit in which it learns
 * something.
 */
#define SLOW	1
#define RESEND	13
#define END	26
#ifndef FAULTS
#define FAULTS	3
#endif

#define NONE		0
#define NO_WATCH	1	/* K renews without hearing from H */
#define LONG_SILENCE	2	/* K takes H for lost only after 800 ms */
#define LONG_LEASE	3	/* leases last 1,000 ms */
#define BLIND_WAKE	4	/* K renews after it wakes before it looks who is silent */
#define RELATIVE	5	/* a lease counts from the arrival of the order */
#define KEEP_ORPHANS	6	/* K renews for a job whose caller has gone */
#define BLIND_HEIR	7	/* a new keeper renews before it looks at what runs */
#define RENEW_STOPPED	8	/* K renews for other runs on X while a stop has no answer */
#define HEARD_ON_WAKE	9	/* a message counts from when K reads it */

#ifndef MUTANT
#define MUTANT NONE
#endif

#if MUTANT == LONG_LEASE
#define LEASE	10
#else
#define LEASE	7
#endif

#if MUTANT == LONG_SILENCE
#define SILENCE	8
#else
#define SILENCE	5
#endif

byte now = 1;
byte lease = 1 + LEASE + SLOW;	/* when X's lease lapses at the latest */
byte late;			/* deadline of a renewal on its way; 0 for none */
byte late_left = 1;		/* renewals that may still be late */
byte heard = 1;			/* when K last heard from H */
byte unread;			/* when H sent the latest message that K has yet to read; 0 for none */
byte broke;			/* when the caller saw the break; 0 for not yet */
byte faults_left = FAULTS;
bool first = true;		/* the first run is there */
bool home = true;		/* H is up */
bool linked = true;		/* K and H reach each other */
bool keeper = true;		/* K is up */
bool frozen;
bool gone;			/* K knows that the answer is not wanted */
bool taken;			/* another entry keeps X now */

#define acts	(keeper && !frozen && !taken && first)
#define told	(acts && !gone && broke != 0 && home && linked)
#define silent	(now - heard >= SILENCE)

inline extend(deadline) {
	if
	:: first && deadline > lease -> lease = deadline
	:: else
	fi
}

inline renew() {
	if
	:: extend(now + LEASE + SLOW)
	:: late_left > 0 -> late_left--; late = now + LEASE + SLOW
	:: skip				/* lost */
	fi
}

active proctype clock() {
	do
	:: atomic { first && now < END && (MUTANT == KEEP_ORPHANS || !told) ->
		now++;
		if
		:: home && linked && keeper && !frozen -> heard = now; unread = 0
		:: home && linked && keeper && frozen -> unread = now
		:: else
		fi;
		if
		:: first && now > lease -> first = false
		:: else
		fi
	}
	:: !first || now >= END -> break
	od
}

active proctype faults() {
end:	do
	:: atomic { first && faults_left > 0 && home ->
		faults_left--;
		home = false;
		if
		:: broke == 0 -> broke = now
		:: else
		fi
	}
	:: atomic { first && faults_left > 0 && linked -> faults_left--; linked = false }
	:: atomic { first && faults_left > 0 && broke == 0 -> faults_left--; broke = now }
	:: atomic { first && faults_left > 0 && keeper && !frozen -> faults_left--; frozen = true }
	:: atomic { first && faults_left > 0 && keeper -> faults_left--; keeper = false }
	od
}

/* K and the way from it to X. */
active proctype keep() {
end:	do
	/* H tells K at once that its caller has gone. */
	:: atomic { told -> gone = true }
#if MUTANT == NO_WATCH
	:: atomic { acts && !gone -> renew() }
#elif MUTANT == KEEP_ORPHANS
	:: atomic { acts && !silent -> renew() }
#else
	:: atomic { acts && !silent && !gone && !told -> renew() }
#endif
	/* Stops what nobody wants or vouches for; the stop may be lost, and so may
	 * its repetitions. */
	:: atomic { acts && (silent || gone) -> first = false }
#if MUTANT == RENEW_STOPPED
	:: atomic { acts && (silent || gone) -> renew() }
#endif
	:: atomic { first && frozen && keeper ->
		frozen = false;
#if MUTANT == BLIND_WAKE
		renew()
#else
		skip
#endif
	}
	/* Reads what arrived while it was frozen, at any time after. */
	:: atomic { first && keeper && !frozen && unread != 0 ->
#if MUTANT == HEARD_ON_WAKE
		heard = now;
#else
		heard = unread;
#endif
		unread = 0
	}
	:: atomic { first && late != 0 ->
#if MUTANT == RELATIVE
		extend(now + LEASE + SLOW);
#else
		if
		:: late >= now -> extend(late)
		:: else
		fi;
#endif
		late = 0
	}
	od
}

/* Another entry keeps X once K is gone, or once most of its data centre has
 * lost K, which may be alive and in touch with H. It looks before it renews, and
 * stops what it does not know; the stop may be lost. */
active proctype heir() {
end:	do
	:: atomic { first && !taken -> taken = true }
	:: atomic { taken && first -> first = false }
#if MUTANT == BLIND_HEIR
	:: atomic { taken && first -> extend(now + LEASE + SLOW) }
#endif
	od
}

/* The caller comes again, and the second run starts at once. */
active proctype caller() {
end:	atomic { broke != 0 && now >= broke + RESEND -> assert(!first) }
}
