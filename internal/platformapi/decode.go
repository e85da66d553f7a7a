package platformapi

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/platformapi/wire"
)

// maxErrorText is the maximum number of bytes of a refusal's text, or of an invalid answer, that an error contains.
const maxErrorText = 200

// decodeJSON decodes a JSON answer with status 200. Any other answer violates the protocol and is ErrUnavailable.
func decodeJSON(status int, data []byte, into any) error {
	if status != http.StatusOK {
		return errors.Wrapf(ErrUnavailable, "status %d: %s", status, errorText(data))
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Join(ErrUnavailable, errors.Wrap(err, "decode answer"))
	}
	return nil
}

// decodeBatch decodes the answer to a read and checks that its records are the requested ones.
func decodeBatch(status int, data []byte, from entity.Offset, limit int) (Batch, error) {
	var answer wire.Batch
	if status == http.StatusGone {
		if err := json.Unmarshal(data, &answer); err != nil {
			return Batch{}, errors.Join(ErrUnavailable, errors.Wrap(err, "decode answer"))
		}
		return Batch{First: entity.Offset(answer.First), Next: entity.Offset(answer.Next)}, ErrTruncated
	}
	if err := decodeJSON(status, data, &answer); err != nil {
		return Batch{}, err
	}
	if len(answer.Records) > limit {
		return Batch{}, errors.Wrapf(ErrUnavailable, "answer has %d records, more than the limit of %d", len(answer.Records), limit)
	}
	batch := Batch{First: entity.Offset(answer.First), Next: entity.Offset(answer.Next)}
	batch.Records = make([]Record, 0, len(answer.Records))
	for i, r := range answer.Records {
		expected := from + entity.Offset(i)
		if entity.Offset(r.Offset) != expected || expected >= batch.Next {
			return Batch{}, errors.Wrapf(ErrUnavailable, "answer has a record at offset %d instead of %d, next offset %d",
				r.Offset, expected, batch.Next)
		}
		draft := Draft{Writer: r.Writer, Sequence: r.Sequence, Payload: r.Payload}
		batch.Records = append(batch.Records, Record{Draft: draft, Offset: expected})
	}
	return batch, nil
}

// errorText returns the text of a refusal, or the beginning of the answer if it has none.
func errorText(data []byte) string {
	var body wire.Error
	if json.Unmarshal(data, &body) == nil && body.Error != "" {
		return body.Error[:min(len(body.Error), maxErrorText)]
	}
	return string(data[:min(len(data), maxErrorText)])
}
