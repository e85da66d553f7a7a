package operator

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-faster/errors"
)

// HashKey returns the SHA-256 hash of a customer's key in lower-case hexadecimal. A configuration must contain keys in
// this form only. Keys must be random with at least 128 bits of entropy, because the hash is not salted.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// DecodeHash returns the hash in the text that HashKey returned. It fails if the text is not a SHA-256 hash in
// hexadecimal.
func DecodeHash(text string) (hash [sha256.Size]byte, err error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(hash) {
		return hash, errors.New("not a SHA-256 hash in hexadecimal")
	}
	copy(hash[:], data)
	return hash, nil
}
