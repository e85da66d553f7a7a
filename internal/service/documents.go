package service

import (
	"context"
	"errors"
)

// Version numbers the successive contents of a document. Zero means that there is none yet. Versions of a later era of the store
// are higher than all versions of earlier eras, so that an offset that is assigned again does not make an old version valid.
type Version uint64

// offsetBits is the number of bits of a version that hold the offset. The bits above hold the era, which leaves room for 16
// million returns of the store and a trillion records in a topic.
const offsetBits = 40

// MaxEra is the highest era that a version can hold.
const MaxEra = 1<<(64-offsetBits) - 1

// NewVersion returns the version at an offset in an era of the store.
func NewVersion(era, offset uint64) Version { return Version(era<<offsetBits | offset) }

// Era returns the era of the store in which the version was assigned.
func (v Version) Era() uint64 { return uint64(v) >> offsetBits }

// Offset returns the offset of the version in the store.
func (v Version) Offset() uint64 { return uint64(v) & (1<<offsetBits - 1) }

// StoreEraChanged is sent by the store to keys and members when it has answered with a higher era for the first time: it has lost
// acknowledged writes and assigns their offsets again.
type StoreEraChanged struct{ Era uint64 }

// Errors of calls to the store.
var (
	// ErrConflict means that the document has another version; nothing was written.
	ErrConflict = errors.New("document has another version")
	// ErrStoreRefused means that the store rejected the call without any effect.
	ErrStoreRefused = errors.New("store refused the call")
	// ErrStoreUnknown means that no usable answer was received. A write may still take effect seconds later if its condition
	// still holds then.
	ErrStoreUnknown = errors.New("no answer from the store")
)

// Document is a named value in the store.
type Document struct {
	Value   []byte
	Version Version
	// Outdated means that Value was written in an earlier era, so that later contents may have been lost.
	Outdated bool
}

// DocumentStore accesses data in the platform's store that must outlive the instances.
type DocumentStore interface {
	// Load returns the document if its version is newer than known. Otherwise Value is nil and Version is known. In an era in
	// which the document does not exist, Value is nil and Version is the newer one at which it can be written.
	Load(ctx context.Context, name string, known Version) (Document, error)
	// Replace writes the document if its version is still known, and returns the new version. It returns ErrConflict if the store
	// is in another era than known.
	Replace(ctx context.Context, name string, value []byte, known Version) (Version, error)
	// Register writes a value under a key of a collection and overwrites any earlier value.
	Register(ctx context.Context, collection, key string, value []byte) error
	// ListRegistered returns the newest values of a collection by key.
	ListRegistered(ctx context.Context, collection string) (map[string][]byte, error)
}
