/*
 * At-most-once execution and correct "not run" outcomes, for one keyed call that is not idempotent, which
 * its caller sends through one origin node and resends through another.
 *
 * docs/design/AT_MOST_ONCE.md maps each step to the function that does it.
 *
 * The network loses, reorders and duplicates messages: a message that was sent stays in it forever and may
 * be delivered at any time, any number of times, or never. A timeout may expire at any time. A restart of a
 * node loses its table; requests that the backend server has started continue.
 *
 * Each -D flag of AtMostOnce.mutations introduces one fault, which must violate an assertion.
 */

#define ORIGINS 2
#define ENDPOINTS 2
/* Each origin sends its first attempt to endpoint 0 and its second one to endpoint 1. */
#define ATTEMPTS 4
#define LAST_INCARNATION 2

#define originOf(a) ((a) / ENDPOINTS)
#define endpointOf(a) ((a) % ENDPOINTS)
#define attemptOf(o, k) ((o) * ENDPOINTS + (k))
/* Replies that the origin no longer reads are dropped, which reduces the states without changing the result. */
#define isRead(a) (told[originOf(a)] == Nothing)

mtype = { Unseen, Queued, Running, Answered, NotRun, Tombstone, Lost, ClosedRan, ClosedNotRun };
mtype = { Idle, Claiming, Sending, Waiting, Cancelling, Done };
mtype = { Nothing, ToldAnswered, ToldNotRun, ToldUnknown, ToldRejected };

/* State of the endpoint nodes */
byte incarnation[ENDPOINTS] = 1;
mtype fate[ATTEMPTS] = Unseen;

/* A copy of attempt 0 waits at the origin for its link, which sends or returns it at any time. The other attempts are sent at
 * once, which keeps the search small. */
bool copyWaits;

/* Messages in the network */
bool requestSent[ATTEMPTS];
bool cancelSent[ATTEMPTS];
byte target[ATTEMPTS];
bool answerSent[ATTEMPTS];
bool notRunSent[ATTEMPTS];
bool unknownSent[ATTEMPTS];

/* Claim register of the control store: 0 when free, o + 1 when origin o holds it. */
byte claimHolder = 0;
bool claimSent[ORIGINS];
bool claimGranted[ORIGINS];
bool claimDenied[ORIGINS];
bool releaseSent[ORIGINS];
bool releaseSeen[ORIGINS];

/* Observed runs and outcomes, for the assertions */
byte runs = 0;
byte runsOf[ORIGINS];
mtype told[ORIGINS] = Nothing;

inline tell(o, outcome) {
    told[o] = outcome;
    answerSent[attemptOf(o, 0)] = false;
    notRunSent[attemptOf(o, 0)] = false;
    unknownSent[attemptOf(o, 0)] = false;
    answerSent[attemptOf(o, 1)] = false;
    notRunSent[attemptOf(o, 1)] = false;
    unknownSent[attemptOf(o, 1)] = false;
    claimGranted[o] = false;
    claimDenied[o] = false;
    state = Done
}

inline tellNotRun(o) {
    tell(o, ToldNotRun);
    releaseSent[o] = true;
    assert(runsOf[o] == 0)
}

inline tellUnknown(o) {
    tell(o, ToldUnknown);
#ifdef RELEASE_CLAIM_ON_UNKNOWN
    releaseSent[o] = true;
#endif
}

