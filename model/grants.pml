/*
 * Ownership of one range of keys on the users' platform, as in internal/decide/keyrange and internal/service/keys.
 *
 * The store keeps the record of the range and appends under a condition. Two coordinators carry the record out at two back
 * ends by releases and grants. Time advances in ticks. Steps are never forced: a coordinator that takes none is suspended, lost, or cut
 * off from the store (no confirmation, claim or write) or from a back end (no order); a store that is away is one that nobody
 * reaches. An order arrives at once or never, since an order that is given up resets its connection; a grant that arrived may be
 * carried out later. A back end's clock may run slow: a hold lasts up to DRIFT longer than granted.
 *
 * Broken variants, each of which must violate the assertion:
 *   NO_WAIT       a new coordinator takes a range that was not released for free
 *   NO_HORIZON    grants last their full time however long ago the coordinator has read the table
 *   NO_DRIFT      the coordinator does not count on slow clocks
 *   NO_CONDITION  the store appends whatever was written since
 *   OLD_FENCE     a release carries the fence of the former assignment
 *   NO_FENCE      a back end takes grants below the highest fence that it has seen
 *   LATE_COUNT    the time of a grant counts from when it is carried out
 */
#ifndef MAXLOG
#define MAXLOG 5             /* records that are explored */
#endif
#define NONE    2
#define HOLD    2            /* Timing.Hold */
#define HORIZON 3            /* Horizon */
#ifdef NO_DRIFT
#define DRIFT   0            /* withDrift, as the coordinator counts */
#else
#define DRIFT   1
#endif
#define SLOW    1            /* what a back end's clock adds */

/* The record in the store: Range. */
byte version = 1;
byte owner;
byte former = NONE;
byte fence = 1;
bool settled;
byte writer;

/* Coordinators: Service of keys, Executor. */
bool elected[2];
byte known[2];               /* Service.version */
byte k_owner[2];
byte k_former[2] = NONE;
byte k_fence[2];
byte horizon[2];             /* ticks until Executor.confirmedAt + Horizon */
byte unknown[2];             /* ticks until Executor.unknownUntil */
byte granted[2];             /* ticks until progress.holdUntil of the owner */
byte waiting[2];             /* the same of the former owner, or of whoever held the range before this coordinator */
bool freed[2];               /* the former owner has acknowledged its release */
bool held[2];                /* the owner has acknowledged a grant, or the record says so */

/* Back ends. */
byte hold[2];                /* ticks left */
byte seen[2];                /* highest fence */
byte late_left[2];           /* a grant that has arrived and is not carried out: ticks until it has run out */
byte late_fence[2];

#define down(x) x = (x > 0 -> x - 1 : 0)
#define larger(a, b) (a > b -> a : b)
#define smaller(a, b) (a < b -> a : b)

#ifdef NO_HORIZON
#define length(c) HOLD
#else
#define length(c) smaller(HOLD, horizon[c])      /* Executor.hold */
#endif
#ifdef NO_CONDITION
#define condition(c) true
#else
#define condition(c) (known[c] == version)       /* Documents.Replace */
#endif
#ifdef NO_FENCE
#define accepts(b, f) true
#else
#define accepts(b, f) (f >= seen[b])
#endif
#ifdef OLD_FENCE
#define release_fence(c) (k_fence[c] - 1)
#else
#define release_fence(c) k_fence[c]
#endif
#ifdef LATE_COUNT
#define late_hold(b) (HOLD + SLOW)
#else
#define late_hold(b) late_left[b]
#endif

/* Executor.next: the range may be granted to its owner. */
#define may_grant(c) (held[c] || k_former[c] == NONE || freed[c] || waiting[c] == 0)

/* Executor.Adopt of a record of this coordinator's own. */
inline adopt_move(c) {
    waiting[c] = larger(unknown[c], granted[c]); granted[c] = 0;
    k_former[c] = former; k_owner[c] = owner; k_fence[c] = fence; known[c] = version;
    freed[c] = false; held[c] = false
}

