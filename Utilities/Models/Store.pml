/* The replicated store: elections, log replication, replacement of a replica that lost its disk, and proofs of
 * freshness.
 *
 * Replicas 0, 1 and 2 are the founders; replica 2 may lose its disk and is replaced by replica 3, which starts as
 * a learner. A lost or delayed message is modelled as a step that is not taken or taken later. Replicas that are
 * suspended or partitioned take no steps. An election is one step with any set of voters: a voter takes no part in
 * older terms after its vote, so separate voting steps would add no behaviour. Likewise an entry is either only
 * written, or also synced and acknowledged, in the step that replicates it. docs/design/STORE.md names the function
 * behind each step.
 *
 * The assertions: no two replicas commit different entries at the same index, every new leader holds all committed
 * entries, the edits of one version have one winner, a replica that claims to be fresh has all edits that were
 * accepted before its round began, and after a reported repair the loss of one more replica leaves a majority.
 */

#ifndef TERMS
#define TERMS 4
#endif
#ifndef LENGTH
#define LENGTH 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define REPLICAS 4
#define LOST 2
#define LEARNER 3

/* Kinds of entries. All edits compete for the same version; edits of different terms are different edits. */
#define EDIT 1
#define REMOVE 2	/* the members become 0 and 1 */
#define PROMOTE 3	/* the members become 0, 1 and 3 */

#define BIT(x) (1 << (x))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1) + (((mask) >> 3) & 1))
#define IS_MAJORITY(mask, members) (2 * COUNT((mask) & (members)) > COUNT(members))

/* Steps that mutations replace. In IS_UP_TO_DATE, n and mask hold the last terms in the logs of candidate and
 * voter. */
#ifdef SKIP_LOG_CHECK
#define IS_UP_TO_DATE(x, y) true
#else
#define IS_UP_TO_DATE(x, y) (n > mask || (n == mask && r[x].length >= r[y].length))
#endif
#ifdef ACK_BEFORE_SYNC
#define SYNC(x) skip
#else
#define SYNC(x) r[x].synced = r[x].length
#endif
#ifdef VOTE_NOT_SYNCED
#define FORGET_VOTE(x) r[x].votedFor = 0
#else
#define FORGET_VOTE(x) skip
#endif
#ifdef VOTE_WITH_LOST_DISK
#define RUNS_WITH_LOST_DISK 1
#else
#define RUNS_WITH_LOST_DISK 0
#endif
#ifdef COUNT_LEARNER
#define COMMITS(mask, members) (2 * COUNT((mask) & ((members) | BIT(LEARNER))) > COUNT(members))
#else
#define COMMITS(mask, members) IS_MAJORITY(mask, members)
#endif
#ifdef COMMIT_OLD_TERM
#define MAY_COUNT(x, n) true
#else
#define MAY_COUNT(x, n) ((r[x].entry[(n) - 1] >> 3) == r[x].term)
#endif
#define HAS_OWN_COMMIT(x) (r[x].commit > 0 && (r[x].entry[r[x].commit - 1] >> 3) == r[x].term)
#ifdef REPAIR_REPORTED_AT_ONCE
#define IS_REPAIRED(mask) true
#else
#define IS_REPAIRED(mask) (((mask) & 11) == 11)
#endif
#ifdef FRESH_WITHOUT_ROUND
#define IS_CONFIRMED(mask, members) true
#else
#define IS_CONFIRMED(mask, members) IS_MAJORITY(mask, members)
#endif
#ifdef FRESH_BEFORE_OWN_COMMIT
#define MAY_CLAIM(x) true
#else
#define MAY_CLAIM(x) HAS_OWN_COMMIT(x)
#endif

typedef Replica {
	/* Synced with every change. */
	byte term;
	byte votedFor;		/* replica + 1; 0 for none */
	/* Each entry is 8 * term + kind. A crash may lose the entries from index `synced` on. */
	byte entry[LENGTH];
	byte length;
	byte synced;
	/* State of a leader, lost in a crash. */
	bit leading;
	byte commit;
	byte match[REPLICAS];
	bit running;
}

Replica r[REPLICAS];

/* Entries committed by any replica, and the edit that was reported to its author as accepted. */
byte committed[LENGTH];
byte committedLength;
byte winner;

byte crashes;
bit diskLost;
bit secondLost;

/* Temporary variables, always 0 between two steps. */
byte k, n, members, mask, prefix, voters;

