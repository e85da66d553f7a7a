package members

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/storesync"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/fleetpb"
	"github.com/pollenpier/pollenpier/internal/service"
)

// staticStoreSync is a StoreSync with a fixed local update.
type staticStoreSync struct{}

func (staticStoreSync) LocalUpdate() storesync.Update {
	return storesync.Update{EntriesOffset: 9, LastChangeOffset: 7, Age: time.Second, Batches: []storesync.Batch{{After: 3, UpTo: 7, Records: []byte("x")}}, OperatorBatches: []storesync.Batch{{After: 1, UpTo: 2, Records: []byte("y")}}}
}

func (staticStoreSync) ReceiveUpdate(storesync.Update, time.Duration) {}

// fakeStoreSync records the updates that it receives.
type fakeStoreSync struct {
	staticStoreSync
	received []storesync.Update
}

func (h *fakeStoreSync) ReceiveUpdate(n storesync.Update, _ time.Duration) {
	h.received = append(h.received, n)
}

// Guards against store reads by every instance of a zone whose zone reader is the coordinator: its broadcast heartbeats carry no
// store update and were applied as the update of an empty store. This caused 1,100 of the 2,800 store calls in the quiet-day
// scenario of a large deployment.
func TestBroadcastHeartbeatCarriesNoStoreUpdate(t *testing.T) {
	s := newMembers(sharedReads)
	storeSync := &fakeStoreSync{}
	s.storeSync = storeSync
	s.instance.Cores = 0
	s.reader = s.zoneReader()
	reader := s.peers[s.reader]
	message := &fleetpb.Heartbeat{Sequence: 4}
	s.receiveStoreUpdate(reader, message, time.Second)
	require.Empty(t, storeSync.received)
	s.receiveStoreUpdate(reader, s.withStoreUpdate(message), time.Second)
	require.Len(t, storeSync.received, 1)
}

// Guards against newly started instances that each use the full rate of every customer until they receive each other's
// heartbeats. After most instances were killed at once, a customer ran 927 requests in one second at a rate of 507.
func TestNewInstanceUsesItsShareOfTheListedInstances(t *testing.T) {
	s := New(service.InstanceConfig{ID: "self", Zone: "a"}, zap.NewNop(), metrics.NewRegistry())
	require.LessOrEqual(t, s.MembersView().ReachableShare, 0.05, "the list of instances has not been read yet")
	now := time.Minute
	for i := range 81 {
		s.addPeer(&fleetpb.Member{Id: fmt.Sprint("other-", i), Zone: fmt.Sprint(i % 4), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)}, now)
	}
	s.listRead = true
	s.updateIntervals(now)
	s.publish(now)
	require.InDelta(t, 1.0/82, s.MembersView().ReachableShare, 0.001)
	require.Equal(t, 82, s.MembersView().ReachableCount, "listed peers may serve already")
	require.GreaterOrEqual(t, s.MembersView().Staleness, time.Second, "heartbeats to many peers are infrequent")
	for _, p := range s.peers {
		p.at = now + time.Second
	}
	s.publish(now + time.Second)
	require.InDelta(t, 1, s.MembersView().ReachableShare, 0.001)
	s.peers["other-2"].at = 0
	for _, p := range s.peers {
		if p.at > 0 {
			p.at = now + listedTTL
		}
	}
	s.publish(now + listedTTL + time.Millisecond)
	require.InDelta(t, 1, s.MembersView().ReachableShare, 0.001, "a listed instance without heartbeats for listedTTL has terminated")
}

// newMembers returns the service of an instance with 0.3 cores that can reach n peers in its zone.
func newMembers(n int) *Service {
	s := New(service.InstanceConfig{ID: "self", Zone: "a", Cores: 0.3}, zap.NewNop(), metrics.NewRegistry())
	s.storeSync = staticStoreSync{}
	s.keys.StoreReachable, s.listRead = true, true
	for i := range n {
		id := entity.InstanceID(fmt.Sprint("other-", i))
		s.peers[id] = &peer{id: id, zone: "a", at: time.Second, storeReachable: true, cores: 0.16}
	}
	s.updateIntervals(time.Second)
	return s
}

// Guards against a zone that learns late of leaving backends because its smallest instance is the zone reader, and against a zone
// reader that cannot reach the store.
func TestLargestInstanceThatReachesTheStoreReadsForTheZone(t *testing.T) {
	s := newMembers(6)
	require.Equal(t, entity.InstanceID("self"), s.zoneReader())
	s.peers["other-2"].cores = 0.8
	require.Equal(t, entity.InstanceID("other-2"), s.zoneReader())
	s.peers["other-2"].storeReachable = false
	require.Equal(t, entity.InstanceID("self"), s.zoneReader())
	s.peers["other-3"].cores, s.peers["other-3"].zone = 0.8, "b"
	require.Equal(t, entity.InstanceID("self"), s.zoneReader(), "it is in another zone")
}

