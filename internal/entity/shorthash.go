package entity

import "github.com/cespare/xxhash/v2"

// ShortHash returns the hash that identifies a backend or a customer in heartbeats.
func ShortHash[Name ~string](name Name) uint32 { return uint32(xxhash.Sum64String(string(name))) }
