package keys

import (
	"slices"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/service"
)

// tableRoles is what the table and the list of backends say of each process and address.
type tableRoles struct {
	state     *keyrange.State
	directory *service.DirectoryView
	// owners are the owners and the previous owners of ranges. The value is true for those that may hold keys: owners that have been
	// granted a range, and previous owners.
	owners map[keyrange.Holder]bool
	// at are the processes of each address: the listed ones, and owners that are no longer listed.
	at map[string][]keyrange.Holder
}

// tableRoles returns the roles in the current table. They are computed only after a change, since the table may have thousands of ranges.
func (s *Service) tableRoles() *tableRoles {
	roles := &s.coordinator.roles
	if roles.state == s.state && roles.directory == s.directory {
		return roles
	}
	*roles = tableRoles{state: s.state, directory: s.directory, owners: map[keyrange.Holder]bool{}, at: map[string][]keyrange.Holder{}}
	for i := range s.state.Tables {
		for j := range s.state.Tables[i].Ranges {
			r := &s.state.Tables[i].Ranges[j]
			roles.owners[r.Owner] = roles.owners[r.Owner] || r.Granted
			if r.PreviousOwner != (keyrange.Holder{}) {
				roles.owners[r.PreviousOwner] = true
			}
		}
	}
	for _, b := range s.directory.Backends {
		roles.at[b.Address] = append(roles.at[b.Address], holderOf(b))
	}
	for h := range roles.owners {
		if b := s.address(h); b != nil && !slices.Contains(roles.at[b.Address], h) {
			roles.at[b.Address] = append(roles.at[b.Address], h)
		}
	}
	return roles
}

// mayHold reports whether the table names the process as owner of a granted range or as the previous owner of any.
func (s *Service) mayHold(h keyrange.Holder) bool { return s.tableRoles().owners[h] }
