/*
 * Ownership of one partition, as in internal/decide/ownership and internal/service/{control,session,lease}.
 *
 * Back end 0 is in zone A, back end 1 in zone B; a third zone votes. Replica 0 is the primary of back end 0, replica 1 that of
 * back end 1; lease.pml shows that a back end has one primary at a time. Steps are never forced: a primary that takes none is
 * paused, a replica that does not read has no log (platform down or cut off), and a zone that does not renew its authority is
 * cut off from the others. Requests are delayed without bound; renewals and grants arrive within a tick or never.
 *
 * Broken variants, each of which must violate an assertion:
 *   NO_WAIT       the keys of a lost zone are released without the wait
 *   NO_CONDITION  replay applies records whatever version they were decided on
 *   LATE_RENEWAL  a primary renews the session after its bound
 *   NO_TOKEN      back ends run requests whatever their token
 *   NO_DRAIN      a back end acknowledges a revocation while it runs a request
 *   STALE_RETURN  a zone gets its authority back before it has replayed its loss
 *   LATE_GRANT    a grant reaches the back end after its session lapsed and was renewed
 */
#define NONE 2
#ifndef MAXLOG
#define MAXLOG 4             /* records that are explored, without those that replay drops */
#endif

/* Durations in ticks. */
#define SESSION 2            /* session_ttl; at least two, so that a session can be renewed before it lapses */
#define FRESH 1              /* lease.Settings.FreshFor */
#define AUTHORITY 1          /* lease.Settings.AuthorityTTL */
#define PROMISE (AUTHORITY + 1)
#define HOLD 1               /* cutoff_hold */
#define RUN 1                /* the longest deadline of a request */
#ifdef NO_WAIT
#define WAIT 0
#else
#define WAIT (HOLD + SESSION + RUN + 1)
#endif

#define MOVE 1
#define RELEASE 2
#define ZONE_LOST 3
#define ZONE_BACK 4

/* The log: the state after each record, which every replica that has replayed so far has (ownership.View). */
byte log_end;
byte owner[MAXLOG + 1];      /* Owner.Backend */
byte epoch[MAXLOG + 1];      /* Owner.Epoch */
byte to[MAXLOG + 1];         /* Owner.To */
byte version[MAXLOG + 1];    /* ServiceView.Version */
bool lost[MAXLOG + 1];       /* View.LostZones has zone A */

/* Replicas. */
byte pos[2];                 /* View.Offset */
byte record[2];              /* kind of the append under way, 0: none */
byte base[2];                /* version on which it was decided */
byte revoked[2];             /* epoch whose revocation the back end has acknowledged */

/* Evidence of zone A: LeaseView.FreshUntil and LeaseView.AuthorityUntil + cutoff_hold. */
byte fresh;
byte held;
byte promise;                /* ticks until the voters may give A's authority to another zone */
bool seized;                 /* zone B holds authority/A */
byte known_loss;             /* Service.knownLoss of the voters */
bool waiting;
byte wait_left;              /* ticks until zone B may release A's keys */

/* Back ends. */
byte session[2];
byte granted[2];             /* epoch of the grant, 0: none */
byte highest[2];             /* highest epoch granted */
bool refused[2];             /* the highest epoch was revoked */
byte running[2];             /* ticks until the running request must have ended */

/* Messages: one request to each back end, with its token. */
byte request[2];
#ifdef LATE_GRANT
byte late_grant;
#endif

#define down(x) x = (x > 0 -> x - 1 : 0)
#define mine(r) (owner[pos[r]] == r && to[pos[r]] == NONE)
#define active(b) (session[b] > 0 && granted[b] > 0)

/* LeaseView.MayAct. Zone B stays connected to the third zone. */
#define may_act(r) (r == 1 || (!lost[pos[0]] && (fresh > 0 || held > 0)))

inline one_owner() {
    assert(!(active(0) && active(1)));
    assert(!(running[0] > 0 && running[1] > 0));
    assert(!(running[0] > 0 && active(1)) && !(running[1] > 0 && active(0)))
}

