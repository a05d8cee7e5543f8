package stepper

import (
	"fmt"
	"time"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service string
	Target  string
	// Limit is the time within which the move has to be done.
	Limit time.Duration
}

// State is the state of a rollout as the operator sees it.
type State string

// The states.
const (
	StateRunning    State = "running"
	StateDone       State = "done"
	StateRolledBack State = "rolled_back"
)

// Status is the state of the rollout of one service.
type Status struct {
	Service string
	Target  string
	State   State
}

// OrderError reports an order that can't be followed.
type OrderError struct {
	Key string
	// Field is the field that is missing or invalid; empty if the value can't be decoded at all.
	Field string
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("order %q: field %q is missing or invalid", e.Key, e.Field)
}
