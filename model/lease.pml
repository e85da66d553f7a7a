/*
 * Majority lease of one name, as in internal/decide/lease.
 *
 * Members 0, 1 and 2 vote (Voter); members 0 and 1 also claim (Holder). The messages of member 0 are delayed or lost; those
 * of its rival, member 1, arrive at once or never, since a delay only shortens the rival's validity. Time advances in ticks. Steps are never forced, so
 * a member that takes none for a while is paused, and a message that is never delivered is lost. The clock of a voter may
 * gain one tick in each promise: that is the drift.
 *
 * Broken variants, each of which must violate the assertion:
 *   NO_WAIT        a voter promises the name to another member before the promise has lapsed
 *   NO_DRIFT       the promise is as long as the validity
 *   NO_START_WAIT  a restarted voter promises at once
 *   NO_MAJORITY    one promise makes a holder
 *   LATE_COUNT     the holder counts from the receipt of the answer
 *   NO_TERM        a voter takes a late release for the present holding
 */
#ifndef TTL
#define TTL     2
#endif
#define NONE    2
/* Holdings that are explored of member 0 and of its rival. */
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
byte left[3];                /* ticks until promise.until */
byte term_of[3];             /* promise.term */
bool released[3];            /* promise.released */
bool may_gain[3];            /* the clock may still gain a tick in this promise */
byte start_wait[3];          /* ticks until Voter.notBefore */

/* Holder: holding in holder.go. */
byte mode[2];
byte term[2];
byte valid[6];               /* ticks for which the voter's ack still counts; index is pair(c, v) */

/* Messages between member 0 and voter v: one claim or its answer, and one release. */
byte kind[3];
byte age_left[3];            /* TTL less the ticks since the claim was sent */
byte msg_term[3];
byte release_term[3];        /* 0: none */

#define pair(c, v) ((c) * 3 + (v))
#define acked(c, v) (valid[pair(c, v)] > 0 -> 1 : 0)
#define acks(c) (acked(c, 0) + acked(c, 1) + acked(c, 2))
#define down(x) x = (x > 0 -> x - 1 : 0)

/* Voter.Claim refuses claims of holdings that the member has ended: promise.outdated. */
#define outdated(c, v, t) (promised[v] == c && (t < term_of[v] || (t == term_of[v] && released[v])))
#ifdef NO_WAIT
#define free_for(c, v) (start_wait[v] == 0)
#else
#define free_for(c, v) (start_wait[v] == 0 && (left[v] == 0 || promised[v] == c))
#endif

/* Voter.Claim, granted: promise.granted. */
inline promise_to(c, v, t) {
    promised[v] = c; left[v] = PROMISE; term_of[v] = t; released[v] = false; may_gain[v] = true
}

/* Holder.tryHold and holding.validUntil. */
inline try_hold(c) {
    if
    :: mode[c] == CLAIMING && acks(c) >= MAJORITY -> mode[c] = HELD
    :: else
    fi;
    assert(!(mode[0] == HELD && mode[1] == HELD))
}

/* Grants of an ended holding are ignored, and so is the age of its claims: one form for states that behave alike. */
inline ignore(c, v) {
    if
    :: kind[v] == GRANT -> kind[v] = EMPTY; msg_term[v] = 0
    :: else
    fi;
    age_left[v] = 0
}

inline forget_acks(c) { valid[pair(c, 0)] = 0; valid[pair(c, 1)] = 0; valid[pair(c, 2)] = 0 }

/* Holder.Tick: holding.begin starts a new term. */
inline begin(c) {
    d_step { mode[c] == IDLE && term[c] < MAXTERM(c) -> term[c]++; mode[c] = CLAIMING; forget_acks(c) }
}

/* Participant.Tick: the own vote. */
inline vote_for_self(c) {
    d_step { mode[c] != IDLE && free_for(c, c) && !outdated(c, c, term[c]) && valid[pair(c, c)] < TTL ->
        promise_to(c, c, term[c]); valid[pair(c, c)] = TTL; try_hold(c) }
}

