/*
 * Ownership of one key range on the users' platform, as in internal/decide/keyrange and internal/service/keys.
 *
 * The store keeps the record of the range and accepts a write only under a condition. Two coordinators execute the record at two
 * backends by releases and grants. Time advances in ticks. Steps are never forced: a coordinator that takes no step is suspended
 * or lost, or it is partitioned from the store (no confirmation, claim or write) or from a backend (no command). If the store is
 * unavailable, no coordinator reaches it. A command arrives at once or never, because a command that is given up resets its
 * connection; a grant that has arrived may be applied later. A backend's clock may run slow: a grant lasts up to DRIFT longer
 * than its TTL. A coordinator grants either of two TTLs at any time; a backend keeps the later end of two grants.
 *
 * Broken variants, each of which must violate the assertion:
 *   NO_WAIT       a new coordinator treats a range that was not released as free
 *   NO_HORIZON    grants have their full TTL however long ago the coordinator has read the table
 *   NO_DRIFT      the coordinator does not allow for slow clocks
 *   NO_CONDITION  the store accepts a write whatever was written since the writer's last read
 *   OLD_FENCE     a release carries the fence of the previous assignment
 *   NO_FENCE      a backend accepts grants below the highest fence that it has seen
 *   LATE_COUNT    the TTL of a grant counts from when it is applied
 *   LAST_RENEWAL  the coordinator counts only the last answered grant, although a longer one before it may end later
 */
#ifndef MAXLOG
#define MAXLOG 5             /* number of records that are explored */
#endif
#define NONE    2
#define GRANT_TTL      2     /* Timing.GrantTTL */
#define LONG_GRANT_TTL 3     /* Timing.LongGrantTTL, during outages of the store */
#define TABLE_READ_TTL 3     /* TableReadTTL */
#ifdef NO_DRIFT
#define DRIFT   0            /* what withDrift adds at the coordinator */
#else
#define DRIFT   1
#endif
#define SLOW    1            /* what a backend's slow clock adds */

/* The record in the store: Range. record_granted is Range.Granted. */
byte version = 1;
byte owner;
byte previous_owner = NONE;
byte fence = 1;
bool record_granted;
byte writer;

/* Coordinators: the service keys and its Executor. */
bool elected[2];
byte known_version[2];       /* Service.version */
byte known_owner[2];
byte known_previous[2] = NONE;
byte known_fence[2];
byte read_ttl_left[2];       /* ticks until Executor.confirmedAt + TableReadTTL */
byte unknown_left[2];        /* ticks until Executor.unknownGrantsUntil */
byte owner_left[2];          /* ticks until progress.grantedUntil */
byte previous_left[2];       /* ticks until progress.previousOwnerUntil, also for any owner before this coordinator's claim */
bool release_acked[2];       /* the previous owner has acknowledged its release */
bool grant_acked[2];         /* the owner has acknowledged a grant, or the record has record_granted */

/* Backends. */
byte grant_left[2];          /* ticks until its grant expires */
byte highest_fence[2];       /* highest fence that it has received */
byte late_left[2];           /* ticks until the expiry of a grant that has arrived and is not applied yet; 0: none */
byte late_fence[2];

#define decrement(x) x = (x > 0 -> x - 1 : 0)
#define max(a, b) (a > b -> a : b)
#define min(a, b) (a < b -> a : b)

#ifdef NO_HORIZON
#define grant_ttl(c, ttl) ttl
#else
#define grant_ttl(c, ttl) min(ttl, read_ttl_left[c]) /* Executor.grantTTL */
#endif
#ifdef NO_CONDITION
#define version_matches(c) true
#else
#define version_matches(c) (known_version[c] == version) /* DocumentStore.Replace */
#endif
#ifdef NO_FENCE
#define accepts(b, f) true
#else
#define accepts(b, f) (f >= highest_fence[b])
#endif
#ifdef OLD_FENCE
#define release_fence(c) (known_fence[c] - 1)
#else
#define release_fence(c) known_fence[c]
#endif
#ifdef LATE_COUNT
#define late_grant_left(b) (LONG_GRANT_TTL + SLOW)
#else
#define late_grant_left(b) late_left[b]
#endif

#ifdef LAST_RENEWAL
#define answered_left(c, ticks) (ticks)
#else
#define answered_left(c, ticks) max(owner_left[c], ticks) /* Executor.HandleResult */
#endif

/* Executor.nextCommand: the range may be granted to its owner. */
#define may_grant(c) (grant_acked[c] || known_previous[c] == NONE || release_acked[c] || previous_left[c] == 0)

/* Executor.SetState with a record that this coordinator has written. */
inline install_move(c) {
    previous_left[c] = max(unknown_left[c], owner_left[c]); owner_left[c] = 0;
    known_previous[c] = previous_owner; known_owner[c] = owner; known_fence[c] = fence; known_version[c] = version;
    release_acked[c] = false; grant_acked[c] = false
}

/* Service.plan and Service.writeTable: the range gets the other owner. */
inline write_move(c) {
    version++; previous_owner = known_owner[c]; owner = 1 - known_owner[c]; fence = known_fence[c] + 1; record_granted = false; writer = c
}

