/*
 * Majority lease of one name, as in internal/decide/lease.
 *
 * Members 0, 1 and 2 vote (Voter); members 0 and 1 also claim (Holder). The messages of member 0 are delayed or lost. Those of
 * its rival, member 1, arrive at once or never, because a delay only shortens the rival's validity. Time advances in ticks. Steps
 * are never forced: a member that takes no step for a while is paused, and a message that is never delivered is lost. The clock
 * of a voter may gain one tick in each promise: that is the drift.
 *
 * Broken variants, each of which must violate the assertion:
 *   NO_WAIT        a voter promises the name to another member before the promise has lapsed
 *   NO_DRIFT       the promise is as long as the validity
 *   NO_START_WAIT  a restarted voter promises at once
 *   NO_MAJORITY    one promise is enough for a holder
 *   LATE_COUNT     the holder counts the validity from the receipt of the answer
 *   NO_TERM        a voter applies a late release to a later holding of the member
 */
#ifndef TTL
#define TTL     2
#endif
#define NONE    2
/* Number of holdings that are explored: two of member 0, one of its rival. */
#define MAXTERM(c) (2 - (c))

#ifdef NO_DRIFT
#define PROMISE TTL
#else
#define PROMISE (TTL + 1)    /* Promise in lease.go */
#endif

#ifdef NO_MAJORITY
#define MAJORITY 1
#else
#define MAJORITY 2           /* Roster.Majority */
#endif

#define IDLE     0
#define CLAIMING 1
#define HELD     2

#define EMPTY 0
#define CLAIM 1
#define GRANT 2

/* Voter: promise in voter.go. */
byte promised[3] = NONE;     /* promise.holder */
byte promise_left[3];        /* ticks until promise.until */
byte term_of[3];             /* promise.term */
bool released[3];            /* promise.released */
bool may_gain[3];            /* the clock may still gain a tick in this promise */
byte start_wait[3];          /* ticks until Voter.notBefore */

/* Holder: holding in holder.go. */
byte mode[2];
byte term[2];
byte valid[6];               /* ticks for which the voter's acknowledgement still counts; indexed by pair(c, v) */

/* Messages between member 0 and voter v: at most one claim or its answer, and one release. */
byte msg_kind[3];
byte ttl_left[3];            /* TTL minus the ticks since the claim was sent */
byte msg_term[3];
byte release_term[3];        /* 0: none */

#define pair(c, v) ((c) * 3 + (v))
#define acked(c, v) (valid[pair(c, v)] > 0 -> 1 : 0)
#define acks(c) (acked(c, 0) + acked(c, 1) + acked(c, 2))
#define decrement(x) x = (x > 0 -> x - 1 : 0)

/* promise.outdated: Voter.Claim refuses claims of holdings that the member has ended. */
#define outdated(c, v, t) (promised[v] == c && (t < term_of[v] || (t == term_of[v] && released[v])))
#ifdef NO_WAIT
#define free_for(c, v) (start_wait[v] == 0)
#else
#define free_for(c, v) (start_wait[v] == 0 && (promise_left[v] == 0 || promised[v] == c))
#endif

/* promise.granted, on a claim that Voter.Claim grants. */
inline promise_to(c, v, t) {
    promised[v] = c; promise_left[v] = PROMISE; term_of[v] = t; released[v] = false; may_gain[v] = true
}

/* Holder.tryHold and holding.validUntil. */
inline try_hold(c) {
    if
    :: mode[c] == CLAIMING && acks(c) >= MAJORITY -> mode[c] = HELD
    :: else
    fi;
    assert(!(mode[0] == HELD && mode[1] == HELD))
}

/* Discards the grants of an ended holding, and the age of its claims, which has no effect any more. States that behave alike thus
 * become equal. */
inline ignore(c, v) {
    if
    :: msg_kind[v] == GRANT -> msg_kind[v] = EMPTY; msg_term[v] = 0
    :: else
    fi;
    ttl_left[v] = 0
}

inline forget_acks(c) { valid[pair(c, 0)] = 0; valid[pair(c, 1)] = 0; valid[pair(c, 2)] = 0 }

/* Holder.Tick: holding.start starts an attempt with a new term. */
inline begin(c) {
    d_step { mode[c] == IDLE && term[c] < MAXTERM(c) -> term[c]++; mode[c] = CLAIMING; forget_acks(c) }
}

/* Participant.Tick: the claimant's own vote. */
inline vote_for_self(c) {
    d_step { mode[c] != IDLE && free_for(c, c) && !outdated(c, c, term[c]) && valid[pair(c, c)] < TTL ->
        promise_to(c, c, term[c]); valid[pair(c, c)] = TTL; try_hold(c) }
}

/* Participant.Tick: the claim is sent to another voter. */
/* Participant.Vote and Holder.HandleResults for the rival: a claim and its answer, or a release, without delay. */
inline claim_at_once(c, v) {
    d_step { mode[c] != IDLE && free_for(c, v) && !outdated(c, v, term[c]) && valid[pair(c, v)] < TTL ->
        promise_to(c, v, term[c]); valid[pair(c, v)] = TTL; try_hold(c) }
}
inline release_at_once(c) {
    d_step { mode[c] != IDLE -> mode[c] = IDLE; forget_acks(c);
        for (i : 0 .. 2) {
            if
            :: promised[i] == c -> promise_left[i] = 0; may_gain[i] = false; released[i] = true; term_of[i] = term[c]
            :: else
            fi
        }
        i = 0 }
}

