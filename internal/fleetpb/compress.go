package fleetpb

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
)

// ErrTooLarge means that what a heartbeat carries unpacks to more than the reader takes.
var ErrTooLarge = errors.New("unpacks to too much")

// Compress packs what a heartbeat carries.
func Compress(raw []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// Decompress unpacks what Compress packed, up to limit bytes.
func Decompress(packed []byte, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if int64(len(raw)) > limit {
		return nil, ErrTooLarge
	}
	return raw, nil
}
