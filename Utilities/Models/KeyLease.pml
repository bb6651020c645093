/*
 * How nodes stop requests with a withdrawn key within a bound, also when they are cut off or frozen.
 *
 * docs/design/WORKSPACES.md maps each step to the function that does it.
 *
 * Time passes in ticks. The origin's node takes a call with the key and sends it to the endpoint's node; messages take any
 * time. Each node checks the key by its own table and its own lease. The age of a lease counts from the moment at which the
 * node asked for the proof, and includes the age of the quorum round that the replica answers by. A replica that is cut off,
 * or follows a leader that was replaced, goes on answering by its last round. The endpoint's clock is the slower one: it
 * may lose one tick in DRIFT. A node may be frozen at any step: nothing makes it take the next one, while time and its clock
 * go on. The bound counts from the moment at which the acknowledgement is sent, whether it arrives or is lost.
 *
 * That a node which adopts a proof has the documents that it covers is the subject of Distribution.pml; that a round covers
 * what was committed before it, of Store.pml.
 *
 * Each -D flag of KeyLease.mutations introduces one fault, which must violate the assertion.
 */

#define BOUND 4
#ifdef LEASE_AS_LONG_AS_BOUND
#define LEASE BOUND
#else
#define LEASE 3
#endif
#define DRIFT 3

#define ORIGIN 0
#define ENDPOINT 1
#define NODES 2

/* Progress of a node's request for a proof, and of the call. */
#define NONE 0
#define ASKED 1
#define ANSWERED 2
#define ON_ITS_WAY 1
#define WAITING 2

/* The store: whether the withdrawal is committed, and the ticks since its acknowledgement. */
bool isWithdrawn;
bool isAcknowledged;
byte sinceAcknowledged;

/* The replica's last quorum round: whether it covers the withdrawal, and its age. */
bool doesRoundCover;
byte roundAge;

/* The nodes */
bool knows[NODES];
byte leaseAge[NODES];
byte asked[NODES];
byte askedAge[NODES];
bool doesProofCover[NODES];
byte sinceLostTick;

byte call;

#define isLeaseHeld(node) (leaseAge[node] < LEASE)

inline age(node, ticks) {
    if
#ifdef CLOCK_STOPS_IN_SUSPENSION
    :: skip
#endif
    :: true ->
        leaseAge[node] = (leaseAge[node] + ticks >= LEASE -> LEASE : leaseAge[node] + ticks);
        askedAge[node] = (askedAge[node] + ticks >= LEASE -> LEASE : askedAge[node] + ticks);
    fi;
#ifndef AGE_FROM_ARRIVAL
    /* Such a proof changes nothing. */
    if
    :: askedAge[node] >= LEASE -> asked[node] = NONE; askedAge[node] = 0; doesProofCover[node] = false
    :: else
    fi
#endif
}

inline tick() {
    sinceAcknowledged = (isAcknowledged && sinceAcknowledged < BOUND -> sinceAcknowledged + 1 : sinceAcknowledged);
    roundAge = (roundAge < LEASE -> roundAge + 1 : LEASE);
    age(ORIGIN, 1);
    if
    :: age(ENDPOINT, 1); sinceLostTick = (sinceLostTick < DRIFT -> sinceLostTick + 1 : DRIFT)
    :: sinceLostTick == DRIFT -> sinceLostTick = 0
    fi
}

inline adopt(node) {
#ifdef AGE_FROM_ARRIVAL
    askedAge[node] = 0;
#endif
    leaseAge[node] = (askedAge[node] < leaseAge[node] -> askedAge[node] : leaseAge[node]);
    knows[node] = knows[node] || doesProofCover[node];
    asked[node] = NONE;
    askedAge[node] = 0;
    doesProofCover[node] = false
}

active proctype Store() {
end:
    do
    :: atomic { !isWithdrawn -> isWithdrawn = true }
    :: atomic { isWithdrawn && !isAcknowledged -> isAcknowledged = true }
    :: atomic { roundAge > 0 || doesRoundCover != isWithdrawn -> roundAge = 0; doesRoundCover = isWithdrawn }
    :: atomic { tick() }
    od
}

proctype Node(byte node) {
end:
    do
    :: atomic { asked[node] == NONE -> asked[node] = ASKED; askedAge[node] = 0 }
    :: atomic { asked[node] == ASKED && roundAge < LEASE ->
        asked[node] = ANSWERED;
        doesProofCover[node] = doesRoundCover;
#ifndef AGE_OF_ROUND_IGNORED
        askedAge[node] = (askedAge[node] + roundAge >= LEASE -> LEASE : askedAge[node] + roundAge)
#endif
    }
    :: atomic { asked[node] == ANSWERED -> adopt(node) }
    /* A link breaks, or the document comes from another node. */
    :: atomic { asked[node] != NONE -> asked[node] = NONE; askedAge[node] = 0; doesProofCover[node] = false }
    :: atomic { isWithdrawn && !knows[node] -> knows[node] = true }
    od
}

active proctype Calls() {
end:
    do
    :: atomic { call == NONE && isLeaseHeld(ORIGIN) && !knows[ORIGIN] -> call = ON_ITS_WAY }
    :: atomic { call == ON_ITS_WAY -> call = WAITING }
    /* Checked right before the backend server gets the request. */
    :: atomic { call == WAITING ->
        call = NONE;
        if
#ifdef NO_SECOND_CHECK
        :: true ->
#else
#ifdef SECOND_CHECK_OF_TABLE_ONLY
        :: knows[ENDPOINT] -> skip
        :: !knows[ENDPOINT] ->
#else
        :: knows[ENDPOINT] || !isLeaseHeld(ENDPOINT) -> skip
        :: !knows[ENDPOINT] && isLeaseHeld(ENDPOINT) ->
#endif
#endif
            assert(!isAcknowledged || sinceAcknowledged < BOUND)
        fi
    }
    od
}

init {
    atomic {
        leaseAge[ORIGIN] = LEASE;
        leaseAge[ENDPOINT] = LEASE;
        sinceLostTick = DRIFT;
        run Node(ORIGIN);
        run Node(ENDPOINT)
    }
}
