package orders

import (
	"slices"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// Desired is the desired state of an engine according to the catalogue. An empty Version or Role keeps that of the
// engine.
type Desired struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// Status is the state that an engine reports.
type Status struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// Fence is the fencing number of the last order that the engine accepted.
	Fence uint64 `json:"fence"`
	// Busy is true while the engine carries out an order.
	Busy bool `json:"busy"`
}

// DesiredOf returns the desired state of a target of a model pool. The name of the pool is the name of the model.
func DesiredOf(target *catalogue.Target) Desired {
	pool := target.Pool()
	return Desired{Model: pool.Name, Version: pool.Version, Adapters: pool.Adapters, Role: target.Role}
}

func (d Desired) equal(other Desired) bool {
	return d.Model == other.Model && d.Version == other.Version && d.Role == other.Role &&
		slices.Equal(d.Adapters, other.Adapters)
}

// satisfiedBy reports whether the reported state matches the desired one. Adapters are compared as sets.
func (d Desired) satisfiedBy(s Status) bool {
	roleMatches := d.Role == "" || d.Role == s.Role
	return d.modelSatisfiedBy(s) && roleMatches && len(d.Adapters) == len(s.Adapters) && d.adaptersLoaded(s)
}

// needsWeights reports whether the engine must read from the weight store to reach the desired state.
func (d Desired) needsWeights(s Status) bool {
	return !d.modelSatisfiedBy(s) || !d.adaptersLoaded(s)
}

func (d Desired) modelSatisfiedBy(s Status) bool {
	return d.Model == s.Model && (d.Version == "" || d.Version == s.Version)
}

func (d Desired) adaptersLoaded(s Status) bool {
	for _, adapter := range d.Adapters {
		if !slices.Contains(s.Adapters, adapter) {
			return false
		}
	}
	return true
}

// fenceTagBits is the number of low bits of a fencing number that identify the sender. Two owners that read the same
// number therefore send different numbers, and the engine can't accept both as current.
const fenceTagBits = 16

// nextFence returns a fencing number above the engine's current one.
func nextFence(current, incarnation uint64) uint64 {
	tag := incarnation & (1<<fenceTagBits - 1)
	return (current>>fenceTagBits+1)<<fenceTagBits | tag
}
