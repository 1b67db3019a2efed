/* One task whose run changes its keeper: K keeps executor X, where run 1 of the
 * task is, and hands X over to N at any moment. N may get no answer from X.
 * The home H may lose K at any moment, and then starts run 2 after a while,
 * unless it knows by then that N has the run. N and H may not be connected, then
 * or ever, and may lose each other. N renews once H has confirmed it.
 *
 * Time is counted in units of 100 ms. X's clock may run slow by SLOW units a
 * lease. Renewals may be lost or late; a late one has the deadline that it was
 * sent with. Messages between N and H come in order, at any later time.
 */
#define LEASE	7
#define SLOW	1
#define LAPSE	13	/* H starts run 2 so long after it lost K */
#define SILENCE	5	/* K takes H for lost after this time */
#define LAST_FAULT	8	/* K hands X over, and connections are lost, until then */
#define END	(LAST_FAULT + LAPSE + 2)

#define NONE		0
#define BLIND_LAPSE	1	/* N takes a lease that it never saw for over */
#define QUICK_CLOCK	2	/* N reckons the lease by its own clock */
#define UNNUMBERED	3	/* H counts an end of run 1 for run 2 */
#define KEEP_RENEWING	4	/* K renews after the handover */
#define UNCONFIRMED	5	/* N renews a run that H does not know to be there */
#define DEAF_HEIR	6	/* N renews without hearing from H */

#ifndef MUTANT
#define MUTANT NONE
#endif

#if MUTANT == QUICK_CLOCK
#define INHERITED	LEASE
#else
#define INHERITED	(LEASE + SLOW)
#endif

byte now = 1;
byte lease = 1 + LEASE + SLOW;	/* when X's lease lapses at the latest */
byte late;			/* deadline of a renewal on its way; 0 for none */
byte late_left = 1;		/* renewals that may still be late */
byte lost;			/* when H lost K; 0 for not yet */
byte handed;			/* when N got X; 0 for not yet */
bool one = true;		/* run 1 is there */
bool two;			/* run 2 is there */
bool three;			/* run 3 is there */
bool over;			/* N has told H that run 1 is over */
bool heard_over;		/* H has got that */
bool known;			/* N has got an answer from X */
bool linked;			/* N and H are connected */
bool told;			/* N's word that it has run 1 is in transit */
bool knows;			/* H counts N as the keeper of run 1 */
bool confirms;			/* H's confirmation is in transit */
bool confirmed;			/* N has got it */
byte n_lost;			/* when N and H lost each other; 0 for not yet */

#define keeps	(handed == 0)
#define silent	(lost != 0 && now - lost >= SILENCE)
#define n_silent	(n_lost != 0 && now - n_lost >= SILENCE)

inline extend(deadline) {
	if
	:: one && deadline > lease -> lease = deadline
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
	:: atomic { now < END ->
		now++;
		if
		:: one && now > lease -> one = false
		:: else
		fi
	}
	:: now >= END -> break
	od
}

active proctype faults() {
end:	do
	:: atomic { lost == 0 && now <= LAST_FAULT -> lost = now }
	:: atomic { linked && now <= LAST_FAULT ->
		linked = false;
		n_lost = now;
		told = false;
		confirms = false
	}
	od
}

/* K and the way from it to X. */
active proctype keep() {
end:	do
	:: atomic { keeps && one && !silent -> renew() }
#if MUTANT == KEEP_RENEWING
	:: atomic { !keeps && one && !silent -> renew() }
#endif
	:: atomic { keeps && one && silent -> one = false }
	:: atomic { keeps && one && now <= LAST_FAULT -> handed = now }
	:: atomic { late != 0 ->
		if
		:: late >= now -> extend(late)
		:: else
		fi;
		late = 0
	}
	od
}

/* N looks at X; its look or the answer may be lost any number of times. It tells
 * H of the run as soon as the two are connected. */
active proctype heir() {
end:	do
	:: atomic { !keeps && !known -> known = true }
	:: atomic { !keeps && !linked && n_lost == 0 -> linked = true; told = true }
	:: atomic { confirms -> confirms = false; confirmed = true }
#if MUTANT == UNCONFIRMED
	:: atomic { known && one && !n_silent -> renew() }
#elif MUTANT == DEAF_HEIR
	:: atomic { known && one && confirmed -> renew() }
#else
	:: atomic { known && one && confirmed && !n_silent -> renew() }
#endif
	/* Stops what it was told of and nobody vouches for; the stop may be lost. */
	:: atomic { known && one -> one = false }
	:: atomic { known && !one && !over -> over = true }
#if MUTANT == BLIND_LAPSE
	:: atomic { !keeps && !known && !over -> over = true }
#else
	:: atomic { !keeps && !known && !over && now > handed + INHERITED -> over = true }
#endif
	od
}

active proctype home() {
end:	do
	/* Run 1 ended before H placed another. */
	:: atomic { over && !heard_over && !two ->
		heard_over = true;
		two = true;
		assert(!one)
	}
	/* Run 1 ended after that. */
	:: atomic { over && !heard_over && two ->
		heard_over = true;
#if MUTANT == UNNUMBERED
		three = true;
		assert(!two)
#else
		skip
#endif
	}
	:: atomic { told ->
		told = false;
		if
		:: !two && !heard_over -> knows = true; confirms = true
		/* Cancelled; that may be lost. */
		:: else
		fi
	}
	:: atomic { lost != 0 && now >= lost + LAPSE && !knows && !two && !heard_over ->
		two = true;
		assert(!one)
	}
	:: atomic { knows && n_lost != 0 && now >= n_lost + LAPSE && !two && !heard_over ->
		two = true;
		assert(!one)
	}
	od
}
