/* One task that its keeper K can't start and hands to another keeper N. Its home
 * H may lose K and then starts run 2 after a while; K may lose N.
 *
 * Time is counted in units of 50 ms. The executor's clock may run slow by SLOW
 * units a lease. Messages between H and N take any time or none gets through;
 * those between K and H, and between K and N, take any time until the connection
 * is lost, and a lost connection delivers nothing more. All renewals arrive,
 * which is the worst case; stops may be lost, and a run that is being stopped is
 * not renewed. N may freeze. Faults begin while the task is young: once H knows
 * N, it is to H as if it had placed the task there.
 * An entry that is not frozen acts within the unit in which it learns something.
 */
#define LEASE	14
#define SLOW	1
#define LAPSE	25	/* H starts run 2 so long after it lost K */
#define UNSURE	16	/* and so long after K told it that run 1 may be there */
#define LOSS_WAIT	9	/* K tells H so long after it lost N */
#define LAST_FAULT	12
#define END	(LAST_FAULT + LAPSE + 2)
#ifndef FAULTS
#define FAULTS	3
#endif

#define NONE		0
#define NO_CONFIRM	1	/* N keeps a task that H does not confirm */
#define OLD_TASKS	2	/* N takes a task however old it is */
#define BLIND_WAKE	3	/* N starts after a freeze before it looks at the time */
#define KEEP_TASK	4	/* K returns a task that it has forwarded */
#define QUICK_LOSS	5	/* K tells H at once that N is lost */
#define UNSURE_AS_ENDED	6	/* H starts run 2 at once when K says that N gave up */
#define UNNUMBERED	7	/* H takes a late message of run 1 for run 2 */

#ifndef MUTANT
#define MUTANT NONE
#endif

#define MAX_ELAPSED	3
#define CONFIRM		5

byte now = 1;			/* H sent run 1 to K at 0 */
byte lease;			/* when the lease of run 1 lapses at the latest */
byte taken;			/* when N took the task; 0 for not yet */
byte h_lost_k;			/* when H lost K; 0 for not yet */
byte k_lost_n;			/* when K lost N; 0 for not yet */
byte from;			/* H starts run 2 then; 0 for not pending */
bool kept = true;		/* K has the task */
bool sent;			/* the forward is in transit */
bool queued;			/* N has the task and has not started it */
bool one;			/* run 1 is there */
bool two;			/* run 2 was started */
bool gave_up;			/* N has given up the task */
bool k_reports;			/* K's word that run 1 may be there is in transit */
bool k_returns;			/* K's word that nothing ran is in transit */
bool told;			/* N's word that it has the task is in transit */
bool knows;			/* H has heard that N has the task */
bool confirmed;			/* N knows that H knows */
bool linked = true;		/* H and N reach each other */
bool frozen;
bool alive = true;		/* N is up */
byte faults_left = FAULTS;

#define at_k	(!knows && from == 0 && !two)	/* H counts K as the keeper */
#define due	(taken != 0 && !confirmed && now >= taken + CONFIRM)
#define can_fail	(faults_left > 0 && now <= LAST_FAULT && !settled)
#if MUTANT == UNNUMBERED
#define settled	knows
#else
#define settled	(knows || two)
#endif
#define n_acts	(alive && !frozen)

/* What an entry that acts has to do before time passes. */
#define n_must	(n_acts && !gave_up && due && MUTANT != NO_CONFIRM)
#define k_must	(k_lost_n != 0 && k_lost_n != 255 && now >= k_lost_n + LOSS_WAIT)

active proctype clock() {
	do
	:: atomic { now < END && !n_must && !settled ->
		now++;
		if
		:: one && n_acts && !gave_up -> lease = now + LEASE + SLOW
		:: else
		fi;
		if
		:: one && now > lease -> one = false
		:: else
		fi
	}
	:: now >= END || settled -> break
	od
}

active proctype faults() {
end:	do
	:: atomic { can_fail && h_lost_k == 0 ->
		faults_left--;
		h_lost_k = now;
		k_reports = false;
		k_returns = false;
		if
		:: at_k -> from = now + LAPSE
		:: else
		fi
	}
	:: atomic { can_fail && k_lost_n == 0 && !kept ->
		faults_left--; k_lost_n = now; sent = false }
	:: atomic { can_fail && linked -> faults_left--; linked = false; told = false }
	:: atomic { can_fail && n_acts && taken != 0 -> faults_left--; frozen = true }
	:: atomic { can_fail && alive && taken != 0 -> faults_left--; alive = false; told = false }
	od
}

/* The first keeper. */
active proctype first() {
end:	do
	/* It forwards what it has got lately. */
	:: atomic { kept && now <= MAX_ELAPSED -> kept = false; sent = true }
#if MUTANT == KEEP_TASK
	:: atomic { sent && h_lost_k == 0 && !k_returns && at_k -> k_returns = true }
#endif
	/* It tells the home some time after it lost N. */
#if MUTANT == QUICK_LOSS
	:: atomic { k_lost_n != 0 && k_lost_n != 255 ->
#else
	:: atomic { k_must ->
#endif
		k_lost_n = 255;
		if
		:: h_lost_k == 0 -> k_reports = true
		:: else
		fi
	}
	od
}

/* The new keeper. */
active proctype second() {
end:	do
#if MUTANT == OLD_TASKS
	:: atomic { sent && n_acts ->
#else
	:: atomic { sent && n_acts && now <= MAX_ELAPSED ->
#endif
		sent = false;
		taken = now;
		queued = true;
		if
		:: linked -> told = true
		:: else
		fi
	}
	/* It returns one that is too old, and the first keeper tells the home. */
	:: atomic { sent && n_acts && now > MAX_ELAPSED && MUTANT != OLD_TASKS ->
		sent = false;
		if
		:: h_lost_k == 0 && k_lost_n == 0 -> k_returns = true
		:: else
		fi
	}
#if MUTANT == BLIND_WAKE
	:: atomic { queued && n_acts && !gave_up ->
#else
	:: atomic { queued && n_acts && !gave_up && !due ->
#endif
		queued = false;
		assert(!two);
		one = true;
		lease = now + LEASE + SLOW
	}
	/* Nobody confirmed. The stop may be lost, and so may the word to K. */
	:: atomic { n_must ->
		gave_up = true;
		queued = false;
		if
		:: one = false
		:: skip
		fi;
		if
		:: h_lost_k == 0 && k_lost_n == 0 -> k_reports = true
		:: skip
		fi
	}
	:: atomic { frozen -> frozen = false }
	od
}

active proctype home() {
end:	do
	:: atomic { told && linked ->
		told = false;
		if
		:: !two || MUTANT == UNNUMBERED ->
			assert(!two);
			knows = true;
			from = 0;
			if
			:: n_acts -> confirmed = true
			:: skip
			fi
		/* Cancelled; that may be lost. */
		:: else
		fi
	}
	:: atomic { k_reports && h_lost_k == 0 ->
		k_reports = false;
		if
		:: at_k && MUTANT == UNSURE_AS_ENDED -> from = now
		:: at_k && MUTANT != UNSURE_AS_ENDED -> from = now + UNSURE
		:: else
		fi
	}
	:: atomic { k_returns && h_lost_k == 0 ->
		k_returns = false;
		if
		:: at_k -> from = now
		:: else
		fi
	}
	:: atomic { from != 0 && now >= from && !two && !knows ->
		two = true;
		assert(!one)
	}
	od
}
