package fleetpb

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
)

// ErrTooLarge means that the decompressed data exceeds the limit of the receiver.
var ErrTooLarge = errors.New("decompressed data exceeds the limit")

// Compress compresses data for a heartbeat.
func Compress(raw []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// Decompress reverses Compress. It returns ErrTooLarge if the result exceeds limit bytes.
func Decompress(compressed []byte, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if int64(len(raw)) > limit {
		return nil, ErrTooLarge
	}
	return raw, nil
}
