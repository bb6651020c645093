/* How three founders with the same configured addresses form one store without an operator.
 *
 * Each derives the same initial log and the same ids from the addresses, and takes part in elections. A founder may
 * crash at any time, and one may lose its disk; its operator then declares that this is not a first start, so that it
 * neither forms a store nor votes under that identity again. The assertion: a term has at most one leader.
 */
#define FOUNDERS 3
#ifndef TERMS
#define TERMS 1
#endif
#ifndef WIPES
#define WIPES 1
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define AT(replica, term) ((replica) * (TERMS + 1) + (term))

#ifdef FOUND_ALONE
#define MAJORITY 1
#else
#define MAJORITY 2
#endif

bool holdsLog[FOUNDERS];
bool isFirstStart[FOUNDERS];
/* Candidate + 1, or 0 for none. */
byte syncedVote[FOUNDERS * (TERMS + 1)];
byte unsyncedVote[FOUNDERS * (TERMS + 1)];
byte termOf[FOUNDERS];
/* Voters whose votes a candidate has received, one bit each. */
byte votes[FOUNDERS * (TERMS + 1)];
byte leader[TERMS + 1];
byte wipes;
byte crashes;

inline countAndLead(candidate, term) {
    d_step {
        byte mask = votes[AT(candidate, term)];
        byte count = (mask & 1) + ((mask >> 1) & 1) + ((mask >> 2) & 1);
        if
        :: count >= MAJORITY && termOf[candidate] == term ->
            assert(leader[term] == 0 || leader[term] == candidate + 1);
            leader[term] = candidate + 1
        :: else
        fi
    }
}

inline forgetUnsynced(replica) {
    d_step {
        byte t = 1;
        do
        :: t <= TERMS ->
            unsyncedVote[AT(replica, t)] = 0;
            votes[AT(replica, t)] = 0;
            t++
        :: else -> break
        od;
        termOf[replica] = 0;
        t = 1;
        do
        :: t <= TERMS ->
            if
            :: syncedVote[AT(replica, t)] != 0 -> termOf[replica] = t
            :: else
            fi;
            t++
        :: else -> break
        od
    }
}

proctype Replica(byte self) {
    byte candidate;
    byte term;
    byte clearing;
end:
    do
    :: atomic { !holdsLog[self] && isFirstStart[self] -> holdsLog[self] = true }
    /* Starts an election with a vote for itself. */
    :: atomic { holdsLog[self] && termOf[self] < TERMS && syncedVote[AT(self, termOf[self] + 1)] == 0 && unsyncedVote[AT(self, termOf[self] + 1)] == 0 ->
        termOf[self] = termOf[self] + 1;
        unsyncedVote[AT(self, termOf[self])] = self + 1
    }
    /* Votes for another candidate in a term in which it has not voted. */
    :: atomic { holdsLog[self] ->
        select(candidate : 0 .. FOUNDERS - 1);
        select(term : 1 .. TERMS);
        if
        :: candidate != self && termOf[candidate] == term && termOf[self] <= term && holdsLog[candidate] &&
           syncedVote[AT(self, term)] == 0 && unsyncedVote[AT(self, term)] == 0 ->
            termOf[self] = term;
            unsyncedVote[AT(self, term)] = candidate + 1;
#ifdef VOTE_BEFORE_SYNC
            votes[AT(candidate, term)] = votes[AT(candidate, term)] | (1 << self);
            countAndLead(candidate, term)
#endif
        :: else
        fi
    }
    /* Syncs a vote and then sends it. */
    :: atomic {
        select(term : 1 .. TERMS);
        if
        :: unsyncedVote[AT(self, term)] != 0 ->
            candidate = unsyncedVote[AT(self, term)] - 1;
            syncedVote[AT(self, term)] = candidate + 1;
            unsyncedVote[AT(self, term)] = 0;
            votes[AT(candidate, term)] = votes[AT(candidate, term)] | (1 << self);
            countAndLead(candidate, term)
        :: else
        fi
    }
    :: atomic { crashes < CRASHES -> crashes++; forgetUnsynced(self) }
    :: atomic { wipes < WIPES && holdsLog[self] ->
        wipes++;
        clearing = 1;
        do
        :: clearing <= TERMS -> syncedVote[AT(self, clearing)] = 0; clearing++
        :: else -> break
        od;
        clearing = 0;
        forgetUnsynced(self);
        holdsLog[self] = false;
#ifndef WIPED_FOUNDS_AGAIN
        isFirstStart[self] = false
#endif
    }
    od
}

init {
    atomic {
        isFirstStart[0] = true;
        isFirstStart[1] = true;
        isFirstStart[2] = true;
        run Replica(0);
        run Replica(1);
        run Replica(2)
    }
}
