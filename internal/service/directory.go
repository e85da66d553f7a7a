package service

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/storesync"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// DirectoryView is the immutable view of configuration, backends and zones on which traffic goroutines base their decisions.
type DirectoryView struct {
	// Config is nil until the first configuration has been read.
	Config *catalog.Config
	// Services lists the backends of each service, including leaving ones, sorted by id.
	Services map[entity.ServiceName][]*catalog.Backend
	Backends map[entity.BackendID]*catalog.Backend
	// Evacuated zones get no requests.
	Evacuated map[entity.Zone]bool
	// EvacuatedSince is when this instance learned of the evacuation of each zone, on the kernel's clock.
	EvacuatedSince map[entity.Zone]time.Duration
	// ReadAt is when the newest read of backends that is part of this view was sent to the store, on the kernel's clock.
	ReadAt time.Duration
	// Generation grows with each publication.
	Generation uint64
}

// DirectorySource provides the current view to traffic goroutines.
type DirectorySource interface {
	Directory() *DirectoryView
	// ConfigCheckedAt returns the last time at which the store is known to have had no newer configuration than the one in force here, on
	// the kernel's clock. It is zero if there was none.
	ConfigCheckedAt() time.Duration
	// Ready returns a channel that is closed when the first configuration is effective and the backends have been read.
	Ready() <-chan struct{}
}

// StoreSync lets the zone reader poll the store for its zone, so that the other instances of the zone read only after a change.
// Its methods are safe for concurrent use and never block.
type StoreSync interface {
	// LocalUpdate returns how far this instance has read the store, which members sends with heartbeats.
	LocalUpdate() storesync.Update
	// ReceiveUpdate applies a store update from the zone reader.
	ReceiveUpdate(update storesync.Update, now time.Duration)
}

// ConfigOrigin is the way in which an instance learned a configuration.
type ConfigOrigin string

// Ways to learn a configuration. The texts are those in the log.
const (
	ConfigFromChanges ConfigOrigin = "changes" // from the records after the known ones
	ConfigFromNewest  ConfigOrigin = "newest"  // from the newest record of each key
	ConfigFromRelay   ConfigOrigin = "relay"   // from the zone reader
)

// ConfigRead is sent by the feed to the directory for each configuration read from the store.
type ConfigRead struct {
	Config *catalog.Config
	Origin ConfigOrigin
}

// ConfigChecked is sent by the feed to the directory when it has learned that at the time At, on the kernel's clock, the store had no
// newer configuration than those sent before.
type ConfigChecked struct{ At time.Duration }

// BackendsRead is sent by the feed to the directory and contains the backend records that changed, in the order of the store.
type BackendsRead struct {
	Entries []BackendEntry
	// Complete is true if Entries are all records in the store, so that backends missing from it have been removed.
	Complete bool
	// NewEra is true for the first, complete read after the store has returned from an older copy: missing records may have been
	// lost, and those of terminated processes may be back.
	NewEra bool
	// At is when the read was sent, on the kernel's clock.
	At time.Duration
	// PreviousReadAt is when the previous successful read was sent. New records in Entries were written after that. It is zero
	// if there was no such read.
	PreviousReadAt time.Duration
}

// BackendEntry is a backend record or, if Backend is nil, its removal.
type BackendEntry struct {
	ID      entity.BackendID
	Backend *catalog.Backend
	// Invalid means that the record names no backend: another writer has left it, under an ID of its own or in place of a backend's
	// record. It is neither a backend nor the removal of one, and Backend is nil.
	Invalid bool
	// RemainingWarmup is how much longer the backend is cold.
	RemainingWarmup time.Duration
}

// ZonesRead is sent by the feed to the directory and contains the zones that are currently evacuated.
type ZonesRead struct{ Evacuated map[entity.Zone]bool }

// BackendsLeaving is sent by members to the directory and contains the backend processes that have stated in an answer to this
// instance or to a peer that they are leaving.
type BackendsLeaving struct {
	Processes []uint64 // see keyrange.Holder.Hash
	// At is a time, on the kernel's clock, before this instance learned of it. Their drain time counts from then.
	At time.Duration
}

// StoreOutage is sent by the feed to directory, keys, loads and rollout when reads of the store fail and when they succeed again.
type StoreOutage struct {
	Unavailable bool
	At          time.Duration
}

// DirectoryChanged is sent by the directory to keys, loads and rollout after it has published a view.
type DirectoryChanged struct{ View *DirectoryView }