/* An origin node: IdempotencyKeyTable and OutgoingCall. */
proctype Origin(byte o) {
    mtype state = Idle;
    byte k = 0;
    byte a;

    do
    /* The caller sends its request to this origin, at any time. */
    :: atomic { state == Idle -> claimSent[o] = true; state = Claiming }
    :: atomic { state == Claiming && claimGranted[o] -> state = Sending }
    :: atomic { state == Claiming && claimDenied[o] -> tell(o, ToldRejected) }
    :: atomic { state == Claiming ->
        /* No answer of a quorum in time; the claim may still be committed later. */
#ifdef RUN_WITHOUT_CLAIM
        state = Sending
#else
        tellNotRun(o)
#endif
    }
    :: atomic { state == Sending ->
        a = attemptOf(o, k);
        target[a] = incarnation[endpointOf(a)];
        if
        :: requestSent[a] = true
        :: a == 0 -> copyWaits = true
        fi;
        state = Waiting
    }
    /* The attempt is sent again beside the copy that waits. */
    :: atomic { state == Waiting && a == 0 && copyWaits && !requestSent[a] -> requestSent[a] = true }
    /* The link returns the copy unsent. */
    :: atomic { (state == Waiting || state == Cancelling) && a == 0 && copyWaits ->
        copyWaits = false;
        if
#ifndef RETURNED_COPY_PROVES_NOT_RUN
        :: requestSent[a] -> skip
        :: !requestSent[a] ->
#else
        :: true ->
#endif
            if
            :: tellNotRun(o)
            :: state == Waiting && k + 1 < ENDPOINTS -> k++; state = Sending
            fi
        fi
    }
    :: atomic { (state == Waiting || state == Cancelling) && answerSent[a] ->
        tell(o, ToldAnswered)
    }
    :: atomic { (state == Waiting || state == Cancelling) && notRunSent[a] ->
        tellNotRun(o)
    }
    /* Another endpoint is tried only after a reply that proves "not run". */
    :: atomic { state == Waiting && notRunSent[a] && k + 1 < ENDPOINTS -> k++; state = Sending }
    :: atomic { (state == Waiting || state == Cancelling) && unknownSent[a] ->
        tellUnknown(o)
    }
    /* The link reconnected to a new incarnation of the endpoint's node. */
    :: atomic { state == Waiting && incarnation[endpointOf(a)] != target[a] ->
#ifdef RETRY_AFTER_LINK_LOSS
        if
        :: k + 1 < ENDPOINTS -> k++; state = Sending
        :: else -> tellUnknown(o)
        fi
#else
        tellUnknown(o)
#endif
    }
    /* The deadline expired or the caller disconnected. */
    :: atomic { state == Waiting -> cancelSent[a] = true; state = Cancelling }
    /* The grace period after the deadline ended without an acknowledgement of the cancel. */
    :: atomic { state == Cancelling ->
#ifdef NOT_RUN_ON_TIMEOUT
        tellNotRun(o)
#else
        tellUnknown(o)
#endif
    }
    :: state == Done -> break
    od
}

inline receiveRequest(a) {
    if
#ifndef NEW_INCARNATION_RUNS_RESEND
    :: target[a] != incarnation[endpointOf(a)] -> unknownSent[a] = isRead(a)
    :: target[a] == incarnation[endpointOf(a)] ->
#else
    :: true ->
#endif
        if
        :: fate[a] == Unseen -> fate[a] = Queued
        /* The attempt is refused because the table is full of attempts without an outcome. */
        :: fate[a] == Unseen ->
            notRunSent[a] = isRead(a);
#ifndef REFUSE_WITHOUT_RECORD
            fate[a] = ClosedNotRun
#endif
        :: fate[a] == Answered -> answerSent[a] = isRead(a)
        :: fate[a] == NotRun || fate[a] == ClosedNotRun -> notRunSent[a] = isRead(a)
        :: fate[a] == Tombstone ->
#ifdef RUN_AFTER_TOMBSTONE
            fate[a] = Queued
#else
            notRunSent[a] = isRead(a)
#endif
        :: fate[a] == Lost || fate[a] == ClosedRan -> unknownSent[a] = isRead(a)
        :: fate[a] == Queued || fate[a] == Running -> skip
        fi
    fi
}

