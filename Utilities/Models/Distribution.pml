/*
 * How one replica of the control store keeps one document of one node up to date, and what its proofs of freshness cover.
 *
 * docs/design/DISTRIBUTION.md maps each step to the function that does it.
 *
 * Versions are committed at any time, and the replica applies them later. A quorum round proves that the replica has
 * applied all that was committed when the round began. Links keep the order of messages, delay them for any time, and may
 * break; the node then subscribes again. At any time the node may get a newer version from another node.
 *
 * Each -D flag of Distribution.mutations introduces one fault, which must violate an assertion.
 */

#define VERSIONS 3
#define LINK_BREAKS 1
#define REQUESTS 2
#define NO_BASE 0
#define CAPACITY 3

mtype = { Update, Proof, Report, Request, Subscribe };

/* Update: version, version that it is based on. Proof: number of versions that were committed when the round began. */
chan toNode = [CAPACITY] of { mtype, byte, byte };
/* Report, Subscribe: version in force, or NO_BASE to get the whole document. */
chan toReplica = [CAPACITY] of { mtype, byte };

/* The store: versions 1 to `committed` are committed. */
byte committed;

/* The replica */
byte applied;
bool isRoundOpen;
byte committedAtRound;
bool isProved;
byte proved;
byte sent;
byte reported;
bool isInTransfer;
bool isRequestWaiting;

/* The node; `requestedWhole` is the version whose update it could not apply. */
byte inForce;
byte requestedWhole;
byte requests;
byte linkBreaks;

inline sendNext() {
    if
    :: !isInTransfer && sent < applied ->
        sent = applied;
        isInTransfer = true;
        toNode ! Update(applied, reported)
    :: else
    fi
}

inline answerRequest() {
#ifdef PROVE_WHILE_HELD_BACK
    if
    :: isProved -> toNode ! Proof(proved, 0)
#else
    if
    :: sent < applied -> isRequestWaiting = true
    :: sent >= applied && isProved -> toNode ! Proof(proved, 0)
#endif
    :: else
    fi
}

inline subscribe(version) {
    reported = version;
    sent = version;
    isInTransfer = false;
    sendNext()
}

inline receiveProof(claim) {
    if
#ifdef PROVE_WITHOUT_UPDATE
    :: true ->
#else
    :: inForce < requestedWhole -> skip
    :: inForce >= requestedWhole ->
#endif
#ifdef PROVE_FROM_RECEIPT
        assert(inForce >= committed)
#else
        assert(inForce >= claim)
#endif
    fi
}

inline receiveUpdate(version, base) {
    if
    :: version <= inForce -> toReplica ! Report(inForce)
#ifdef APPLY_ON_ANY_BASE
    :: version > inForce ->
#else
    :: version > inForce && base != NO_BASE && base != inForce ->
        requestedWhole = version;
        toReplica ! Subscribe(NO_BASE)
    :: version > inForce && (base == NO_BASE || base == inForce) ->
#endif
        /* Otherwise the text that is restored isn't that of the version. */
        assert(base == NO_BASE || base == inForce);
        inForce = version;
        toReplica ! Report(inForce)
    fi
}

active proctype Store() {
    byte version;
end:
    do
    :: atomic { committed < VERSIONS -> committed++ }
    :: atomic { applied < committed && len(toNode) < CAPACITY -> applied++; sendNext() }
    :: atomic { !isRoundOpen && committedAtRound < committed -> isRoundOpen = true; committedAtRound = committed }
    :: atomic { isRoundOpen && applied >= committedAtRound -> isRoundOpen = false; isProved = true; proved = committedAtRound }
    :: atomic { len(toNode) < CAPACITY && toReplica ? [Report(version)] ->
        toReplica ? Report(version);
        reported = version;
        isInTransfer = false;
        sendNext();
        if
        :: isRequestWaiting && len(toNode) < CAPACITY -> isRequestWaiting = false; answerRequest()
        :: else
        fi
    }
    :: atomic { len(toNode) < CAPACITY && toReplica ? [Request(version)] -> toReplica ? Request(version); answerRequest() }
    :: atomic { len(toNode) < CAPACITY && toReplica ? [Subscribe(version)] -> toReplica ? Subscribe(version); subscribe(version) }
    od
}

active proctype Node() {
    byte version;
    byte base;
end:
    do
    :: atomic { len(toReplica) < CAPACITY && toNode ? [Update(version, base)] -> toNode ? Update(version, base); receiveUpdate(version, base) }
    :: atomic { toNode ? [Proof(version, base)] -> toNode ? Proof(version, base); receiveProof(version) }
    :: atomic { requests < REQUESTS && len(toReplica) < CAPACITY -> requests++; toReplica ! Request(0) }
    /* A newer version comes from another node. */
    :: atomic { inForce < committed && len(toReplica) < CAPACITY -> inForce++; toReplica ! Report(inForce) }
    :: atomic { linkBreaks < LINK_BREAKS ->
        linkBreaks++;
        do
        :: nempty(toNode) -> toNode ? _, _, _
        :: nempty(toReplica) -> toReplica ? _, _
        :: empty(toNode) && empty(toReplica) -> break
        od;
        isRequestWaiting = false;
        requestedWhole = 0;
        subscribe(inForce)
    }
    od
}
