package control

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// candidateMaxAge is how long a request to join is valid. It is repeated every joinInterval.
const candidateMaxAge = 5 * joinInterval

// maxCandidates bounds the recorded requests to join. Instances above the bound send their request again.
const maxCandidates = 64

// roster joins this instance, admits others, and removes members that have exited. It changes one member of each group
// at a time.
type roster struct {
	settings Settings
	logger   *zap.Logger
	reports  map[ownership.GroupKey]service.RosterReport
	// versions holds the group versions that were applied here, with the time.
	versions map[ownership.GroupKey]appliedVersion
	// knownSince is when a member was first seen in the roster here, or last wrote a record.
	knownSince   map[entity.InstanceID]time.Duration
	peers        map[entity.InstanceID]service.PeerState
	candidates   map[entity.InstanceID]candidate
	requestedAt  time.Duration
	hasRequested bool
	// left is closed once this instance is out of the roster; nil unless the service is stopping.
	left     chan<- struct{}
	lastView *ownership.View // the view of the last update
	done     bool
	joined   bool
	list     instanceList
}

type appliedVersion struct {
	version uint64
	at      time.Duration
}

type candidate struct {
	member ownership.Member
	at     time.Duration
}

func newRoster(settings Settings, logger *zap.Logger) *roster {
	return &roster{
		settings:   settings,
		logger:     logger,
		reports:    map[ownership.GroupKey]service.RosterReport{},
		versions:   map[ownership.GroupKey]appliedVersion{},
		knownSince: map[entity.InstanceID]time.Duration{},
		peers:      map[entity.InstanceID]service.PeerState{},
		candidates: map[entity.InstanceID]candidate{},
		list:       instanceList{terminatedSince: map[entity.InstanceID]time.Duration{}},
	}
}

// update records when members and group versions were first seen here, and removes those that are no longer in the
// view.
func (r *roster) update(now time.Duration, v *ownership.View) {
	if sameRoster(r.lastView, v) {
		return
	}
	r.lastView = v
	for key, version := range v.GroupVersions {
		if r.versions[key].version != version {
			r.versions[key] = appliedVersion{version: version, at: now}
		}
	}
	for key := range r.versions {
		if _, ok := v.GroupVersions[key]; !ok {
			delete(r.versions, key)
			delete(r.reports, key)
		}
	}
	members := make(map[entity.InstanceID]bool, len(v.Members))
	for _, m := range v.Members {
		members[m.ID] = true
		if _, ok := r.knownSince[m.ID]; !ok {
			r.knownSince[m.ID] = now
		}
		delete(r.candidates, m.ID)
	}
	for id := range r.knownSince {
		if !members[id] {
			delete(r.knownSince, id)
			delete(r.list.terminatedSince, id)
			delete(r.peers, id)
		}
	}
}

// sameRoster reports whether two views share their roster. It compares only the length and the address of the member
// lists, because the lists can be long.
func sameRoster(a, b *ownership.View) bool {
	if a == nil || b == nil || len(a.Members) != len(b.Members) {
		return false
	}
	return len(a.Members) == 0 || &a.Members[0] == &b.Members[0]
}

// maxPeers bounds the recorded peers that are not members.
const maxPeers = 1024

func (r *roster) recordHeartbeat(p service.PeerState) {
	if _, member := r.knownSince[p.Instance]; !member && len(r.peers) >= len(r.knownSince)+maxPeers {
		return
	}
	if last, ok := r.peers[p.Instance]; !ok || p.At >= last.At {
		r.peers[p.Instance] = p
	}
}

// recordAppend records that an instance is alive because it appended a record.
func (r *roster) recordAppend(now time.Duration, id entity.InstanceID) {
	if _, member := r.knownSince[id]; member {
		r.knownSince[id] = now
	}
}

// requested records a request to join this instance's zone.
func (r *roster) requested(m ownership.Member, self service.Self) {
	if m.Zone != self.Zone || m.ID == self.ID || len(r.candidates) >= maxCandidates {
		return
	}
	r.candidates[m.ID] = candidate{member: m, at: -1}
}

// mayChange reports whether the next change of a group may follow. Either the last change has been known to a majority
// for the lease time, or so much time has passed that every instance that has not received it has stopped acting.
func (r *roster) mayChange(s *situation, key ownership.GroupKey) bool {
	version := s.view.GroupVersions[key]
	if version == 0 {
		return true
	}
	report := r.reports[key]
	if report.Version == version && s.now-report.Since >= withDrift(r.settings.LeaseTTL) {
		return true
	}
	last, ok := r.versions[key]
	return ok && s.now-last.at >= r.isolationTimeout(s)
}

// isolationTimeout returns the time after which an isolated instance has stopped acting.
func (r *roster) isolationTimeout(s *situation) time.Duration {
	return withDrift(s.config.longestCutoffHold + r.settings.LeaseTTL)
}

func (r *roster) next(s *situation) ownership.Record {
	self, member := s.member()
	switch {
	case r.left != nil && member:
		return r.leave(s, self)
	case r.left != nil:
		return nil
	case !member:
		return r.join(s)
	}
	if !r.joined {
		r.joined = true
		telemetry.EventControlJoined.Log(r.logger, zap.Uint32("group", self.Group))
	}
	if record := r.admit(s); record != nil {
		return record
	}
	return r.remove(s, self)
}

func (r *roster) leave(s *situation, self ownership.Member) ownership.Record {
	key := ownership.GroupKey{Zone: self.Zone, Group: self.Group}
	if !r.mayChange(s, key) {
		return nil
	}
	return ownership.Leave{Group: key, Version: s.view.GroupVersions[key], Instance: self.ID}
}

// finishLeave ends the wait of Stop once this instance is out of the roster and no append in progress could add it
// again.
func (r *roster) finishLeave(s *situation, busy bool) {
	if r.left == nil {
		return
	}
	if _, member := s.member(); !member && !busy {
		if !r.done {
			close(r.left)
		}
		r.done = true
	}
}

func (r *roster) join(s *situation) ownership.Record {
	key := s.view.JoinGroup(s.self.Zone)
	member := ownership.Member{ID: s.self.ID, Zone: s.self.Zone, Address: s.self.Address, Group: key.Group}
	if r.mayChange(s, key) {
		return ownership.Join{Version: s.view.GroupVersions[key], Member: member}
	}
	if r.hasRequested && s.now-r.requestedAt < joinInterval {
		return nil
	}
	r.hasRequested = true
	r.requestedAt = s.now
	return ownership.JoinRequest{Member: member}
}

// admit lets a candidate join. Members do this because only they know when the last change of the group is
// acknowledged.
func (r *roster) admit(s *situation) ownership.Record {
	ids := make([]entity.InstanceID, 0, len(r.candidates))
	for id, c := range r.candidates {
		if c.at < 0 {
			c.at = s.now
			r.candidates[id] = c
		}
		if s.now-c.at > candidateMaxAge {
			delete(r.candidates, id)
			continue
		}
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return nil
	}
	key := s.view.JoinGroup(s.self.Zone)
	if !r.mayChange(s, key) {
		return nil
	}
	member := r.candidates[slices.Min(ids)].member
	member.Group = key.Group
	return ownership.Join{Version: s.view.GroupVersions[key], Member: member}
}
