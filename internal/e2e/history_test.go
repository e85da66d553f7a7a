package e2e

import (
	"github.com/pollenpier/pollenpier/internal/e2e/check"
	"github.com/pollenpier/pollenpier/internal/standin/backend"
)

// history returns all executions of the deployment by key, in order of their start.
func (s *site) history() check.History {
	s.t.Helper()
	executions := map[string][]backend.Execution{}
	for name := range s.backends {
		executions[name] = s.executions(name)
	}
	return check.NewHistory(s.t, executions)
}

// checkInvariants checks the invariants of every run on all executions of the deployment.
func (s *site) checkInvariants() {
	s.t.Helper()
	s.history().Invariants(s.t)
}
