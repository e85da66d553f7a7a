package ownership_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Guards against two owners after a pause: an instance waits for an owner without a primary and is paused before it appends the
// release; by the time of the append the owner has a primary again.
func TestReleaseAfterAWaitIsDroppedOnceTheOwnerIsManagedAgain(t *testing.T) {
	s := ownership.New()
	next := entity.Offset(0)
	apply := func(r ownership.Record) ownership.Verdict {
		defer func() { next++ }()
		return s.Apply(next, ownership.Stamp{Writer: "w", Sequence: uint64(next) + 1}, r)
	}
	apply(ownership.Checkpoint{})
	join := func(id, zone string) {
		member := ownership.Member{ID: entity.InstanceID(id), Zone: entity.Zone(zone), Address: id}
		key := ownership.GroupKey{Zone: member.Zone}
		require.True(t, apply(ownership.Join{Version: s.View().GroupVersions[key], Member: member}).Applied)
	}
	for _, zone := range []string{"a", "b", "c"} {
		join("i-"+zone, zone)
	}
	require.True(t, apply(ownership.Move{Service: "s", Count: 1, Steps: []ownership.MoveStep{{To: "b1"}}}).Applied)
	owner := s.View().Services["s"].Owners[0]
	move := ownership.Move{Service: "s", Version: s.View().Services["s"].Version, Count: 1, Steps: []ownership.MoveStep{{To: "b2"}}}
	require.True(t, apply(move).Applied)
	for _, from := range []entity.Zone{"b", "c"} {
		require.True(t, apply(ownership.ZoneLost{Zone: "a", From: from, Version: s.View().ZonesVersion}).Applied)
	}
	release := ownership.Release{
		Service: "s", Steps: []ownership.ReleaseStep{{Epoch: owner.Epoch}}, WaitedVersion: s.View().MembershipVersion,
	}
	require.True(t, apply(ownership.ZoneBack{Zone: "a", From: "a", Version: s.View().ZonesVersion}).Applied)
	require.Equal(t, ownership.Verdict{Reason: ownership.DropVersion}, apply(release))
	require.Equal(t, entity.BackendID("b1"), s.View().Services["s"].Owners[0].Backend)
	release.WaitedVersion = s.View().MembershipVersion
	require.True(t, apply(release).Applied)
	require.Equal(t, entity.BackendID("b2"), s.View().Services["s"].Owners[0].Backend)
}

// Guards against two owners after a pause: an instance waits for an owner whose zone has no members and is paused before it appends
// the release; a member joins that zone, manages the owner and leaves again.
func TestReleaseAfterAWaitIsDroppedOnceAMemberHasComeAndGone(t *testing.T) {
	s := ownership.New()
	next := entity.Offset(0)
	apply := func(r ownership.Record) ownership.Verdict {
		defer func() { next++ }()
		return s.Apply(next, ownership.Stamp{Writer: "w", Sequence: uint64(next) + 1}, r)
	}
	apply(ownership.Checkpoint{})
	join := func(id, zone string) {
		member := ownership.Member{ID: entity.InstanceID(id), Zone: entity.Zone(zone), Address: id}
		key := ownership.GroupKey{Zone: member.Zone}
		require.True(t, apply(ownership.Join{Version: s.View().GroupVersions[key], Member: member}).Applied)
	}
	leave := func(id, zone string) {
		key := ownership.GroupKey{Zone: entity.Zone(zone)}
		version := s.View().GroupVersions[key]
		require.True(t, apply(ownership.Leave{Group: key, Version: version, Instance: entity.InstanceID(id)}).Applied)
	}
	join("i-a", "a")
	join("i-b", "b")
	require.True(t, apply(ownership.Move{Service: "s", Count: 1, Steps: []ownership.MoveStep{{To: "b1"}}}).Applied)
	owner := s.View().Services["s"].Owners[0]
	move := ownership.Move{Service: "s", Version: s.View().Services["s"].Version, Count: 1, Steps: []ownership.MoveStep{{To: "b2"}}}
	require.True(t, apply(move).Applied)
	leave("i-a", "a")
	release := ownership.Release{
		Service: "s", Steps: []ownership.ReleaseStep{{Epoch: owner.Epoch}}, WaitedVersion: s.View().MembershipVersion,
	}
	join("i-a2", "a")
	leave("i-a2", "a")
	restored, err := ownership.Restore(s.Chunks())
	require.NoError(t, err)
	require.Equal(t, s.View().MembershipVersion, restored.View().MembershipVersion)
	require.Equal(t, ownership.Verdict{Reason: ownership.DropVersion}, apply(release))
	require.Equal(t, entity.BackendID("b1"), s.View().Services["s"].Owners[0].Backend)
	release.WaitedVersion = s.View().MembershipVersion
	require.True(t, apply(release).Applied)
	require.Equal(t, entity.BackendID("b2"), s.View().Services["s"].Owners[0].Backend)
}
