package platform

import (
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/pollenpier/pollenpier/internal/platformapi/wire"
)

// list keeps the registrations that are needed to return the instance list as it was at an earlier time.
type list struct{ registrations []registration }

type registration struct {
	at       time.Time
	instance wire.Instance
}

// add records a registration. It drops registrations that a later one of the same instance had already replaced at the time
// oldest, which is the earliest time for which the list can still be requested.
func (l *list) add(i wire.Instance, now, oldest time.Time) {
	l.registrations = append(l.registrations, registration{at: now, instance: i})
	newest := map[string]time.Time{}
	for _, r := range l.registrations {
		if !r.at.After(oldest) {
			newest[r.instance.Address] = r.at
		}
	}
	l.registrations = slices.DeleteFunc(l.registrations, func(r registration) bool {
		return r.at.Before(newest[r.instance.Address])
	})
}

// at returns the list as it was at time t, ordered by address. Entries that were not refreshed within expiry are left out;
// an expiry of zero keeps them.
func (l *list) at(t time.Time, expiry time.Duration) []wire.Instance {
	latest := map[string]registration{}
	for _, r := range l.registrations {
		if !r.at.After(t) {
			latest[r.instance.Address] = r
		}
	}
	shown := make([]wire.Instance, 0, len(latest))
	for _, r := range latest {
		if expiry <= 0 || t.Sub(r.at) < expiry {
			shown = append(shown, r.instance)
		}
	}
	sort.Slice(shown, func(i, j int) bool { return shown[i].Address < shown[j].Address })
	return shown
}

// listTime returns the time whose list is returned to clients. The caller holds the lock.
func (s *Server) listTime() time.Time {
	at := time.Now()
	if s.faults.FreezeList {
		at = s.frozenAt
	}
	return at.Add(-s.options.ListLag)
}

func (s *Server) getInstances(c *gin.Context) {
	s.mu.Lock()
	shown := s.list.at(s.listTime(), s.options.ListExpiry)
	s.mu.Unlock()
	c.JSON(http.StatusOK, wire.Instances{Instances: shown})
}

func (s *Server) putInstance(c *gin.Context) {
	var i wire.Instance
	if err := c.ShouldBindJSON(&i); err != nil {
		refuse(c, http.StatusBadRequest, err.Error())
		return
	}
	if i.Address == "" || i.Zone == "" || (i.State != "live" && i.State != "leaving") {
		refuse(c, http.StatusBadRequest, "address, zone and a state of live or leaving are needed")
		return
	}
	s.mu.Lock()
	s.list.add(i, time.Now(), s.listTime())
	s.mu.Unlock()
	c.JSON(http.StatusOK, i)
}
