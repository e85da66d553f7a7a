/*
 * Ownership of one partition, as in internal/decide/ownership and internal/service/{control,session,lease}.
 *
 * Backend 0 is in zone A, backend 1 in zone B; a third zone only votes. Replica 0 is the primary of backend 0, replica 1 that of
 * backend 1; lease.pml shows that a backend has one primary at a time. Steps are never forced: a primary that takes no step is
 * paused, a replica that does not read has no access to the log (the platform is unavailable, or the replica is partitioned from
 * it), and a zone that does not renew its authority is partitioned from the other zones. Requests are delayed without limit;
 * renewals and grants arrive within a tick or never.
 *
 * Broken variants, each of which must violate an assertion:
 *   NO_WAIT       the keys of a lost zone are released without the wait
 *   NO_CONDITION  replay applies records whatever version they were decided on
 *   LATE_RENEWAL  a primary renews the session after the end of its right to act
 *   NO_TOKEN      backends run requests whatever their token
 *   NO_DRAIN      a backend acknowledges a revocation while it runs a request
 *   STALE_RETURN  a zone regains its authority before it has replayed its loss
 *   LATE_GRANT    a grant reaches the backend after its session lapsed and was renewed
 */
#define NONE 2
#ifndef MAXLOG
#define MAXLOG 4             /* number of records that are explored, not counting those that replay drops */
#endif

/* Durations in ticks. */
#define SESSION 2            /* session_ttl: at least two ticks, so that a session can be renewed before it lapses */
#define FRESH 1              /* lease.Settings.FreshFor */
#define AUTHORITY 1          /* lease.Settings.AuthorityTTL */
#define PROMISE (AUTHORITY + 1)
#define CUTOFF_HOLD 1        /* cutoff_hold */
#define RUN 1                /* the longest time until the deadline of a request */
#ifdef NO_WAIT
#define WAIT 0
#else
#define WAIT (CUTOFF_HOLD + SESSION + RUN + 1)
#endif

#define MOVE 1
#define RELEASE 2
#define ZONE_LOST 3
#define ZONE_BACK 4

/* The log: the state after each record, which is the state of every replica that has replayed up to it (ownership.View). */
byte log_end;
byte owner[MAXLOG + 1];      /* Owner.Backend */
byte epoch[MAXLOG + 1];      /* Owner.Epoch */
byte to[MAXLOG + 1];         /* Owner.To */
byte version[MAXLOG + 1];    /* ServiceView.Version */
bool lost[MAXLOG + 1];       /* View.LostZones has zone A */

/* Replicas. */
byte pos[2];                 /* View.Offset */
byte pending[2];             /* kind of the record whose append is in flight; 0: none */
byte base[2];                /* version on which that record was decided */
byte revoked[2];             /* epoch whose revocation the backend has acknowledged */

/* Proofs of zone A: ticks until LeaseView.FreshUntil, and until LeaseView.AuthorityUntil + cutoff_hold. */
byte fresh_left;
byte authority_left;
byte promise_left;           /* ticks until the voters may grant A's authority to another zone */
bool authority_claimed;      /* zone B holds the lease authority/A */
byte known_loss;             /* Service.knownLoss at the voters */
bool waiting;
byte wait_left;              /* ticks until zone B may release A's keys */

/* Backends. */
byte session[2];
byte granted[2];             /* epoch of the grant; 0: none */
byte highest[2];             /* highest epoch granted */
bool highest_revoked[2];     /* whether the highest epoch was revoked */
byte running[2];             /* ticks until the deadline of the running request */

/* Messages: at most one request to each backend, with its token. */
byte request[2];
#ifdef LATE_GRANT
byte late_grant;
#endif

#define decrement(x) x = (x > 0 -> x - 1 : 0)
#define owns(r) (owner[pos[r]] == r && to[pos[r]] == NONE)
#define active(b) (session[b] > 0 && granted[b] > 0)

/* LeaseView.MayAct. Zone B stays connected to the third zone, so replica 1 may always act. */
#define may_act(r) (r == 1 || (!lost[pos[0]] && (fresh_left > 0 || authority_left > 0)))

inline one_owner() {
    assert(!(active(0) && active(1)));
    assert(!(running[0] > 0 && running[1] > 0));
    assert(!(running[0] > 0 && active(1)) && !(running[1] > 0 && active(0)))
}