inline receiveCancel(a) {
    if
#ifndef NEW_INCARNATION_ACKNOWLEDGES_CANCEL
    :: target[a] != incarnation[endpointOf(a)] -> unknownSent[a] = isRead(a)
    :: target[a] == incarnation[endpointOf(a)] ->
#else
    :: true ->
#endif
        if
        :: fate[a] == Unseen -> fate[a] = Tombstone; notRunSent[a] = isRead(a)
        :: fate[a] == Queued -> fate[a] = NotRun; notRunSent[a] = isRead(a)
        :: fate[a] == Running ->
#ifdef CANCEL_OF_RUNNING_IS_NOT_RUN
            notRunSent[a] = isRead(a)
#else
            unknownSent[a] = isRead(a)
#endif
        :: fate[a] == Answered -> answerSent[a] = isRead(a)
        :: fate[a] == NotRun || fate[a] == Tombstone || fate[a] == ClosedNotRun -> notRunSent[a] = isRead(a)
        :: fate[a] == Lost || fate[a] == ClosedRan -> unknownSent[a] = isRead(a)
        fi
    fi
}

inline start(a) {
    fate[a] = Running;
    runs++;
    runsOf[originOf(a)]++;
    assert(runs <= 1);
    assert(told[originOf(a)] != ToldNotRun)
}

/* A fate beyond the limits of the table is evicted; the watermarks of its origin replace it. */
inline forget(a) {
#ifdef FORGET_WITHOUT_WATERMARK
    fate[a] = Unseen
#else
    if
    :: fate[a] == Answered || fate[a] == Lost ->
#ifdef FORGOTTEN_RUN_IS_REFUSED
        fate[a] = ClosedNotRun
#else
        fate[a] = ClosedRan
#endif
    :: fate[a] == NotRun || fate[a] == Tombstone -> fate[a] = ClosedNotRun
    fi
#endif
}

inline restart(e) {
    incarnation[e]++;
    fate[attemptOf(0, e)] = Unseen;
    fate[attemptOf(1, e)] = Unseen
}

/* FateTable and the backend server, for one attempt at its endpoint. */
proctype Endpoint(byte a) {
end:
    do
    /* The link sends the copy that waited. */
    :: atomic { a == 0 && copyWaits -> copyWaits = false; requestSent[a] = true }
    :: atomic { requestSent[a] -> receiveRequest(a) }
    :: atomic { cancelSent[a] -> receiveCancel(a) }
    :: atomic { fate[a] == Queued -> start(a) }
    /* The admission queue refuses the attempt. */
    :: atomic { fate[a] == Queued -> fate[a] = NotRun; notRunSent[a] = isRead(a) }
    :: atomic { fate[a] == Running -> fate[a] = Answered; answerSent[a] = isRead(a) }
    :: atomic { fate[a] == Running -> fate[a] = Lost; unknownSent[a] = isRead(a) }
    :: atomic { fate[a] == Answered || fate[a] == Lost || fate[a] == NotRun || fate[a] == Tombstone -> forget(a) }
    /* The eviction of a later attempt raises the watermarks above this one. */
    :: atomic { fate[a] == Unseen -> fate[a] = ClosedNotRun }
    :: atomic { fate[a] == Unseen -> fate[a] = ClosedRan }
    od
}

proctype Restarts() {
end:
    do
    :: atomic { incarnation[0] < LAST_INCARNATION -> restart(0) }
    :: atomic { incarnation[1] < LAST_INCARNATION -> restart(1) }
    od
}

/* One register of the replicated control store, for one key. */
proctype ClaimRegister(byte o) {
end:
    do
    :: atomic { claimSent[o] && !releaseSeen[o] ->
        if
        :: claimHolder == 0 || claimHolder == o + 1 -> claimHolder = o + 1; claimGranted[o] = (told[o] == Nothing)
#ifdef CLAIM_GRANTED_TWICE
        :: else -> claimGranted[o] = (told[o] == Nothing)
#else
        :: else -> claimDenied[o] = (told[o] == Nothing)
#endif
        fi
    }
    :: atomic { releaseSent[o] && !releaseSeen[o] ->
        releaseSeen[o] = true;
        if
        :: claimHolder == o + 1 -> claimHolder = 0
        :: else -> skip
        fi
    }
    od
}

init {
    byte i = 0;
    atomic {
        do
        :: i < ATTEMPTS -> run Endpoint(i); i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < ORIGINS -> run Origin(i); run ClaimRegister(i); i++
        :: else -> break
        od;
        run Restarts()
    }
}
