/* The wait of a caller whose request lies unread.
 *
 * One task, a caller, the entry E that it asks first, and another entry, which
 * starts the task after the caller's wait and a pause.  E may be frozen at any
 * time, alone or with its machine.  The request is in E's buffer or in its queue
 * of new connections, and its body may come late.  The end of the caller's
 * connection reaches E at any later time, or never.
 *
 * Unlike in the other models time passes, in steps.  A running entry begins a
 * round in each, and then reads what is there; a frozen one begins none.
 */
#define WAIT	4	/* the caller waits this long */
#define PAUSE	1	/* and comes again this much later */
#define RUN	3	/* a run takes this long */
#define HORIZON	12

#define NONE		0
#define FROM_READ	1	/* the age of a request counts from its read */
#define FROM_ROUND	2	/* from the latest round, which began after the freeze */
#define FROM_BODY	3	/* from the end of its body */
#define BLIND_QUEUE	4	/* a new connection counts as accepted when it is made */
#define BLIND_SUSPEND	5	/* the clock stands still while the machine is suspended */

#ifndef MUTANT
#define MUTANT NONE
#endif

byte now;
byte clock;		/* what E's clock shows */
bool frozen;
bool suspended;		/* the whole machine is frozen */

byte round[3];		/* beginnings of E's latest rounds, the oldest first */
bool sent, whole;	/* the head, the body of the request has arrived at E */
byte sent_at;
bool queued;		/* on a connection that E has not accepted */
bool begun;		/* E has read the head */
byte arrived;		/* earliest arrival, by E's clock, as E knows it */
bool judged;		/* E has started the task, or answered that it does not run */
bool left;		/* the caller has left */
bool seen;		/* E sees that */
byte first_end;		/* when the run that E started ends; 0 for none */

#define waits		(now < sent_at + WAIT)
#define until		(arrived + WAIT)

#if MUTANT == FROM_READ
#define earliest	clock
#elif MUTANT == FROM_ROUND
#define earliest	round[2]
#elif MUTANT == BLIND_QUEUE
#define earliest	(queued -> clock : round[0])
#else
#define earliest	round[0]
#endif

#if MUTANT == BLIND_SUSPEND
#define clock_runs	(!suspended)
#else
#define clock_runs	true
#endif

/* A running entry begins a round and reads in each step. */
inline run_round() {
	round[0] = round[1];
	round[1] = round[2];
	round[2] = clock;
	if
	:: sent && !begun -> begun = true; arrived = earliest
	:: else
	fi
}

active proctype time() {
end:	do
	:: atomic { now < HORIZON ->
		now++;
		if
		:: clock_runs -> clock++
		:: else
		fi;
		if
		:: !frozen -> run_round()
		:: else
		fi;
		if
		:: sent && !waits -> left = true
		:: else
		fi;
		/* The other entry starts the task: the first run has ended. */
		assert(!left || now < sent_at + WAIT + PAUSE || first_end <= now)
	}
	od
}

active proctype caller() {
end:	if
	:: atomic { now > 2 && now < 6 ->
		sent = true;
		sent_at = now;
		if
		:: queued = true
		:: queued = false
		fi
	}
	fi;
	/* The body comes at once or late. */
	whole = true
}

/* E decides once it has read the whole request. */
active proctype entry() {
end:	do
	:: atomic { !frozen && begun && whole && !judged ->
		judged = true;
#if MUTANT == FROM_BODY
		arrived = clock;
#endif
		if
		:: !seen && clock < until ->
#ifdef STARTS
			assert(false);
#endif
			assert(waits);
			first_end = now + (clock + RUN > until -> until - clock : RUN)
		:: else				/* told that it does not run */
		fi
	}
	od
}

active proctype faults() {
	byte freezes = 2;
end:	do
	:: atomic { freezes > 0 && !frozen ->
		freezes--;
		frozen = true;
		if
		:: suspended = true
		:: suspended = false
		fi
	}
	:: atomic { frozen -> frozen = false; suspended = false }
	:: atomic { left && !seen -> seen = true }
	od
}