/* Replay of one record. A record that was decided on another version is dropped. */
inline apply(r) {
#ifndef NO_CONDITION
    if
    :: base[r] == version[log_end] ->
#endif
        owner[log_end + 1] = owner[log_end]; epoch[log_end + 1] = epoch[log_end];
        to[log_end + 1] = to[log_end]; lost[log_end + 1] = lost[log_end];
        if
        :: pending[r] == MOVE -> to[log_end + 1] = 1 - owner[log_end]
        :: pending[r] == RELEASE && to[log_end] != NONE ->
            owner[log_end + 1] = to[log_end]; to[log_end + 1] = NONE; epoch[log_end + 1] = log_end + 2
        :: pending[r] == ZONE_LOST ->
            lost[log_end + 1] = true;
            if
            :: owner[log_end] == 0 -> to[log_end + 1] = 1
            :: else
            fi
        :: pending[r] == ZONE_BACK -> lost[log_end + 1] = false
        :: else
        fi;
        version[log_end + 1] = log_end + 1;
        log_end++
#ifndef NO_CONDITION
    :: else
    fi
#endif
}

/* An append takes effect. In the second form its answer is lost, and the writer appends the record again. */
inline append(r) { d_step { pending[r] != 0 && log_end < MAXLOG -> apply(r); pending[r] = 0; base[r] = 0 } }
inline append_answer_lost(r) { d_step { pending[r] != 0 && log_end < MAXLOG -> apply(r) } }
inline give_up(r) { d_step { pending[r] != 0 -> pending[r] = 0; base[r] = 0 } }
inline decide(r, what) { pending[r] = what; base[r] = version[pos[r]] }

/* Control service: a replica reads the log to its tail, which proves freshness, or applies a record relayed by a peer. */
inline read_to_tail(r) {
    d_step { pos[r] < log_end || (r == 0 && fresh_left < FRESH) ->
        pos[r] = log_end;
        if
        :: r == 0 -> fresh_left = FRESH
        :: else
        fi }
}
inline relayed(r) { d_step { pos[r] < log_end -> pos[r]++ } }

/* Another instance of zone A, which has replayed fewer records, takes over the lease. */
inline takeover() { d_step { pos[0] > 0 -> pos[0]--; fresh_left = 0; authority_left = 0; revoked[0] = 0 } }

/* Placement decides to move the partition. Either replica may decide it. */
inline decide_move(r) {
    d_step { pending[r] == 0 && to[pos[r]] == NONE && !lost[pos[r]] -> decide(r, MOVE) }
}

#ifdef NO_DRAIN
#define drained(b) true
#else
#define drained(b) (running[b] == 0)
#endif

/* backend.Client.Revoke: the primary of the previous owner has stopped sending, and the backend runs no request. */
inline revoke(r) {
    d_step { (may_act(r) && owner[pos[r]] == r && to[pos[r]] != NONE && revoked[r] != epoch[pos[r]] &&
        drained(r)) ->
        granted[r] = (granted[r] > epoch[pos[r]] -> granted[r] : 0);
        highest[r] = (epoch[pos[r]] > highest[r] -> epoch[pos[r]] : highest[r]);
        highest_revoked[r] = highest_revoked[r] || highest[r] == epoch[pos[r]];
        revoked[r] = epoch[pos[r]] }
}

/* Control service: releases.release, on service.ReleaseReady. */
inline decide_release(r) {
    d_step { pending[r] == 0 && owner[pos[r]] == r && to[pos[r]] != NONE && revoked[r] == epoch[pos[r]] ->
        decide(r, RELEASE) }
}

#ifdef STALE_RETURN
#define replayed_loss true
#else
#define replayed_loss (pos[0] >= known_loss)
#endif

/* Lease service: the delegate of zone A renews authority/A (voteForZone) while no other zone holds it. */
inline renew_authority() {
    d_step { (!authority_claimed && !lost[pos[0]] && replayed_loss &&
        (authority_left < AUTHORITY + CUTOFF_HOLD || promise_left < PROMISE)) ->
        authority_left = AUTHORITY + CUTOFF_HOLD; promise_left = PROMISE }
}

/* Zone B claims the authority of the unresponsive zone A when the promise to A has lapsed (wantedAuthorities), or releases it. */
inline claim_authority() { d_step { !authority_claimed && promise_left == 0 -> authority_claimed = true; known_loss = pos[1] } }
inline release_authority() {
    d_step { authority_claimed && !lost[pos[1]] && pending[1] == 0 -> authority_claimed = false; known_loss = pos[1] }
}

/* Control service of zone B: the loss is recorded, the wait runs during one holding of the authority, and then the keys are
 * released. */