/* A backend applies a grant that expires after the given ticks. */
inline apply_grant(b, f, ticks) {
    if
    :: accepts(b, f) -> highest_fence[b] = max(f, highest_fence[b]); grant_left[b] = max(grant_left[b], ticks)
    :: else
    fi
}

/* A grant or renewal that is applied at once, whose answer may be lost, or that has arrived and will be applied later. */
inline send_grant(c, ttl) {
    if
    :: accepts(known_owner[c], known_fence[c]) ->
        apply_grant(known_owner[c], known_fence[c], ttl + SLOW);
        if
        :: grant_acked[c] = true; owner_left[c] = answered_left(c, ttl + DRIFT)
        :: owner_left[c] = max(owner_left[c], ttl + DRIFT)
        fi
    :: else
    :: late_left[known_owner[c]] == 0 ->
        owner_left[c] = max(owner_left[c], ttl + DRIFT);
        late_left[known_owner[c]] = ttl + SLOW; late_fence[known_owner[c]] = known_fence[c]
    fi
}

inline coordinator(c) {
    /* Executor.ConfirmTable, every confirmInterval: the newest record is the one that this coordinator has. */
    if
    :: elected[c] && known_version[c] == version -> read_ttl_left[c] = TABLE_READ_TTL
    /* A write whose answer was lost is read back and executed. */
    :: elected[c] && known_version[c] != version && writer == c -> install_move(c); read_ttl_left[c] = TABLE_READ_TTL
    /* Service.resign: the other coordinator has written. */
    :: elected[c] && known_version[c] != version && writer != c -> elected[c] = false
    /* Service.claimIfDue: the record gets a new writer. The previous owner of a range that is not recorded as granted may still
     * have a valid grant. */
    :: !elected[c] && version < MAXLOG ->
        version++; writer = c; elected[c] = true; known_version[c] = version;
        known_owner[c] = owner; known_previous[c] = previous_owner; known_fence[c] = fence;
        read_ttl_left[c] = TABLE_READ_TTL; owner_left[c] = 0; release_acked[c] = false; grant_acked[c] = record_granted;
#ifdef NO_WAIT
        unknown_left[c] = 0;
#else
        unknown_left[c] = TABLE_READ_TTL + DRIFT;
#endif
        previous_left[c] = unknown_left[c]
    :: elected[c] && grant_acked[c] && version < MAXLOG && version_matches(c) -> write_move(c); install_move(c)
    /* A move whose write succeeds, and the store's answer is lost. */
    :: elected[c] && grant_acked[c] && version < MAXLOG && version_matches(c) -> write_move(c)
    /* Executor.GrantedState: the coordinator records that the owner has been granted the range. */
    :: elected[c] && grant_acked[c] && known_previous[c] != NONE && version < MAXLOG && known_version[c] == version ->
        version++; writer = c; record_granted = true; previous_owner = NONE; known_version[c] = version; known_previous[c] = NONE
    /* A release that is acknowledged, or whose answer is lost. */
    :: elected[c] && known_previous[c] != NONE && !grant_acked[c] ->
        highest_fence[known_previous[c]] = max(release_fence(c), highest_fence[known_previous[c]]); grant_left[known_previous[c]] = 0;
        if
        :: release_acked[c] = true
        :: true
        fi
    :: elected[c] && may_grant(c) && grant_ttl(c, GRANT_TTL) > 0 -> send_grant(c, grant_ttl(c, GRANT_TTL))
    :: elected[c] && may_grant(c) && grant_ttl(c, LONG_GRANT_TTL) > GRANT_TTL -> send_grant(c, grant_ttl(c, LONG_GRANT_TTL))
    fi
}

inline backend(b) {
    late_left[b] > 0 -> apply_grant(b, late_fence[b], late_grant_left(b)); late_left[b] = 0; late_fence[b] = 0
}

inline tick() {
    decrement(grant_left[0]); decrement(grant_left[1]); decrement(late_left[0]); decrement(late_left[1]);
    decrement(read_ttl_left[0]); decrement(read_ttl_left[1]); decrement(unknown_left[0]); decrement(unknown_left[1]);
    decrement(owner_left[0]); decrement(owner_left[1]); decrement(previous_left[0]); decrement(previous_left[1])
}

init {
    atomic {
        elected[0] = true; known_version[0] = 1; known_fence[0] = 1; read_ttl_left[0] = TABLE_READ_TTL
    }
    do
    :: atomic { tick(); assert(!(grant_left[0] > 0 && grant_left[1] > 0)) }
    :: atomic { coordinator(0); assert(!(grant_left[0] > 0 && grant_left[1] > 0)) }
    :: atomic { coordinator(1); assert(!(grant_left[0] > 0 && grant_left[1] > 0)) }
    :: atomic { backend(0); assert(!(grant_left[0] > 0 && grant_left[1] > 0)) }
    :: atomic { backend(1); assert(!(grant_left[0] > 0 && grant_left[1] > 0)) }
    od
}
