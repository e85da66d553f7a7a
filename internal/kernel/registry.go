package kernel

import (
	"slices"

	"github.com/go-faster/errors"
)

// Resolver gives one service access to the services that it declared in Needs. It is valid only during Provision, so that no
// lookup happens on the traffic path.
type Resolver struct {
	kernel  *Kernel
	service Service
}

// Kernel returns the kernel, through which goroutines other than the control goroutine post messages and read the clock.
func (r *Resolver) Kernel() *Kernel { return r.kernel }

// Lookup returns the named service as T, usually a small interface that the caller requires. It fails with ErrUndeclaredNeed,
// ErrServiceNotFound or ErrWrongType. Only Provision may call it.
func Lookup[T any](r *Resolver, name Name) (T, error) {
	var none T
	if !slices.Contains(r.service.Needs(), name) {
		return none, errors.Wrapf(ErrUndeclaredNeed, "%q by %q", name, r.service.Name())
	}
	s, ok := r.kernel.services[name]
	if !ok {
		return none, errors.Wrapf(ErrServiceNotFound, "%q needed by %q", name, r.service.Name())
	}
	typed, ok := s.(T)
	if !ok {
		return none, errors.Wrapf(ErrWrongType, "%q is %T, needed by %q", name, s, r.service.Name())
	}
	return typed, nil
}

// sortByNeeds sorts services topologically, so that each service follows those that it needs. The order is deterministic.
func sortByNeeds(services []Service, byName map[Name]Service) ([]Service, error) {
	const (
		visiting = 1
		done     = 2
	)
	state := make(map[Name]int, len(services))
	order := make([]Service, 0, len(services))
	var visit func(s Service) error
	visit = func(s Service) error {
		switch state[s.Name()] {
		case done:
			return nil
		case visiting:
			return errors.Wrapf(ErrDependencyCycle, "at service %q", s.Name())
		}
		state[s.Name()] = visiting
		for _, need := range s.Needs() {
			dep, ok := byName[need]
			if !ok {
				return errors.Wrapf(ErrServiceNotFound, "%q needed by %q", need, s.Name())
			}
			if err := visit(dep); err != nil {
				return err
			}
		}
		state[s.Name()] = done
		order = append(order, s)
		return nil
	}
	for _, s := range services {
		if err := visit(s); err != nil {
			return nil, err
		}
	}
	return order, nil
}
