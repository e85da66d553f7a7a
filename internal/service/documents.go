package service

import (
	"context"
	"errors"
)

// Version numbers the successive contents of a document. Zero means that there is none yet.
type Version uint64

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
}

// DocumentStore accesses data in the platform's store that must outlive the instances.
type DocumentStore interface {
	// Load returns the document if its version is newer than known. Otherwise Value is nil and Version is known.
	Load(ctx context.Context, name string, known Version) (Document, error)
	// Replace writes the document if its version is still known, and returns the new version.
	Replace(ctx context.Context, name string, value []byte, known Version) (Version, error)
	// Register writes a value under a key of a collection and overwrites any earlier value.
	Register(ctx context.Context, collection, key string, value []byte) error
	// ListRegistered returns the newest values of a collection by key.
	ListRegistered(ctx context.Context, collection string) (map[string][]byte, error)
}