/* Participant.Tick: the claim is sent to another voter. */
/* Participant.Vote and Holder.Answer for the rival: a claim, its answer and a release without delay. */
inline claim_at_once(c, v) {
    d_step { mode[c] != IDLE && free_for(c, v) && !outdated(c, v, term[c]) && valid[pair(c, v)] < TTL ->
        promise_to(c, v, term[c]); valid[pair(c, v)] = TTL; try_hold(c) }
}
inline release_at_once(c) {
    d_step { mode[c] != IDLE -> mode[c] = IDLE; forget_acks(c);
        for (i : 0 .. 2) {
            if
            :: promised[i] == c -> left[i] = 0; may_gain[i] = false; released[i] = true; term_of[i] = term[c]
            :: else
            fi
        }
        i = 0 }
}

inline send_claim(c, v) {
    d_step { mode[c] != IDLE && kind[v] == EMPTY ->
        kind[v] = CLAIM; age_left[v] = TTL; msg_term[v] = term[c] }
}

/* Participant.Vote: the claim arrives. */
inline receive_claim(c, v) {
    d_step { kind[v] == CLAIM ->
        if
        :: free_for(c, v) && !outdated(c, v, msg_term[v]) ->
            promise_to(c, v, msg_term[v]); kind[v] = GRANT
        :: else -> kind[v] = EMPTY; age_left[v] = 0; msg_term[v] = 0
        fi }
}

/* Holder.Answer: a granted claim of the present term counts from the time it was sent. */
inline receive_grant(c, v) {
    d_step { kind[v] == GRANT ->
#ifdef LATE_COUNT
        age_left[v] = TTL;
#endif
        if
        :: mode[c] != IDLE && msg_term[v] == term[c] && age_left[v] > valid[pair(c, v)] ->
            valid[pair(c, v)] = age_left[v]
        :: else
        fi;
        kind[v] = EMPTY; age_left[v] = 0; msg_term[v] = 0;
        try_hold(c) }
}

inline lose(c, v) {
    d_step { kind[v] != EMPTY -> kind[v] = EMPTY; age_left[v] = 0; msg_term[v] = 0 }
}

/* Holder.Release and holding.end; the own vote is freed by Participant.voteOnReleases. */
inline release(c, v, w) {
    d_step { mode[c] != IDLE ->
        mode[c] = IDLE; forget_acks(c); ignore(c, v); ignore(c, w);
        release_term[v] = term[c]; release_term[w] = term[c];
        if
        :: promised[c] == c -> left[c] = 0; may_gain[c] = false; released[c] = true; term_of[c] = term[c]
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
            left[v] = 0; may_gain[v] = false; released[v] = true; term_of[v] = release_term[v]
        :: else
        fi;
        release_term[v] = 0 }
}

/* Participant of a restarted process: NewVoter promises nothing for the start wait. */
inline restart(v) {
    d_step { promised[v] = NONE; left[v] = 0; term_of[v] = 0; released[v] = false;
#ifdef NO_START_WAIT
        start_wait[v] = 0
#else
        start_wait[v] = PROMISE; may_gain[v] = true
#endif
    }
}

/* The clock of a voter gains a tick. */
inline gain(v) {
    d_step { may_gain[v] && (left[v] > 0 || start_wait[v] > 0) -> may_gain[v] = false; down(left[v]); down(start_wait[v]) }
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
            down(left[i]); down(start_wait[i]);
            may_gain[i] = may_gain[i] && (left[i] > 0 || start_wait[i] > 0)
        }
        for (i : 0 .. 5) { down(valid[i]) }
        for (i : 0 .. 2) {
            down(age_left[i]);
            if
            :: kind[i] == GRANT && age_left[i] == 0 -> kind[i] = EMPTY; msg_term[i] = 0
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