/* Replay of one record: a record that was decided on another version is dropped. */
inline apply(r) {
#ifndef NO_CONDITION
    if
    :: base[r] == version[log_end] ->
#endif
        owner[log_end + 1] = owner[log_end]; epoch[log_end + 1] = epoch[log_end]; to[log_end + 1] = to[log_end]; lost[log_end + 1] = lost[log_end];
        if
        :: record[r] == MOVE -> to[log_end + 1] = 1 - owner[log_end]
        :: record[r] == RELEASE && to[log_end] != NONE ->
            owner[log_end + 1] = to[log_end]; to[log_end + 1] = NONE; epoch[log_end + 1] = log_end + 2
        :: record[r] == ZONE_LOST ->
            lost[log_end + 1] = true;
            if
            :: owner[log_end] == 0 -> to[log_end + 1] = 1
            :: else
            fi
        :: record[r] == ZONE_BACK -> lost[log_end + 1] = false
        :: else
        fi;
        version[log_end + 1] = log_end + 1;
        log_end++
#ifndef NO_CONDITION
    :: else
    fi
#endif
}

/* An append takes effect; the answer is lost in the second form, and the writer repeats the record. */
inline append(r) { d_step { record[r] != 0 && log_end < MAXLOG -> apply(r); record[r] = 0; base[r] = 0 } }
inline append_answer_lost(r) { d_step { record[r] != 0 && log_end < MAXLOG -> apply(r) } }
inline give_up(r) { d_step { record[r] != 0 -> record[r] = 0; base[r] = 0 } }
inline decide(r, what) { record[r] = what; base[r] = version[pos[r]] }

/* Control: read the log to its tail, which proves freshness, or take a record relayed by a peer. */
inline read_to_tail(r) {
    d_step { pos[r] < log_end || (r == 0 && fresh < FRESH) ->
        pos[r] = log_end;
        if
        :: r == 0 -> fresh = FRESH
        :: else
        fi }
}
inline relayed(r) { d_step { pos[r] < log_end -> pos[r]++ } }

/* Another instance of zone A, which has replayed less, takes the lease over. */
inline takeover() { d_step { pos[0] > 0 -> pos[0]--; fresh = 0; held = 0; revoked[0] = 0 } }

/* Placement decides a move; both replicas may. */
inline decide_move(r) {
    d_step { record[r] == 0 && to[pos[r]] == NONE && !lost[pos[r]] -> decide(r, MOVE) }
}

#ifdef NO_DRAIN
#define drained(b) true
#else
#define drained(b) (running[b] == 0)
#endif

/* backend.Client.Revoke: the old owner's primary has stopped sending and the back end runs nothing. */
inline revoke(r) {
    d_step { (may_act(r) && owner[pos[r]] == r && to[pos[r]] != NONE && revoked[r] != epoch[pos[r]] &&
        drained(r)) ->
        granted[r] = (granted[r] > epoch[pos[r]] -> granted[r] : 0);
        highest[r] = (epoch[pos[r]] > highest[r] -> epoch[pos[r]] : highest[r]);
        refused[r] = refused[r] || highest[r] == epoch[pos[r]];
        revoked[r] = epoch[pos[r]] }
}

/* control, releases.release, on service.ReleaseReady. */
inline decide_release(r) {
    d_step { record[r] == 0 && owner[pos[r]] == r && to[pos[r]] != NONE && revoked[r] == epoch[pos[r]] ->
        decide(r, RELEASE) }
}

#ifdef STALE_RETURN
#define replayed_loss true
#else
#define replayed_loss (pos[0] >= known_loss)
#endif

/* Lease service: the delegate renews authority/A (voteForZone) while no other zone holds it. */
inline renew_authority() {
    d_step { (!seized && !lost[pos[0]] && replayed_loss && (held < AUTHORITY + HOLD || promise < PROMISE)) -> held = AUTHORITY + HOLD; promise = PROMISE }
}

