package platformapi_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	standin "github.com/pollenpier/pollenpier/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// implementation is an implementation of the platform with control over its faults and its list.
type implementation struct {
	log    platformapi.Log
	list   platformapi.InstanceList
	faults func(platformapi.Faults)
	put    func(platformapi.Instance)
}

const retained = 4

// forEachImplementation runs a test against the fake, and against the HTTP client with the simulated platform. Both must
// behave the same.
func forEachImplementation(t *testing.T, test func(*testing.T, implementation)) {
	t.Run("fake", func(t *testing.T) {
		fake := platformapi.NewFake()
		fake.SetRetention(retained)
		put := func(i platformapi.Instance) { fake.SetInstances([]platformapi.Instance{i}) }
		test(t, implementation{log: fake, list: fake, faults: fake.SetFaults, put: put})
	})
	t.Run("http", func(t *testing.T) {
		server, err := standin.Start("127.0.0.1:0", standin.Options{KeepCount: retained})
		require.NoError(t, err)
		defer func() { require.NoError(t, server.Close()) }()
		client := newClient(t, unusedAddress(t), server.Address())
		faults := func(f platformapi.Faults) {
			s := standin.Faults{Outage: f.Unavailable, FreezeList: f.FreezeList, LatencyMs: int(f.Delay.Milliseconds())}
			if f.LoseAnswers {
				s.LoseAnswers = standin.AllAnswers
			}
			server.SetFaults(s)
		}
		put := func(i platformapi.Instance) { require.NoError(t, client.Register(context.Background(), i)) }
		test(t, implementation{log: client, list: client, faults: faults, put: put})
	})
}

func newClient(t *testing.T, addresses ...string) *platformapi.HTTPClient {
	t.Helper()
	client, err := platformapi.NewHTTPClient(platformapi.ClientSettings{Addresses: addresses})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

// unusedAddress returns an address that refuses connections.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func draft(sequence uint64) platformapi.Draft {
	return platformapi.Draft{Writer: "w", Sequence: sequence, Payload: []byte{byte(sequence), 0xff}}
}

// Guards against records that differ, have another offset or appear in another stream when they are read.
func TestReadsWhatWasAppended(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, s implementation) {
		ctx := context.Background()
		big := draft(1<<64 - 1)
		for i, d := range []platformapi.Draft{draft(1), big} {
			offset, err := s.log.Append(ctx, platformapi.StreamControl, d)
			require.NoError(t, err)
			require.Equal(t, entity.Offset(i), offset)
		}
		batch, err := s.log.Read(ctx, platformapi.StreamControl, 1, 10, 0)
		require.NoError(t, err)
		want := platformapi.Batch{Next: 2, Records: []platformapi.Record{{Draft: big, Offset: 1}}}
		require.Equal(t, want, batch)
		batch, err = s.log.Read(ctx, platformapi.StreamConfig, 0, 10, 0)
		require.NoError(t, err)
		require.Empty(t, batch.Records)
		require.Zero(t, batch.Next)
	})
}

// Guards against a reader that does not notice that the log has dropped the records at its offset.
func TestReadOfTruncatedOffsetFails(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, s implementation) {
		ctx := context.Background()
		for i := range uint64(retained + 2) {
			_, err := s.log.Append(ctx, platformapi.StreamControl, draft(i))
			require.NoError(t, err)
		}
		batch, err := s.log.Read(ctx, platformapi.StreamControl, 1, 10, 0)
		require.ErrorIs(t, err, platformapi.ErrTruncated)
		require.Equal(t, platformapi.Batch{First: 2, Next: 6}, batch)
		batch, err = s.log.Read(ctx, platformapi.StreamControl, 2, 3, 0)
		require.NoError(t, err)
		require.Len(t, batch.Records, 3)
	})
}

// Guards against a long poll that misses an append, or that returns without a record before its wait time has passed.
func TestReadWaitsForARecord(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, s implementation) {
		ctx := context.Background()
		got := make(chan platformapi.Batch, 1)
		go func() {
			batch, _ := s.log.Read(ctx, platformapi.StreamControl, 0, 10, 30*time.Second)
			got <- batch
		}()
		select {
		case <-got:
			t.Fatal("read returned before an append")
		case <-time.After(50 * time.Millisecond):
		}
		_, err := s.log.Append(ctx, platformapi.StreamControl, draft(1))
		require.NoError(t, err)
		require.Len(t, (<-got).Records, 1)
	})
}

// Guards against an append that is sent again, or reported as rejected, when its answer was lost.
func TestLostAnswerTakesEffectOnce(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, s implementation) {
		ctx := context.Background()
		s.faults(platformapi.Faults{LoseAnswers: true})
		_, err := s.log.Append(ctx, platformapi.StreamControl, draft(1))
		require.ErrorIs(t, err, platformapi.ErrUnavailable)
		require.NotErrorIs(t, err, platformapi.ErrRejected)
		s.faults(platformapi.Faults{})
		batch, err := s.log.Read(ctx, platformapi.StreamControl, 0, 10, 0)
		require.NoError(t, err)
		require.Len(t, batch.Records, 1)
	})
}

// Guards against calls that outlast their context, or that do not fail with ErrUnavailable.
func TestOutageAndSlownessAreUnavailable(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, s implementation) {
		s.faults(platformapi.Faults{Unavailable: true})
		_, err := s.log.Append(context.Background(), platformapi.StreamControl, draft(1))
		require.ErrorIs(t, err, platformapi.ErrUnavailable)
		_, err = s.list.Instances(context.Background())
		require.ErrorIs(t, err, platformapi.ErrUnavailable)

		s.faults(platformapi.Faults{Delay: time.Minute})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err = s.log.Read(ctx, platformapi.StreamControl, 0, 1, 0)
		require.ErrorIs(t, err, platformapi.ErrUnavailable)
	})
}

// Guards against a simulated list that cannot lag, and against entries that change between registration and the list.
func TestListLags(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, s implementation) {
		live := platformapi.Instance{Address: "127.0.0.1:1", Zone: "a", State: platformapi.InstanceLive}
		s.put(live)
		s.faults(platformapi.Faults{FreezeList: true})
		leaving := live
		leaving.State = platformapi.InstanceLeaving
		s.put(leaving)
		list, err := s.list.Instances(context.Background())
		require.NoError(t, err)
		require.Equal(t, []platformapi.Instance{live}, list)
		s.faults(platformapi.Faults{})
		list, err = s.list.Instances(context.Background())
		require.NoError(t, err)
		require.Equal(t, []platformapi.Instance{leaving}, list)
	})
}

// Guards against reporting a refused append as one with an unknown outcome.
func TestRefusedAppendIsRejected(t *testing.T) {
	server, err := standin.Start("127.0.0.1:0", standin.Options{})
	require.NoError(t, err)
	defer server.Close()
	client := newClient(t, server.Address())
	_, err = client.Append(context.Background(), platformapi.StreamControl, platformapi.Draft{})
	require.ErrorIs(t, err, platformapi.ErrRejected)
}

// Guards against invalid settings that are accepted and fail only in operation.
func TestWrongAddressesAreRefused(t *testing.T) {
	_, err := platformapi.NewHTTPClient(platformapi.ClientSettings{})
	require.ErrorIs(t, err, platformapi.ErrNoAddress)
	_, err = platformapi.NewHTTPClient(platformapi.ClientSettings{Addresses: []string{"127.0.0.1"}})
	require.Error(t, err)
}
