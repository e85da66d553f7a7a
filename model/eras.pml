/*
 * Ownership of one key range when the store returns from an older copy, as in internal/service/keys/era.go.
 *
 * The store keeps the record of the range and accepts a write only at the version that the writer has read. It returns once from a
 * copy that was taken at any time before. Two coordinators execute the record at two backends by releases and grants. Time advances
 * in ticks. Steps are never forced: a coordinator that takes no step is suspended or lost, or it is partitioned from the store, from a
 * backend or from the other coordinator. Slow clocks, late grants, lost answers and long grants are in grants.pml.
 *
 * Broken variants, each of which must violate an assertion:
 *   ADOPT_COPY  a new coordinator executes the record of the copy
 *   NO_RAISE    a new coordinator assigns the range before the fence was raised at the backends
 *   NO_GAP      fences continue from those in the known records
 *   NO_HORIZON  a read of the copy extends the grants of a coordinator
 *   NO_DOUBT    a coordinator that may have been replaced in the lost time writes its record again at once
 */
#ifndef MAXLOG
#define MAXLOG 6             /* number of records that are explored */
#endif
#define NONE      2
#define GRANT_TTL 1          /* Timing.GrantTTL */
#define READ_TTL  2          /* TableReadTTL, and PredecessorTTL without clock drift */
#ifdef NO_GAP
#define GAP 0
#else
#define GAP 4                /* fenceGap: more than the fences that are assigned in the lost time */
#endif

/* The record in the store: State and Range. An owner of NONE is a table without ranges. */
byte version = 1;
byte owner;
byte previous_owner = NONE;
byte fence = 1;
byte last_fence = 1;         /* State.LastFence */
byte term = 1;               /* State.Term */
bool record_granted;
byte writer;
bool outdated;               /* Document.Outdated */

/* The copy. */
bool copied;
bool returned;
byte copy_owner;
byte copy_previous;
byte copy_fence;
byte copy_last;
byte copy_term;
bool copy_granted;

/* Coordinators: the service keys and its Executor. */
bool elected[2];
byte known_version[2];       /* Service.version */
byte known_owner[2];
byte known_previous[2] = NONE;
byte known_fence[2];
byte known_last[2];
byte known_term[2];
byte read_left[2];           /* ticks until Executor.confirmedAt + TableReadTTL */
byte unknown_left[2];        /* ticks until coordinator.fenceUntil */
byte owner_left[2];          /* ticks until progress.grantedUntil */
byte previous_left[2];       /* ticks until progress.previousOwnerUntil */
bool release_acked[2];
bool grant_acked[2];
bool lost[2];                /* the other coordinator has written a record that was lost */
bool restoring[2];           /* eraState.outdated, while elected */
bool replaced[2];            /* mayHaveBeenReplaced */
byte doubt_left[2];          /* ticks until eraState.doubtUntil */
bool refused[2];             /* eraState.refused */
bool raised[4];              /* backendContact.fenced: by coordinator and backend */

/* Backends. */
byte grant_left[2];          /* ticks until its grant expires */
byte highest_fence[2];       /* highest fence that it has received */
byte granted_fence[2];       /* highest fence that it has been granted */

#define decrement(x) x = (x > 0 -> x - 1 : 0)
#define max(a, b) (a > b -> a : b)
#define min(a, b) (a < b -> a : b)
#define current(c) (elected[c] && known_version[c] == version)
#ifdef NO_RAISE
#define fenced(c) true
#else
#define fenced(c) ((raised[2 * c] && raised[2 * c + 1]) || unknown_left[c] == 0) /* Service.earlierGrantsFenced */
#endif
#ifdef NO_DOUBT
#define in_doubt(c) false
#else
#define in_doubt(c) (replaced[c] && (doubt_left[c] > 0 || refused[c])) /* Service.inDoubt */
#endif
/* A read of an outdated record does not extend the grants of a coordinator: Service.coordinate. */
#ifdef NO_HORIZON
#define unconfirmed(c) false
#else
#define unconfirmed(c) restoring[c]
#endif
/* State.OlderThan: the copy is newer than the coordinator's own table. */
#define older(c) (known_term[c] < term || (known_term[c] == term && known_last[c] < last_fence))
/* Executor.nextCommand: the range may be granted to its owner. */
#define may_grant(c) (grant_acked[c] || known_previous[c] == NONE || release_acked[c] || previous_left[c] == 0)

inline install(c) {
    known_version[c] = version; known_owner[c] = owner; known_previous[c] = previous_owner; known_fence[c] = fence;
    known_last[c] = last_fence; known_term[c] = term; release_acked[c] = false; grant_acked[c] = record_granted
}

inline become_coordinator(c) {
    elected[c] = true; writer = c; term++; install(c); read_left[c] = READ_TTL; unknown_left[c] = READ_TTL;
    previous_left[c] = READ_TTL; owner_left[c] = 0; raised[2 * c] = false; raised[2 * c + 1] = false;
    restoring[c] = false; replaced[c] = false
}

inline raise(c, b) {
    highest_fence[b] = max(known_last[c] + 1, highest_fence[b]); grant_left[b] = 0; raised[2 * c + b] = true
}

