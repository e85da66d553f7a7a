package operator

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the SHA-256 hash of a customer's key in lower-case hexadecimal, the only form in which a key may appear
// in a configuration. Keys must be random with at least 128 bits of entropy, since the hash is not salted.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
