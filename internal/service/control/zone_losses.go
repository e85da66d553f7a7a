package control

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// zoneLoss is a loss of a zone as this instance has seen it.
type zoneLoss struct {
	// offset is that of the record that declared the loss. A zone that came back and was lost again has another one, even
	// if one read brought both records.
	offset    entity.Offset
	appliedAt time.Duration
}

// lossTimes says when this instance applied the present loss of each lost zone.
type lossTimes map[entity.Zone]zoneLoss

// applied compares with a view and returns the zones whose loss began and ended.
func (l lossTimes) applied(now time.Duration, v *ownership.View) (began, ended []entity.Zone) {
	for zone, offset := range v.LostZones {
		if l[zone].offset != offset {
			l[zone] = zoneLoss{offset: offset, appliedAt: now}
			began = append(began, zone)
		}
	}
	for zone := range l {
		if _, lost := v.LostZones[zone]; !lost {
			delete(l, zone)
			ended = append(ended, zone)
		}
	}
	return began, ended
}
