// Package registrar manages the services of a process. They register under a name, look
// each other up by it, start in the order of their dependencies and stop in reverse.
package registrar

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Service is a component of a process with a managed start and stop.
type Service interface {
	// Name is unique within the process.
	Name() string
	// Needs names the services that must be started before this one.
	Needs() []string
	// Start returns when the service is usable. The context stays valid until the
	// service has stopped, so background goroutines may use it.
	Start(ctx context.Context) error
	// Stop ends the service and waits for its background goroutines, at most until
	// the context ends.
	Stop(ctx context.Context) error
}

// UnknownServiceError reports that a service was looked up or needed that is not
// registered.
type UnknownServiceError struct {
	Name string
	// NeededBy is the service that needs it; empty if there is none.
	NeededBy string
}

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("service %q, needed by %q, is not registered", e.Name, e.NeededBy)
}

// Registry holds the services of one process. It is not safe for concurrent use.
type Registry struct {
	services map[string]Service
	// order holds the names of the services in the order of their registration.
	order []string
	// started holds the running services in the order in which they were started.
	started []Service
	// cancel cancels the context of the services; nil before Start.
	cancel context.CancelFunc
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{services: map[string]Service{}}
}

// Register adds a service. It returns an error if the name is already registered.
func (r *Registry) Register(s Service) error {
	if _, registered := r.services[s.Name()]; registered {
		return errors.Newf("service %q is already registered", s.Name())
	}
	r.services[s.Name()] = s
	r.order = append(r.order, s.Name())
	return nil
}

// Lookup returns the named service as type T. It returns an *UnknownServiceError if the
// service is not registered, and another error if it is not a T. NeededBy is the name
// that errors give for the service that needs it.
func Lookup[T any](r *Registry, name, neededBy string) (T, error) {
	var zero T
	service, found := r.services[name]
	if !found {
		return zero, &UnknownServiceError{Name: name, NeededBy: neededBy}
	}
	typed, ok := service.(T)
	if !ok {
		return zero, errors.Newf("service %q has type %T, which is not the one that %q needs", name, service, neededBy)
	}
	return typed, nil
}

// Start starts every service after those that it needs. If one fails to start, those
// already started are stopped.
func (r *Registry) Start(ctx context.Context) error {
	sorted, err := r.sorted()
	if err != nil {
		return err
	}
	serviceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.cancel = cancel
	for _, service := range sorted {
		if err := service.Start(serviceCtx); err != nil {
			err = errors.Wrapf(err, "start %s", service.Name())
			return errors.CombineErrors(err, r.Stop(ctx))
		}
		r.started = append(r.started, service)
	}
	return nil
}

// Stop stops the started services in reverse order. After an error it continues; it
// returns the first error, with the others as its secondary errors.
func (r *Registry) Stop(ctx context.Context) error {
	var combined error
	for i := len(r.started) - 1; i >= 0; i-- {
		if err := r.started[i].Stop(ctx); err != nil {
			combined = errors.CombineErrors(combined, errors.Wrapf(err, "stop %s", r.started[i].Name()))
		}
	}
	r.started = nil
	if r.cancel != nil {
		r.cancel()
	}
	return combined
}

// Kill cancels the context of the services without stopping them.
func (r *Registry) Kill() {
	if r.cancel != nil {
		r.cancel()
	}
}

// sorted returns the services in the order of their dependencies, by a depth-first
// search. It returns an error if a needed service is not registered or services depend
// on each other in a cycle.
func (r *Registry) sorted() ([]Service, error) {
	const visiting, done = 1, 2
	state := map[string]int{}
	var result []Service
	var visit func(name, neededBy string) error
	visit = func(name, neededBy string) error {
		service, found := r.services[name]
		if !found {
			return &UnknownServiceError{Name: name, NeededBy: neededBy}
		}
		if state[name] == done {
			return nil
		}
		if state[name] == visiting {
			return errors.Newf("services %q and %q depend on each other", name, neededBy)
		}
		state[name] = visiting
		for _, need := range service.Needs() {
			if err := visit(need, name); err != nil {
				return err
			}
		}
		state[name] = done
		result = append(result, service)
		return nil
	}
	for _, name := range r.order {
		if err := visit(name, ""); err != nil {
			return nil, err
		}
	}
	return result, nil
}