/* Zone B claims the authority of silent zone A when the promise to A has lapsed (wantedAuthorities), or gives it back. */
inline seize() { d_step { !seized && promise == 0 -> seized = true; known_loss = pos[1] } }
inline give_back() { d_step { seized && !lost[pos[1]] && record[1] == 0 -> seized = false; known_loss = pos[1] } }

/* Control of zone B: the loss is recorded, the wait runs in one holding of the authority, then the keys are released. */
inline decide_zone_lost() {
    d_step { record[1] == 0 && seized && !lost[pos[1]] && owner[pos[1]] == 0 -> decide(1, ZONE_LOST) }
}
inline begin_wait() { d_step { seized && lost[pos[1]] && !waiting -> waiting = true; wait_left = WAIT } }
inline decide_lost_release() {
    d_step { record[1] == 0 && waiting && wait_left == 0 && lost[pos[1]] && owner[pos[1]] == 0 && to[pos[1]] == 1 ->
        decide(1, RELEASE) }
}
inline decide_zone_back() {
    d_step { record[1] == 0 && lost[pos[1]] && owner[pos[1]] == 1 && to[pos[1]] == NONE ->
        waiting = false; wait_left = 0; decide(1, ZONE_BACK) }
}

#ifdef LATE_RENEWAL
#define may_renew(r) true
#else
#define may_renew(r) may_act(r)
#endif

/* Session service (backend.Client.RenewSession): the session carries all partitions of the back end, so it is renewed whoever owns this one. */
inline renew_session(r) {
    d_step { (session[r] < SESSION && may_renew(r)) -> session[r] = SESSION }
}

/* backend.Client.Grant: the back end refuses an epoch that was revoked or is older. */
#define acceptable(b, e) (e > highest[b] || (e == highest[b] && !refused[b]))
inline grant(r) {
    d_step { may_act(r) && mine(r) && session[r] > 0 && granted[r] != epoch[pos[r]] && acceptable(r, epoch[pos[r]]) ->
        granted[r] = epoch[pos[r]]; highest[r] = epoch[pos[r]]; refused[r] = false;
        one_owner() }
}
#ifdef LATE_GRANT
inline send_late_grant() { d_step { may_act(0) && mine(0) && late_grant == 0 -> late_grant = epoch[pos[0]] } }
inline receive_late_grant() {
    d_step { late_grant > 0 && session[0] > 0 && acceptable(0, late_grant) ->
        granted[0] = late_grant; highest[0] = late_grant; refused[0] = false; late_grant = 0;
        one_owner() }
}
#endif

#ifdef NO_TOKEN
#define token_valid(b) true
#else
#define token_valid(b) (request[b] == granted[b])
#endif

/* Dispatch checks the bound, then sends; the request may arrive at any later time or never. */
inline send_request(r) { d_step { may_act(r) && mine(r) && request[r] == 0 -> request[r] = epoch[pos[r]] } }
inline run_request(b) {
    d_step { (request[b] > 0 && session[b] > 0 && token_valid(b)) -> running[b] = RUN; request[b] = 0;
        one_owner() }
}
inline lose_request(b) { d_step { request[b] > 0 -> request[b] = 0 } }
inline end_request(b) { d_step { running[b] > 0 -> running[b] = 0 } }

/* A back end lapses by itself; its grants end with the session. */
inline lapse(b) {
    if
    :: session[b] == 0 -> granted[b] = 0
    :: else
    fi
}

inline tick() {
    d_step {
        down(fresh); down(held); down(promise); down(wait_left);
        down(running[0]); down(running[1]);
        down(session[0]); down(session[1]);
        lapse(0); lapse(1)
    }
}

active proctype system() {
    d_step {
        owner[0] = 0; epoch[0] = 1; to[0] = NONE;
        held = AUTHORITY + HOLD; promise = PROMISE
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
    :: seize()
    :: give_back()
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
