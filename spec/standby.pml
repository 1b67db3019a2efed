/* Takeover of one executor X from its keeper K before K's registration lapses.
 *
 * Five entries of one data centre: K is entry 0, the others are its successors
 * in order. An entry notices at any later time that another one is dead, frozen
 * or beyond a cut link. A successor takes X over with a higher token once most
 * of those that it hears have lost K. K may be alive: X refuses its orders by
 * their tokens. Time is left out: a timeout may fire at any moment, so the wait
 * of 800 ms is not checked here.
 */
#define N	5
#ifndef FAULTS
#define FAULTS	3
#endif

#define NONE		0
#define ONE_VOTE	1	/* a successor takes X over once it has lost K itself */
#define ISOLATED	2	/* it does so however few entries it hears */
#define SAME_TOKEN	3	/* its token rests on the store's revision only */
#define NO_STEP		4	/* its token does not rise with its place in the order */
#define NO_FENCE	5	/* X does not compare tokens */

#ifndef MUTANT
#define MUTANT NONE
#endif

/* Bits of pairs and sets of entries. */
#define BIT(i)		(1 << (i))

byte up = 31;			/* entries that are alive */
byte conn[N] = 31;		/* whom each entry is connected to, in its own view */
byte cut[N];			/* whom each entry can't reach */
byte faults_left = FAULTS;
bool frozen;			/* K takes no step */
bool links_cut;
byte token = 1;			/* the highest token at X; K's is 1 */
byte holder;			/* the entry whose token that is */

#define alive(i)	((up & BIT(i)) != 0)
#define linked(i, j)	((conn[i] & BIT(j)) != 0)
#define silent(i, j)	(!alive(j) || (j == 0 && frozen) || (cut[i] & BIT(j)) != 0)

#define bits(x)		(((x) & 1) + (((x) >> 1) & 1) + (((x) >> 2) & 1) + (((x) >> 3) & 1) + (((x) >> 4) & 1))
/* Those that entry i hears, itself included; K is lost to it. */
#define heard(i)	bits(conn[i] & 30)
/* Those of them that have lost K. A loss is for good here, so that a report of
 * it that is late does not become wrong. */
#define vote(i, j)	(linked(i, j) && !linked(j, 0))
#define votes(i)	(vote(i, 1) + vote(i, 2) + vote(i, 3) + vote(i, 4))

#if MUTANT == ONE_VOTE
#define agreed(i)	true
#else
#define agreed(i)	(votes(i) * 2 > heard(i))
#endif

#if MUTANT == ISOLATED
#define hears_most(i)	true
#else
#define hears_most(i)	(heard(i) * 2 > N)
#endif

#if MUTANT == SAME_TOKEN
#define next_token(i)	1
#elif MUTANT == NO_STEP
#define next_token(i)	2
#else
#define next_token(i)	(1 + i)
#endif

/* Entries before i in order that it is still connected to, K excluded. */
#define earlier(i)	(conn[i] & (BIT(i) - 1) & 30)

#define may_take(i)	(alive(i) && !linked(i, 0) && holder != i && hears_most(i) && agreed(i) && earlier(i) == 0)
/* Entries that have not lost K. */
#define hearing_k	(linked(1, 0) + linked(2, 0) + linked(3, 0) + linked(4, 0))

proctype entry(byte i) {
	byte j;
end:	do
	/* Notices that a connection is lost. */
	:: atomic { alive(i) ->
		j = 0;
		do
		:: j < N - 1 -> j++
		:: break
		od;
		if
		:: j != i && linked(i, j) && silent(i, j) -> conn[i] = conn[i] & ~BIT(j)
		:: else
		fi;
		j = 0
	}
	:: atomic { may_take(i) ->
		/* Not from a keeper that most of its peers hear. */
		assert(hearing_k * 2 <= N - 1);
		/* Where no link is cut the first attempt is not refused. */
		assert(links_cut || next_token(i) > token);
		if
		:: next_token(i) > token -> token = next_token(i); holder = i
		:: else			/* fenced */
		fi
	}
	od
}

/* K's orders, which may arrive late. */
active proctype keeper() {
end:	do
	:: atomic { !frozen && alive(0) ->
		if
#if MUTANT == NO_FENCE
		:: assert(holder == 0)
#else
		:: token <= 1 -> assert(holder == 0)
		:: else
#endif
		fi
	}
	od
}

active proctype faults() {
	byte a, b;
end:	do
	:: atomic { faults_left > 0 ->
		faults_left--;
		a = 0;
		do
		:: a < 2 -> a++
		:: break
		od;
		up = up & ~BIT(a);
		a = 0
	}
	:: atomic { faults_left > 0 && !frozen -> faults_left--; frozen = true }
	:: atomic { frozen -> frozen = false }
	/* An entry is cut off from all others. */
	:: atomic { faults_left > 0 ->
		faults_left--;
		a = 0;
		do
		:: a < N - 1 -> a++
		:: break
		od;
		b = 0;
		do
		:: b < N ->
			cut[a] = cut[a] | BIT(b);
			cut[b] = cut[b] | BIT(a);
			b++
		:: else -> break
		od;
		links_cut = true;
		a = 0;
		b = 0
	}
	/* Two entries are cut off from each other. */
	:: atomic { faults_left > 0 ->
		faults_left--;
		a = 0;
		do
		:: a < N - 2 -> a++
		:: break
		od;
		b = a + 1;
		do
		:: b < N - 1 -> b++
		:: break
		od;
		cut[a] = cut[a] | BIT(b);
		cut[b] = cut[b] | BIT(a);
		links_cut = true;
		a = 0;
		b = 0
	}
	od
}

init {
	atomic { run entry(1); run entry(2); run entry(3); run entry(4) }
}