inline send_claim(c, v) {
    d_step { mode[c] != IDLE && msg_kind[v] == EMPTY ->
        msg_kind[v] = CLAIM; ttl_left[v] = TTL; msg_term[v] = term[c] }
}

/* Participant.Vote: a claim arrives at a voter. */
inline receive_claim(c, v) {
    d_step { msg_kind[v] == CLAIM ->
        if
        :: free_for(c, v) && !outdated(c, v, msg_term[v]) ->
            promise_to(c, v, msg_term[v]); msg_kind[v] = GRANT
        :: else -> msg_kind[v] = EMPTY; ttl_left[v] = 0; msg_term[v] = 0
        fi }
}

/* Holder.HandleResults: the validity of a claim granted in the current term counts from the time when the claim was sent. */
inline receive_grant(c, v) {
    d_step { msg_kind[v] == GRANT ->
#ifdef LATE_COUNT
        ttl_left[v] = TTL;
#endif
        if
        :: mode[c] != IDLE && msg_term[v] == term[c] && ttl_left[v] > valid[pair(c, v)] ->
            valid[pair(c, v)] = ttl_left[v]
        :: else
        fi;
        msg_kind[v] = EMPTY; ttl_left[v] = 0; msg_term[v] = 0;
        try_hold(c) }
}

inline lose(c, v) {
    d_step { msg_kind[v] != EMPTY -> msg_kind[v] = EMPTY; ttl_left[v] = 0; msg_term[v] = 0 }
}

/* Holder.Release and holding.stop. Participant.voteOnReleases frees the claimant's own promise. */
inline release(c, v, w) {
    d_step { mode[c] != IDLE ->
        mode[c] = IDLE; forget_acks(c); ignore(c, v); ignore(c, w);
        release_term[v] = term[c]; release_term[w] = term[c];
        if
        :: promised[c] == c -> promise_left[c] = 0; may_gain[c] = false; released[c] = true; term_of[c] = term[c]
        :: else
        fi }
}

/* Voter.release. */
inline receive_release(c, v) {
    d_step { release_term[v] > 0 ->
        if
#ifdef NO_TERM
        :: promised[v] == c ->
#else
        :: promised[v] == c && release_term[v] >= term_of[v] ->
#endif
            promise_left[v] = 0; may_gain[v] = false; released[v] = true; term_of[v] = release_term[v]
        :: else
        fi;
        release_term[v] = 0 }
}

/* A restarted process: the voter of NewVoter promises nothing until the start wait has passed. */
inline restart(v) {
    d_step { promised[v] = NONE; promise_left[v] = 0; term_of[v] = 0; released[v] = false;
#ifdef NO_START_WAIT
        start_wait[v] = 0
#else
        start_wait[v] = PROMISE; may_gain[v] = true
#endif
    }
}

/* The clock of a voter gains a tick. */
inline gain(v) {
    d_step { may_gain[v] && (promise_left[v] > 0 || start_wait[v] > 0) ->
        may_gain[v] = false; decrement(promise_left[v]); decrement(start_wait[v]) }
}

/* Holder.Expire. */
inline expire(c) {
    if
    :: mode[c] == HELD && acks(c) < MAJORITY -> mode[c] = IDLE; forget_acks(c)
    :: else
    fi
}

inline tick() {
    d_step {
        for (i : 0 .. 2) {
            decrement(promise_left[i]); decrement(start_wait[i]);
            may_gain[i] = may_gain[i] && (promise_left[i] > 0 || start_wait[i] > 0)
        }
        for (i : 0 .. 5) { decrement(valid[i]) }
        for (i : 0 .. 2) {
            decrement(ttl_left[i]);
            if
            :: msg_kind[i] == GRANT && ttl_left[i] == 0 -> msg_kind[i] = EMPTY; msg_term[i] = 0
            :: else
            fi
        }
        i = 0;
        expire(0); expire(1);
        if
        :: mode[0] == IDLE -> ignore(0, 1); ignore(0, 2)
        :: else
        fi
    }
}

active proctype system() {
    byte i;
    do
    :: begin(0)
    :: begin(1)
    :: vote_for_self(0)
    :: claim_at_once(1, 0)
    :: claim_at_once(1, 1)
    :: claim_at_once(1, 2)
    :: send_claim(0, 1)
    :: send_claim(0, 2)
    :: receive_claim(0, 1)
    :: receive_claim(0, 2)
    :: receive_grant(0, 1)
    :: receive_grant(0, 2)
    :: lose(0, 1)
    :: lose(0, 2)
    :: release(0, 1, 2)
    :: release_at_once(1)
    :: receive_release(0, 1)
    :: receive_release(0, 2)
    :: restart(2)
    :: gain(0)
    :: gain(1)
    :: gain(2)
    :: tick()
    od
}