inline membersOf(x)
{
	members = 7;
	k = 0;
	do
	:: k < r[x].length ->
		if
		:: (r[x].entry[k] & 7) == REMOVE -> members = 3
		:: (r[x].entry[k] & 7) == PROMOTE -> members = 11
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

inline stopLeading(x)
{
	r[x].leading = 0;
	r[x].commit = 0;
	r[x].match[0] = 0; r[x].match[1] = 0; r[x].match[2] = 0; r[x].match[3] = 0
}

inline adoptTerm(x, newTerm)
{
	if
	:: newTerm > r[x].term -> r[x].term = newTerm; r[x].votedFor = 0; stopLeading(x)
	:: else
	fi
}

inline truncateTo(x, newLength)
{
	do
	:: r[x].length > newLength -> r[x].length--; r[x].entry[r[x].length] = 0
	:: else -> break
	od;
	if
	:: r[x].synced > r[x].length -> r[x].synced = r[x].length
	:: else
	fi
}

inline commonPrefix(x, y)
{
	prefix = 0;
	do
	:: prefix < r[x].length && prefix < r[y].length && r[x].entry[prefix] == r[y].entry[prefix] -> prefix++
	:: else -> break
	od
}

inline lastTermOf(x, result)
{
	if
	:: r[x].length > 0 -> result = r[x].entry[r[x].length - 1] >> 3
	:: else -> result = 0
	fi
}

inline checkLeaderHoldsAll(x)
{
	k = 0;
	do
	:: k < committedLength ->
		assert(k < r[x].length && r[x].entry[k] == committed[k]);
		k++
	:: else -> break
	od;
	k = 0
}

/* Applies the edits up to the commit index of x, of which the first one wins. */
inline accept(x)
{
	k = 0;
	do
	:: k < r[x].commit ->
		if
		:: k < committedLength -> assert(committed[k] == r[x].entry[k])
		:: else -> committed[k] = r[x].entry[k]; committedLength = k + 1
		fi;
		k++
	:: else -> break
	od;
	k = 0;
	do
	:: k < r[x].commit && (r[x].entry[k] & 7) > EDIT -> k++
	:: else -> break
	od;
	if
	:: k < r[x].commit ->
		assert(winner == 0 || winner == r[x].entry[k]);
		winner = r[x].entry[k]
	:: else
	fi;
	k = 0
}

inline appendEntry(x, kind)
{
	r[x].entry[r[x].length] = 8 * r[x].term + kind;
	r[x].length++
}

inline requestVote(x, y)
{
	adoptTerm(y, r[x].term);
	lastTermOf(x, n);
	lastTermOf(y, mask);
	if
	:: r[y].term == r[x].term && !r[y].leading && (r[y].votedFor == 0 || r[y].votedFor == x + 1) && IS_UP_TO_DATE(x, y) ->
		r[y].votedFor = x + 1;
		voters = voters | BIT(y)
	:: else
	fi;
	n = 0; mask = 0
}

/* x requests votes of the replicas in `asked`, and becomes leader with a majority. */
inline elect(x, asked)
{
	stopLeading(x);
	r[x].term++;
	r[x].votedFor = x + 1;
	voters = BIT(x);
	if
	:: x != 0 && (asked & 1) && r[0].running -> requestVote(x, 0)
	:: else
	fi;
	if
	:: x != 1 && (asked & 2) && r[1].running -> requestVote(x, 1)
	:: else
	fi;
	if
	:: x != 2 && (asked & 4) && r[2].running -> requestVote(x, 2)
	:: else
	fi;
	if
	:: x != 3 && (asked & 8) && r[3].running -> requestVote(x, 3)
	:: else
	fi;
	membersOf(x);
	if
	:: IS_MAJORITY(voters, members) -> r[x].leading = 1; checkLeaderHoldsAll(x)
	:: else
	fi;
	members = 0; voters = 0
}

inline sendEntry(x, y)
{
	adoptTerm(y, r[x].term);
	commonPrefix(x, y);
	if
	:: prefix < r[x].length ->
		truncateTo(y, prefix);
		r[y].entry[prefix] = r[x].entry[prefix];
		r[y].length = prefix + 1;
		prefix++
	:: else
	fi
}

/* y syncs its log, and the leader x receives the acknowledgement. */
inline syncAndAcknowledge(x, y)
{
	SYNC(y);
	if
	:: prefix > r[x].match[y] -> r[x].match[y] = prefix
	:: else
	fi
}

/* Sets mask to the replicas of which leader x knows that they have synced the first n entries; x counts itself,
 * as commitEntries syncs its log first. */
inline holdersOf(x)
{
	mask = BIT(x);
	k = 0;
	do
	:: k < REPLICAS ->
		if
		:: k != x && r[x].match[k] >= n -> mask = mask | BIT(k)
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

inline commitEntries(x)
{
	SYNC(x);
	membersOf(x);
	n = r[x].length;
	do
	:: n > r[x].commit ->
		holdersOf(x);
		if
		:: COMMITS(mask, members) && MAY_COUNT(x, n) -> r[x].commit = n; accept(x); break
		:: else -> n--
		fi
	:: else -> break
	od;
	n = 0; mask = 0; members = 0
}

/* Sets n to 1 when leader x may change the members now, and to 0 otherwise. */
inline canChangeMembers(x)
{
	n = 0;
	if
	:: HAS_OWN_COMMIT(x) -> n = 1
	:: else
	fi;
	k = r[x].commit;
	do
	:: k < r[x].length ->
		if
		:: (r[x].entry[k] & 7) > EDIT -> n = 0
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0;
	/* The learner must have synced all committed entries. */
	if
	:: r[x].match[LEARNER] < r[x].commit -> n = 0
	:: else
	fi
}

inline changeMembers(x)
{
	canChangeMembers(x);
	membersOf(x);
	if
	:: n == 1 && members == 7 -> appendEntry(x, REMOVE)
	:: n == 1 && members == 3 -> appendEntry(x, PROMOTE)
	:: else
	fi;
	n = 0; members = 0
}

inline crash(x, kept)
{
	stopLeading(x);
	truncateTo(x, kept);
	r[x].synced = r[x].length;
	FORGET_VOTE(x);
	crashes++
}

inline loseDisk(x)
{
	truncateTo(x, 0);
	r[x].term = 0;
	r[x].votedFor = 0;
	stopLeading(x);
	r[x].running = 0
}

inline loseFirstDisk()
{
	loseDisk(LOST);
	r[LOST].running = RUNS_WITH_LOST_DISK;
	r[LEARNER].running = 1;
	diskLost = 1
}

/* Sets mask to the replicas of which leader x knows that they hold the member list that completed the repair. */
inline repairedHolders(x)
{
	mask = 0;
	k = 0;
	do
	:: k < r[x].commit ->
		if
		:: (r[x].entry[k] & 7) == PROMOTE -> n = k + 1
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0;
	if
	:: n > 0 -> holdersOf(x)
	:: else
	fi;
	n = 0
}

inline loseAnother(x, y)
{
	repairedHolders(x);
	if
	:: IS_REPAIRED(mask) ->
		membersOf(x);
		loseDisk(y);
		secondLost = 1;
		mask = r[0].running + 2 * r[1].running + 4 * r[2].running + 8 * r[3].running;
		assert(IS_MAJORITY(mask, members))
	:: else
	fi;
	mask = 0; members = 0
}

/* Once a majority in the leader's term has answered a heartbeat round, the leader has all accepted edits. */
inline confirmRound(x)
{
	membersOf(x);
	mask = 0;
	k = 0;
	do
	:: k < REPLICAS ->
		if
		:: r[k].running && r[k].term == r[x].term -> mask = mask | BIT(k)
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0;
	if
	:: IS_CONFIRMED(mask, members) && MAY_CLAIM(x) -> assert(r[x].commit >= committedLength)
	:: else
	fi;
	mask = 0; members = 0
}

#define LEADS(x) (r[x].running && r[x].leading)
#define CAN_HEAR(x, y) (r[y].running && r[y].term <= r[x].term)

inline campaign(x, asked)
{
	membersOf(x);
	if
	:: members & BIT(x) -> members = 0; elect(x, asked)
	:: else -> members = 0
	fi
}

/* Steps of one replica. */
inline own(x)
{
	if
	:: d_step { r[x].running && !r[x].leading && r[x].term < TERMS -> campaign(x, 15) }
	:: d_step { LEADS(x) && r[x].length < LENGTH -> appendEntry(x, EDIT) }
	:: d_step { LEADS(x) && r[x].commit < r[x].length -> commitEntries(x) }
	:: d_step { LEADS(x) -> confirmRound(x) }
	:: d_step { r[x].running && crashes < CRASHES -> crash(x, r[x].synced) }
	:: d_step { r[x].running && crashes < CRASHES && r[x].synced < r[x].length -> crash(x, r[x].length) }
#ifdef REPAIR
	:: d_step { LEADS(x) && diskLost && r[x].length < LENGTH -> changeMembers(x) }
	:: d_step { LEADS(x) && diskLost && !secondLost && r[1].running -> loseAnother(x, 1) }
	:: d_step { LEADS(x) && diskLost && !secondLost && r[LEARNER].running -> loseAnother(x, LEARNER) }
#endif
#ifdef STALE_LEADER_ACCEPTS
	:: d_step { LEADS(x) && r[x].length > r[x].commit -> SYNC(x); r[x].commit = r[x].length; accept(x) }
#endif
	fi
}

/* Steps of one replica that involve another one. */
inline toward(x, y)
{
	if
	:: d_step { r[x].running && !r[x].leading && r[x].term < TERMS && r[y].running -> campaign(x, BIT(y)) }
	:: d_step { LEADS(x) && CAN_HEAR(x, y) -> sendEntry(x, y); prefix = 0 }
	:: d_step { LEADS(x) && CAN_HEAR(x, y) -> sendEntry(x, y); syncAndAcknowledge(x, y); prefix = 0 }
	fi
}

active proctype store()
{
	/* Starts after the first election, with replica 0 as the leader of term 1. */
	d_step {
		r[0].running = 1; r[1].running = 1; r[2].running = 1;
		r[0].term = 1; r[1].term = 1; r[2].term = 1;
		r[0].votedFor = 1; r[1].votedFor = 1; r[2].votedFor = 1;
		r[0].leading = 1
	}
end:
	do
	:: own(0) :: own(1) :: own(2)
	:: toward(0, 1) :: toward(0, 2) :: toward(1, 0) :: toward(1, 2) :: toward(2, 0) :: toward(2, 1)
#ifdef REPAIR
	:: d_step { !diskLost -> loseFirstDisk() }
	:: own(LEARNER)
	:: toward(0, 3) :: toward(1, 3) :: toward(2, 3) :: toward(3, 0) :: toward(3, 1) :: toward(3, 2)
#endif
	od
}
