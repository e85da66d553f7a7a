package members

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/fleetpb"
)

// newMultiZoneMember returns an instance that can reach n peers in each of three zones, including its own.
func newMultiZoneMember(n int) *Service {
	s := newMembers(n)
	for i := range 2 * n {
		id := entity.InstanceID(fmt.Sprint("far-", i))
		s.peers[id] = &peer{id: id, zone: entity.Zone(fmt.Sprint("far-zone-", i%2)), at: time.Second, storeReachable: true}
	}
	s.updateIntervals(time.Second)
	return s
}

// Guards against heartbeats that are each sent to every instance of the other zones, which caused 1.4 MB/s between the zones of a
// large deployment.
func TestOneInstanceOfEachLargeZoneGetsTheHeartbeat(t *testing.T) {
	s := newMultiZoneMember(20)
	relays := s.relays()
	require.Len(t, relays, 2)
	require.NotEqual(t, relays[0].zone, relays[1].zone)
	for _, p := range s.peers {
		require.Equal(t, p.zone != s.instance.Zone, s.reachedByRelay(p, relays), p.id)
	}
	require.Empty(t, newMultiZoneMember(minRelayedZone-1).relays(), "instances of small zones are sent heartbeats directly")
	s.keys.Coordinator = true
	require.Empty(t, s.relays(), "the coordinator sends its heartbeats directly")
}

// Guards against an instance that counts as unresponsive in another zone while one relay there is unavailable.
func TestRelaysTakeTurns(t *testing.T) {
	const zone = 20
	s := newMultiZoneMember(zone)
	chosen := map[entity.InstanceID]int{}
	for range zone {
		for _, r := range s.relays() {
			chosen[r.id]++
		}
		s.ticks += s.remoteInterval
	}
	require.Len(t, chosen, 2*zone)
	for id, n := range chosen {
		require.Equal(t, 1, n, id)
	}
}

// Guards against relays that cannot relay: unresponsive and leaving instances, and those that never sent a heartbeat.
func TestOnlyReachableInstancesRelay(t *testing.T) {
	s := newMultiZoneMember(20)
	for _, p := range s.peers {
		if p.zone == "far-zone-0" {
			p.unresponsive = true
		}
	}
	require.Len(t, s.relays(), 1)
	for _, p := range s.peers {
		if p.zone == "far-zone-1" {
			p.leaving = true
		}
	}
	require.Empty(t, s.relays())
}

// Guards against a heartbeat that circulates between relays, and against one that the first relay doesn't forward.
func TestHeartbeatIsRelayedOnce(t *testing.T) {
	loopback := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	neighbor, err := net.ListenUDP("udp4", loopback)
	require.NoError(t, err)
	defer func() { require.NoError(t, neighbor.Close()) }()
	s := newMultiZoneMember(0)
	s.socket, err = net.ListenUDP("udp4", loopback)
	require.NoError(t, err)
	defer func() { require.NoError(t, s.socket.Close()) }()
	s.peers["mate"] = &peer{id: "mate", zone: s.instance.Zone, at: time.Second, address: neighbor.LocalAddr().(*net.UDPAddr)}
	s.peers["far"] = &peer{id: "far", zone: "far-zone-0", at: time.Second, address: s.socket.LocalAddr().(*net.UDPAddr)}
	s.relay(&fleetpb.Heartbeat{From: &fleetpb.Member{Id: "far", Zone: "far-zone-0"}, Sequence: 7, PassOn: true})
	buffer := make([]byte, maxDatagram)
	require.NoError(t, neighbor.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, err := neighbor.Read(buffer)
	require.NoError(t, err)
	got := &fleetpb.Heartbeat{}
	require.NoError(t, proto.Unmarshal(buffer[:n], got))
	require.Equal(t, "far", got.From.Id)
	require.Equal(t, uint64(7), got.Sequence)
	require.False(t, got.PassOn)
	require.Equal(t, int64(1), s.sent.Count(), "only the peer in the same zone is sent the heartbeat")
}
