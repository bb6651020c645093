/* Planned replacement of voters while learners wait to take their places.
 *
 * Each change of the members is appended and committed in two steps, between which a new leader may have either list, or drop the
 * appended one. A replica that is stopped asks for its place to be taken, and ends once the leader has told it that this is done.
 * The assertion: whatever happens, each list has a majority of running voters after LOSSES more of them.
 */
#define VOTERS 5
#define LEARNERS 2
#define LOSSES 2
#define REPLICAS (VOTERS + LEARNERS)
#define HAS(set, replica) (((set) >> (replica)) & 1)

/* One bit for each replica. */
byte committed = (1 << VOTERS) - 1;
byte appended = (1 << VOTERS) - 1;
byte running = (1 << REPLICAS) - 1;
byte stopping;
/* Requests to leave that the present leader has heard. */
byte leaving;
/* Replicas that may end. */
byte released;
byte caughtUp;
byte stops;
byte catches;
byte elections;

inline count(set, result) {
    result = 0;
    bit_ = 0;
    do
    :: bit_ < REPLICAS -> result = result + HAS(set, bit_); bit_++
    :: else -> break
    od;
    bit_ = 0
}

inline checkList(list) {
    count(list, size);
    count(list & running, alive);
    assert(alive >= LOSSES + size / 2 + 1);
    size = 0;
    alive = 0
}

inline checkLists() {
    checkList(committed);
    checkList(appended)
}

#define IS_SETTLED (appended == committed)

active proctype Store() {
    byte replica;
    byte size;
    byte alive;
    byte bit_;
end:
    do
    :: d_step { catches < LEARNERS -> caughtUp = caughtUp | (1 << (VOTERS + catches)); catches++ }
    /* A platform stops a replica for good once its successor has caught up. */
    :: atomic { stops < catches ->
        select(replica : 0 .. VOTERS - 1);
        if
        :: !HAS(stopping, replica) -> stopping = stopping | (1 << replica); stops++
        :: else
        fi;
        replica = 0
    }
    :: atomic { stopping != 0 ->
        select(replica : 0 .. VOTERS - 1);
        if
        :: HAS(stopping, replica) && HAS(running, replica) -> leaving = leaving | (1 << replica)
        :: else
        fi;
        replica = 0
    }
    /* Promotes a learner for a voter that leaves. */
    :: atomic { IS_SETTLED && (leaving & committed) != 0 ->
        count(committed, size);
        if
#ifdef REMOVE_FIRST
        :: size < VOTERS ->
#else
        :: size == VOTERS ->
#endif
            select(replica : VOTERS .. REPLICAS - 1);
            if
            :: HAS(caughtUp, replica) && !HAS(committed, replica) -> appended = committed | (1 << replica)
            :: else
            fi
        :: else
        fi;
        size = 0;
        replica = 0;
        checkLists()
    }
    /* Removes a voter that leaves. */
    :: atomic { IS_SETTLED && (leaving & committed) != 0 ->
        count(committed, size);
        if
#ifdef REMOVE_FIRST
        :: size == VOTERS ->
#else
        :: size > VOTERS ->
#endif
            select(replica : 0 .. VOTERS - 1);
            if
            :: HAS(leaving & committed, replica) -> appended = committed & ~(1 << replica)
            :: else
            fi
        :: else
        fi;
        size = 0;
        replica = 0;
        checkLists()
    }
    :: atomic { !IS_SETTLED -> committed = appended; checkLists() }
    /* A new leader has the appended list or has not, and has heard no request. */
    :: atomic { elections < 2 ->
        elections++;
        leaving = 0;
        if
        :: appended = committed
        :: skip
        fi;
        checkLists()
    }
    /* The leader tells a replica that it may end. */
    :: atomic { stopping != 0 ->
        select(replica : 0 .. VOTERS - 1);
        if
#ifdef END_UNREPLACED
        :: HAS(stopping, replica) ->
#else
#ifdef END_BEFORE_COMMIT
        :: HAS(stopping, replica) && !HAS(appended, replica) ->
#else
        :: HAS(stopping, replica) && !HAS(appended, replica) && IS_SETTLED ->
#endif
#endif
            released = released | (1 << replica)
        :: else
        fi;
        replica = 0
    }
    :: atomic { (released & running) != 0 -> running = running & ~released; checkLists() }
    od
}