inline coordinator(c) {
    if
    /* Executor.ConfirmTable: the newest record is the one that this coordinator has. */
    :: current(c) && !unconfirmed(c) -> read_left[c] = READ_TTL
    /* Service.resign: the other coordinator has written. */
    :: elected[c] && known_version[c] != version && !outdated -> elected[c] = false
    /* Service.keepTable: the coordinator keeps its record, or has heard of a newer one and resigns. */
    :: elected[c] && known_version[c] != version && outdated ->
        if
        :: !older(c) && read_left[c] > 0 ->
            known_version[c] = version; restoring[c] = true; replaced[c] = lost[c]; doubt_left[c] = READ_TTL; refused[c] = false
        :: older(c) || lost[c] || read_left[c] == 0 -> elected[c] = false
        fi
    /* Service.restoreTable */
    :: current(c) && restoring[c] && !in_doubt(c) && version < MAXLOG ->
        version++; writer = c; term = known_term[c]; owner = known_owner[c]; fence = known_fence[c]; record_granted = grant_acked[c];
        previous_owner = (grant_acked[c] -> NONE : known_previous[c]); last_fence = max(known_last[c], last_fence) + GAP;
        known_version[c] = version; known_last[c] = last_fence; known_previous[c] = previous_owner;
        outdated = false; restoring[c] = false; replaced[c] = false
    /* Service.claimIfDue with a record of the current era. */
    :: !elected[c] && !outdated && version < MAXLOG -> version++; become_coordinator(c)
    /* Service.claimIfDue with an outdated record: Service.recoveredState. */
    :: !elected[c] && outdated && version < MAXLOG ->
        version++; outdated = false;
#ifndef ADOPT_COPY
        last_fence = max(known_last[c], last_fence) + GAP; term = max(known_term[c], term);
        owner = NONE; previous_owner = NONE; fence = 0; record_granted = false;
#endif
        become_coordinator(c)
    /* Service.raiseFence */
    :: elected[c] && known_owner[c] == NONE && !raised[2 * c] -> raise(c, 0)
    :: elected[c] && known_owner[c] == NONE && !raised[2 * c + 1] -> raise(c, 1)
    /* Service.plan: the first assignment, to either backend. */
    :: current(c) && !restoring[c] && known_owner[c] == NONE && fenced(c) && version < MAXLOG ->
        version++; last_fence++; fence = last_fence; writer = c;
        if
        :: owner = 0
        :: owner = 1
        fi;
        install(c); owner_left[c] = 0; previous_left[c] = 0
    /* Service.plan: the range gets the other owner. */
    :: current(c) && !restoring[c] && known_owner[c] != NONE && grant_acked[c] && version < MAXLOG ->
        version++; last_fence++; fence = last_fence; writer = c; previous_owner = known_owner[c]; owner = 1 - known_owner[c];
        record_granted = false; previous_left[c] = max(unknown_left[c], owner_left[c]); owner_left[c] = 0; install(c)
    /* Service.inDoubt: a backend has refused, so the range was moved by a lost record. */
    :: elected[c] && replaced[c] && refused[c] && doubt_left[c] == 0 -> elected[c] = false
    /* A release that is acknowledged. */
    :: elected[c] && known_owner[c] != NONE && known_previous[c] != NONE && !grant_acked[c] && !release_acked[c] ->
        highest_fence[known_previous[c]] = max(known_fence[c], highest_fence[known_previous[c]]);
        grant_left[known_previous[c]] = 0; release_acked[c] = true
    /* A grant or renewal, which the backend refuses below the highest fence that it has seen. */
    :: elected[c] && known_owner[c] != NONE && may_grant(c) && read_left[c] > 0 ->
        if
        :: known_fence[c] >= highest_fence[known_owner[c]] ->
            highest_fence[known_owner[c]] = known_fence[c]; granted_fence[known_owner[c]] = known_fence[c];
            grant_left[known_owner[c]] = max(grant_left[known_owner[c]], min(GRANT_TTL, read_left[c]));
            grant_acked[c] = true; owner_left[c] = max(owner_left[c], min(GRANT_TTL, read_left[c]))
        :: else -> refused[c] = true
        fi
    fi
}

/* The store takes a copy, and returns from it later. */
inline store() {
    if
    :: !copied ->
        copied = true; copy_term = term; copy_owner = owner; copy_previous = previous_owner; copy_fence = fence;
        copy_last = last_fence; copy_granted = record_granted
    :: copied && !returned && version < MAXLOG ->
        lost[0] = (known_version[0] != version); lost[1] = (known_version[1] != version);
        returned = true; version++; outdated = true;
        owner = copy_owner; previous_owner = copy_previous; fence = copy_fence; last_fence = copy_last; record_granted = copy_granted;
        term = copy_term
    fi
}

inline tick() {
    decrement(grant_left[0]); decrement(grant_left[1]); decrement(read_left[0]); decrement(read_left[1]);
    decrement(unknown_left[0]); decrement(unknown_left[1]); decrement(owner_left[0]); decrement(owner_left[1]);
    decrement(previous_left[0]); decrement(previous_left[1]); decrement(doubt_left[0]); decrement(doubt_left[1])
}

/* No key has two owners, and no fence is granted to two backends. */
#define check() assert(!(grant_left[0] > 0 && grant_left[1] > 0) && (granted_fence[0] == 0 || granted_fence[0] != granted_fence[1]))

init {
    atomic {
        elected[0] = true; known_version[0] = 1; known_fence[0] = 1; known_last[0] = 1; known_term[0] = 1; read_left[0] = READ_TTL
    }
    do
    :: atomic { tick(); check() }
    :: atomic { coordinator(0); check() }
    :: atomic { coordinator(1); check() }
    :: atomic { store(); check() }
    od
}
