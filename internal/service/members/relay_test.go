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

// newFleetMember returns an instance that hears n others in each of three zones, its own among them.
func newFleetMember(n int) *Service {
	s := newMembers(n)
	for i := range 2 * n {
		id := entity.InstanceID(fmt.Sprint("far-", i))
		s.peers[id] = &peer{id: id, zone: entity.Zone(fmt.Sprint("far-zone-", i%2)), at: time.Second, storeGood: true}
	}
	s.pace(time.Second)
	return s
}

// Guards against heartbeats that each go to every instance of the other zones: 1.4 MB/s between the zones of the grown Ziedlapu site.
func TestOneInstanceOfEachLargeZoneGetsTheHeartbeat(t *testing.T) {
	s := newFleetMember(20)
	relays := s.relays()
	require.Len(t, relays, 2)
	require.NotEqual(t, relays[0].zone, relays[1].zone)
	for _, p := range s.peers {
		require.Equal(t, p.zone != s.site.Zone, s.reachedByRelay(p, relays), p.id)
	}
	require.Empty(t, newFleetMember(relayedZone-1).relays(), "small zones get it directly")
	s.keys.Coordinator = true
	require.Empty(t, s.relays(), "the coordinator's silence is noticed sooner than that of a relay")
}

// Guards against an instance that is not heard in another zone for as long as one relay there is lost.
func TestRelaysTakeTurns(t *testing.T) {
	const zone = 20
	s := newFleetMember(zone)
	chosen := map[entity.InstanceID]int{}
	for range zone {
		for _, r := range s.relays() {
			chosen[r.id]++
		}
		s.ticks += s.far
	}
	require.Len(t, chosen, 2*zone)
	for id, n := range chosen {
		require.Equal(t, 1, n, id)
	}
}

// Guards against relays that cannot pass anything on: silent and leaving instances, and those that were never heard.
func TestOnlyHeardInstancesRelay(t *testing.T) {
	s := newFleetMember(20)
	for _, p := range s.peers {
		if p.zone == "far-zone-0" {
			p.silent = true
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

// Guards against a heartbeat that goes round between relays, and against one that stops at the first of them.
func TestHeartbeatIsPassedOnOnce(t *testing.T) {
	loopback := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	mate, err := net.ListenUDP("udp4", loopback)
	require.NoError(t, err)
	defer func() { require.NoError(t, mate.Close()) }()
	s := newFleetMember(0)
	s.socket, err = net.ListenUDP("udp4", loopback)
	require.NoError(t, err)
	defer func() { require.NoError(t, s.socket.Close()) }()
	s.peers["mate"] = &peer{id: "mate", zone: s.site.Zone, at: time.Second, address: mate.LocalAddr().(*net.UDPAddr)}
	s.peers["far"] = &peer{id: "far", zone: "far-zone-0", at: time.Second, address: s.socket.LocalAddr().(*net.UDPAddr)}
	s.passOn(&fleetpb.Heartbeat{From: &fleetpb.Member{Id: "far", Zone: "far-zone-0"}, Sequence: 7, PassOn: true})
	buffer := make([]byte, maxDatagram)
	require.NoError(t, mate.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, err := mate.Read(buffer)
	require.NoError(t, err)
	got := &fleetpb.Heartbeat{}
	require.NoError(t, proto.Unmarshal(buffer[:n], got))
	require.Equal(t, "far", got.From.Id)
	require.Equal(t, uint64(7), got.Sequence)
	require.False(t, got.PassOn)
	require.Equal(t, int64(1), s.sent.Count(), "only the own zone gets it")
}
