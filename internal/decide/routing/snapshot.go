// Package routing builds the immutable snapshot by which traffic finds the owner of a key and its primary.
package routing

// Snapshot is the immutable view by which traffic finds the owner of a key.
type Snapshot struct{}