/* plan and write: the range gets the other owner. */
inline write_move(c) {
    version++; former = k_owner[c]; owner = 1 - k_owner[c]; fence = k_fence[c] + 1; settled = false; writer = c
}

/* Process of a back end: a grant is carried out with the given time left. */
inline carry_out(b, f, ticks) {
    if
    :: accepts(b, f) -> seen[b] = larger(f, seen[b]); hold[b] = ticks
    :: else
    fi
}

inline coordinator(c) {
    /* confirmInterval: the newest record is this coordinator's. */
    if
    :: elected[c] && known[c] == version -> horizon[c] = HORIZON
    /* An append whose answer was lost is read back and carried out. */
    :: elected[c] && known[c] != version && writer == c -> adopt_move(c); horizon[c] = HORIZON
    /* Another one has written: Service.resign. */
    :: elected[c] && known[c] != version && writer != c -> elected[c] = false
    /* claimIfDue: the record gets a new writer. The unsettled range may be held by its former owner. */
    :: !elected[c] && version < MAXLOG ->
        version++; writer = c; elected[c] = true; known[c] = version;
        k_owner[c] = owner; k_former[c] = former; k_fence[c] = fence;
        horizon[c] = HORIZON; granted[c] = 0; freed[c] = false; held[c] = settled;
#ifdef NO_WAIT
        unknown[c] = 0;
#else
        unknown[c] = HORIZON + DRIFT;
#endif
        waiting[c] = unknown[c]
    :: elected[c] && held[c] && version < MAXLOG && condition(c) -> write_move(c); adopt_move(c)
    /* The same, and the answer of the store is lost. */
    :: elected[c] && held[c] && version < MAXLOG && condition(c) -> write_move(c)
    /* Settled: the record says that the owner holds the range. */
    :: elected[c] && held[c] && k_former[c] != NONE && version < MAXLOG && known[c] == version ->
        version++; writer = c; settled = true; former = NONE; known[c] = version; k_former[c] = NONE
    /* A release that is acknowledged, and one whose answer is lost. */
    :: elected[c] && k_former[c] != NONE && !held[c] ->
        seen[k_former[c]] = larger(release_fence(c), seen[k_former[c]]); hold[k_former[c]] = 0;
        if
        :: freed[c] = true
        :: true
        fi
    /* A grant or renewal that is carried out; the answer may be lost. */
    :: elected[c] && may_grant(c) && length(c) > 0 ->
        granted[c] = larger(granted[c], length(c) + DRIFT);
        if
        :: accepts(k_owner[c], k_fence[c]) ->
            carry_out(k_owner[c], k_fence[c], length(c) + SLOW);
            if
            :: held[c] = true
            :: true
            fi
        :: else
        fi
    /* One that has arrived and will be carried out later. */
    :: elected[c] && may_grant(c) && length(c) > 0 && late_left[k_owner[c]] == 0 ->
        granted[c] = larger(granted[c], length(c) + DRIFT);
        late_left[k_owner[c]] = length(c) + SLOW; late_fence[k_owner[c]] = k_fence[c]
    fi
}

inline backend(b) {
    late_left[b] > 0 -> carry_out(b, late_fence[b], late_hold(b)); late_left[b] = 0; late_fence[b] = 0
}

inline tick() {
    down(hold[0]); down(hold[1]); down(late_left[0]); down(late_left[1]);
    down(horizon[0]); down(horizon[1]); down(unknown[0]); down(unknown[1]);
    down(granted[0]); down(granted[1]); down(waiting[0]); down(waiting[1])
}

init {
    atomic {
        elected[0] = true; known[0] = 1; k_fence[0] = 1; horizon[0] = HORIZON
    }
    do
    :: atomic { tick(); assert(!(hold[0] > 0 && hold[1] > 0)) }
    :: atomic { coordinator(0); assert(!(hold[0] > 0 && hold[1] > 0)) }
    :: atomic { coordinator(1); assert(!(hold[0] > 0 && hold[1] > 0)) }
    :: atomic { backend(0); assert(!(hold[0] > 0 && hold[1] > 0)) }
    :: atomic { backend(1); assert(!(hold[0] > 0 && hold[1] > 0)) }
    od
}