inline decide_zone_lost() {
    d_step { pending[1] == 0 && authority_claimed && !lost[pos[1]] && owner[pos[1]] == 0 -> decide(1, ZONE_LOST) }
}
inline begin_wait() { d_step { authority_claimed && lost[pos[1]] && !waiting -> waiting = true; wait_left = WAIT } }
inline decide_lost_release() {
    d_step { pending[1] == 0 && waiting && wait_left == 0 && lost[pos[1]] && owner[pos[1]] == 0 && to[pos[1]] == 1 ->
        decide(1, RELEASE) }
}
inline decide_zone_back() {
    d_step { pending[1] == 0 && lost[pos[1]] && owner[pos[1]] == 1 && to[pos[1]] == NONE ->
        waiting = false; wait_left = 0; decide(1, ZONE_BACK) }
}

#ifdef LATE_RENEWAL
#define may_renew(r) true
#else
#define may_renew(r) may_act(r)
#endif

/* Session service (backend.Client.RenewSession): the session covers all partitions of the backend, so it is renewed whether or
 * not the backend owns this one. */
inline renew_session(r) {
    d_step { (session[r] < SESSION && may_renew(r)) -> session[r] = SESSION }
}

/* backend.Client.Grant: the backend refuses an epoch that was revoked and any older one. */
#define acceptable(b, e) (e > highest[b] || (e == highest[b] && !highest_revoked[b]))
inline grant(r) {
    d_step { may_act(r) && owns(r) && session[r] > 0 && granted[r] != epoch[pos[r]] && acceptable(r, epoch[pos[r]]) ->
        granted[r] = epoch[pos[r]]; highest[r] = epoch[pos[r]]; highest_revoked[r] = false;
        one_owner() }
}
#ifdef LATE_GRANT
inline send_late_grant() { d_step { may_act(0) && owns(0) && late_grant == 0 -> late_grant = epoch[pos[0]] } }
inline receive_late_grant() {
    d_step { late_grant > 0 && session[0] > 0 && acceptable(0, late_grant) ->
        granted[0] = late_grant; highest[0] = late_grant; highest_revoked[0] = false; late_grant = 0;
        one_owner() }
}
#endif

#ifdef NO_TOKEN
#define token_valid(b) true
#else
#define token_valid(b) (request[b] == granted[b])
#endif

/* Dispatch service: the primary checks that it may act, then sends. The request may arrive at any later time or never. */
inline send_request(r) { d_step { may_act(r) && owns(r) && request[r] == 0 -> request[r] = epoch[pos[r]] } }
inline run_request(b) {
    d_step { (request[b] > 0 && session[b] > 0 && token_valid(b)) -> running[b] = RUN; request[b] = 0;
        one_owner() }
}
inline lose_request(b) { d_step { request[b] > 0 -> request[b] = 0 } }
inline end_request(b) { d_step { running[b] > 0 -> running[b] = 0 } }

/* A backend's session lapses without a message, and its grants end with it. */
inline lapse(b) {
    if
    :: session[b] == 0 -> granted[b] = 0
    :: else
    fi
}

inline tick() {
    d_step {
        decrement(fresh_left); decrement(authority_left); decrement(promise_left); decrement(wait_left);
        decrement(running[0]); decrement(running[1]);
        decrement(session[0]); decrement(session[1]);
        lapse(0); lapse(1)
    }
}

active proctype system() {
    d_step {
        owner[0] = 0; epoch[0] = 1; to[0] = NONE;
        authority_left = AUTHORITY + CUTOFF_HOLD; promise_left = PROMISE
    }
    do
    :: append(0)
    :: append(1)
    :: append_answer_lost(0)
    :: append_answer_lost(1)
    :: give_up(0)
    :: give_up(1)
    :: read_to_tail(0)
    :: read_to_tail(1)
    :: relayed(0)
    :: relayed(1)
    :: takeover()
    :: decide_move(0)
    :: decide_move(1)
    :: revoke(0)
    :: revoke(1)
    :: decide_release(0)
    :: decide_release(1)
    :: renew_authority()
    :: claim_authority()
    :: release_authority()
    :: decide_zone_lost()
    :: begin_wait()
    :: decide_lost_release()
    :: decide_zone_back()
    :: renew_session(0)
    :: renew_session(1)
    :: grant(0)
    :: grant(1)
#ifdef LATE_GRANT
    :: send_late_grant()
    :: receive_late_grant()
#endif
    :: send_request(0)
    :: send_request(1)
    :: run_request(0)
    :: run_request(1)
    :: lose_request(0)
    :: lose_request(1)
    :: end_request(0)
    :: end_request(1)
    :: tick()
    od
}
