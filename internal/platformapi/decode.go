package platformapi

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/platformapi/wire"
)

// maxErrorText bounds the part of a refusal's text that errors carry, in bytes.
const maxErrorText = 200

// decode reads a JSON answer with status 200. Anything else means that the platform did not answer as agreed.
func decode(status int, data []byte, into any) error {
	if status != http.StatusOK {
		return errors.Wrapf(ErrUnavailable, "status %d: %s", status, errorText(data))
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Join(ErrUnavailable, errors.Wrap(err, "decode answer"))
	}
	return nil
}

// decodeBatch reads the answer to a read and checks that its records are the requested ones.
func decodeBatch(status int, data []byte, from entity.Offset, limit int) (Batch, error) {
	var answer wire.Batch
	if status == http.StatusGone {
		if err := json.Unmarshal(data, &answer); err != nil {
			return Batch{}, errors.Join(ErrUnavailable, errors.Wrap(err, "decode answer"))
		}
		return Batch{First: entity.Offset(answer.First), Next: entity.Offset(answer.Next)}, ErrTruncated
	}
	if err := decode(status, data, &answer); err != nil {
		return Batch{}, err
	}
	if len(answer.Records) > limit {
		return Batch{}, errors.Wrapf(ErrUnavailable, "%d records, more than %d", len(answer.Records), limit)
	}
	batch := Batch{First: entity.Offset(answer.First), Next: entity.Offset(answer.Next)}
	batch.Records = make([]Record, 0, len(answer.Records))
	for i, r := range answer.Records {
		want := from + entity.Offset(i)
		if entity.Offset(r.Offset) != want || want >= batch.Next {
			return Batch{}, errors.Wrapf(ErrUnavailable, "record at %d, expected %d before %d", r.Offset, want, batch.Next)
		}
		draft := Draft{Writer: r.Writer, Sequence: r.Sequence, Payload: r.Payload}
		batch.Records = append(batch.Records, Record{Draft: draft, Offset: want})
	}
	return batch, nil
}

// errorText returns the text of a refusal.
func errorText(data []byte) string {
	var body wire.Error
	if json.Unmarshal(data, &body) == nil && body.Error != "" {
		return body.Error
	}
	return string(data[:min(len(data), maxErrorText)])
}