// Guards against store updates that are lost between two instances, and against sending them where no instance uses them.
func TestStoreUpdatesAreSentInLargeZones(t *testing.T) {
	message := &fleetpb.Heartbeat{Sequence: 4}
	s := newMembers(sharedReads)
	require.Empty(t, s.zoneHeartbeat(message).EntryBatches, "peers use only the update of the zone reader")
	s.reader = s.instance.ID
	sent := s.zoneHeartbeat(message)
	require.Equal(t, uint64(4), sent.Sequence)
	received := storeUpdateOf(sent)
	require.Equal(t, staticStoreSync{}.LocalUpdate(), received)
	require.Empty(t, message.EntryBatches, "the heartbeat to other zones carries none")
	small := newMembers(sharedReads - 1)
	small.reader = small.instance.ID
	require.Empty(t, small.zoneHeartbeat(message).EntryBatches)
}

// Guards against a customer that exceeds its rate while a zone is isolated: both sides of the partition used the full rate for
// 5.6 s in large deployments, until the single instances counted as unresponsive.
func TestIsolatedZoneIsDetectedAfterOneHeartbeat(t *testing.T) {
	s := newMembers(20)
	for i := range 60 {
		id := entity.InstanceID(fmt.Sprint("far-", i))
		s.peers[id] = &peer{id: id, zone: entity.Zone(fmt.Sprint("far-zone-", i%3)), storeReachable: true}
	}
	now := time.Minute
	for _, p := range s.peers {
		p.at = now
	}
	s.updateIntervals(now)
	s.publish(now)
	require.InDelta(t, 1, s.MembersView().ReachableShare, 0.001)
	now += s.staleness() + zoneTimeout + time.Millisecond
	for _, p := range s.peers {
		if p.zone != "far-zone-1" {
			p.at = now
		}
	}
	s.publish(now)
	require.InDelta(t, 61.0/81, s.MembersView().ReachableShare, 0.001)
	require.Less(t, s.staleness()+zoneTimeout, s.timeout()/2)
	s.peers["far-1"].at = now
	s.publish(now)
	require.InDelta(t, 1, s.MembersView().ReachableShare, 0.001, "a single heartbeat of the other peers may have been lost")
}

// Guards against heartbeats that overload small instances: the number that an instance sends each second must not grow with the
// deployment.
func TestHeartbeatsASecondAreBounded(t *testing.T) {
	const bound = 150 // heartbeats a second
	for _, zone := range []int{4, 20, 80} {
		s := newMembers(zone)
		for i := range 3 * zone {
			id := entity.InstanceID(fmt.Sprint("far-", i))
			s.peers[id] = &peer{id: id, zone: "b", at: time.Second, storeReachable: true}
		}
		s.updateIntervals(time.Second)
		sent := 0
		for range uint64(10 * time.Second / interval) {
			s.ticks++
			for _, p := range s.peers {
				if s.due(p) {
					sent++
				}
			}
		}
		require.LessOrEqual(t, sent/10, bound, "zones of %d", zone+1)
	}
}

// Guards against instances that collect and encode a report of all backends and customers ten times a second although they send only
// two heartbeats a second: the control of 195 instances took most of their processor time.
func TestReportIsCollectedOnlyForHeartbeats(t *testing.T) {
	s := newMultiZoneMember(38)
	s.reader = s.instance.ID
	collected := 0
	for range uint64(10 * time.Second / interval) {
		s.ticks++
		if len(s.duePeers()) > 0 || s.ticks%s.zoneInterval == 0 {
			collected++
		}
	}
	require.LessOrEqual(t, collected, 25)
	require.GreaterOrEqual(t, collected, 20)
}

// Guards against instances that all start at once and, until they have read the list of instances, take the few peers that they have
// heard for all there are: each then admitted a customer's requests as in a deployment of three.
func TestReportsCountAsLateUntilTheListIsRead(t *testing.T) {
	s := newMembers(2)
	require.Less(t, s.staleness(), unlistedStaleness)
	s.listRead = false
	s.publish(2 * time.Second)
	require.Equal(t, unlistedStaleness, s.MembersView().Staleness)
	require.Equal(t, assumedInstances, s.MembersView().ReachableCount)
}

// Guards against an instance that takes its side of a partition for all instances that send to a cold backend.
func TestUnreachableInstancesCountAsSenders(t *testing.T) {
	s := newMembers(4)
	listed := s.addPeer(&fleetpb.Member{Id: "listed", Zone: "b", Address: "127.0.0.1:1000"}, time.Second)
	require.NotNil(t, listed)
	s.peers["other-0"].leaving = true
	for _, now := range []time.Duration{time.Second, 20 * time.Second} {
		s.publish(now)
		require.Len(t, s.MembersView().Instances, 6, "at %v", now)
		require.Equal(t, 6, s.MembersView().KnownCount, "at %v", now)
	}
	require.Equal(t, 1, s.MembersView().ReachableCount)
	s.publish(time.Second + partitionedTTL + time.Millisecond)
	require.Len(t, s.MembersView().Instances, 2, "peers that were not heard for long have terminated, unless they are leaving")
	s.listRead = false
	s.publish(time.Minute)
	require.Equal(t, assumedInstances, s.MembersView().KnownCount)
}
