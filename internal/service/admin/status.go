package admin

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// statusBody is the JSON body of the answer to GET /status. docs/OPERATIONS.md describes the fields.
type statusBody struct {
	Instance      entity.InstanceID   `json:"instance"`
	Zone          entity.Zone         `json:"zone"`
	Ready         bool                `json:"ready"`
	ConfigVersion uint64              `json:"config_version"`
	ConfigAgeMS   int64               `json:"config_age_ms"`
	LogOffset     entity.Offset       `json:"log_offset"`
	LogFreshMS    int64               `json:"log_fresh_ms"`
	AuthorityMS   int64               `json:"authority_ms"`
	Members       []memberBody        `json:"members"`
	LostZones     []entity.Zone       `json:"lost_zones"`
	Services      []serviceBody       `json:"services"`
	Leases        []leaseBody         `json:"leases"`
	Shares        []customerShareBody `json:"shares"`
}

type memberBody struct {
	Instance entity.InstanceID `json:"instance"`
	Zone     entity.Zone       `json:"zone"`
	Group    uint32            `json:"group"`
	Address  string            `json:"address"`
}

type serviceBody struct {
	Service entity.ServiceName `json:"service"`
	Version entity.Epoch       `json:"version"`
	Moving  int                `json:"moving"`
	Unowned int                `json:"unowned"`
	Hot     int                `json:"hot"`
	Owners  []ownerBody        `json:"owners"`
}

type ownerBody struct {
	Backend    entity.BackendID `json:"backend"`
	Partitions int              `json:"partitions"`
}

type leaseBody struct {
	Name    service.LeaseName `json:"name"`
	Term    entity.Term       `json:"term"`
	ValidMS int64             `json:"valid_ms"`
}

type customerShareBody struct {
	Customer entity.CustomerID      `json:"customer"`
	Zones    map[entity.Zone]uint32 `json:"zones_thousandths"`
}

// status answers with this instance's view of the configuration, the leases and the ownership.
func (a *Admin) status(c *gin.Context) {
	now := a.kernel.Now()
	body := statusBody{Instance: a.self.ID, Zone: a.self.Zone, Ready: a.gateway.Ready()}
	if s := a.config.ConfigStatus(); s != nil {
		body.ConfigVersion = s.Version
		body.ConfigAgeMS = (now - s.FreshAt).Milliseconds()
	}
	if view := a.leases.Leases(); view != nil {
		body.addLeases(view, now)
	}
	if view := a.ownership.Ownership(); view != nil {
		body.addOwnership(view)
	}
	c.JSON(http.StatusOK, body)
}

// addLeases fills in the lease state, with the held leases sorted by name.
func (b *statusBody) addLeases(view *service.LeaseView, now time.Duration) {
	b.LogFreshMS = (view.FreshUntil - now).Milliseconds()
	b.AuthorityMS = (view.AuthorityUntil - now).Milliseconds()
	for _, name := range sortedKeys(view.Held) {
		held := view.Held[name]
		b.Leases = append(b.Leases, leaseBody{Name: name, Term: held.Term, ValidMS: (held.Until - now).Milliseconds()})
	}
}

// addOwnership fills in the replayed ownership state.
func (b *statusBody) addOwnership(view *ownership.View) {
	b.LogOffset = view.Offset
	b.LostZones = sortedKeys(view.LostZones)
	for _, m := range view.Members {
		b.Members = append(b.Members, memberBody{Instance: m.ID, Zone: m.Zone, Group: m.Group, Address: m.Address})
	}
	for _, name := range sortedKeys(view.Services) {
		b.Services = append(b.Services, summarize(name, view.Services[name]))
	}
	for _, customer := range sortedKeys(view.ZoneShares) {
		b.Shares = append(b.Shares, customerShareBody{Customer: customer, Zones: view.ZoneShares[customer]})
	}
}

// summarize counts the partitions of a service by owner.
func summarize(name entity.ServiceName, view *ownership.ServiceView) serviceBody {
	body := serviceBody{Service: name, Version: view.Version, Hot: len(view.Hot)}
	counts := map[entity.BackendID]int{}
	for _, owner := range view.Owners {
		switch {
		case owner.Backend == "":
			body.Unowned++
		case owner.Moving():
			body.Moving++
		default:
			counts[owner.Backend]++
		}
	}
	for _, id := range sortedKeys(counts) {
		body.Owners = append(body.Owners, ownerBody{Backend: id, Partitions: counts[id]})
	}
	return body
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// versionComment returns the first line of the printed configuration.
func versionComment(version uint64) string {
	return fmt.Sprintf("# Configuration version %d. Publish a changed copy with --base %d.\n", version, version)
}
