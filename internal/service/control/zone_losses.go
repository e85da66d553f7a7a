package control

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// zoneLoss is the loss of a zone as observed by this instance.
type zoneLoss struct {
	// offset is that of the record that declared the loss. A zone that recovered and was lost again has another offset,
	// even if one read returned both records.
	offset    entity.Offset
	appliedAt time.Duration
}

// lossTimes holds the current loss of each lost zone with the time at which this instance applied it.
type lossTimes map[entity.Zone]zoneLoss

// update applies a view and returns the zones whose loss began and ended.
func (l lossTimes) update(now time.Duration, v *ownership.View) (began, ended []entity.Zone) {
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
