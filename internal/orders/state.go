package orders

import (
	"slices"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// Desired is the state that the catalogue wants of an engine. An empty Version or Role leaves the engine's own.
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
	// Fence is the number of the last order that the engine took.
	Fence uint64 `json:"fence"`
	// Busy is true while the engine carries out an order.
	Busy bool `json:"busy"`
}

// DesiredOf returns the desired state of a model pool's target. The model has the name of the pool.
func DesiredOf(target *catalogue.Target) Desired {
	pool := target.Pool()
	return Desired{Model: pool.Name, Version: pool.Version, Adapters: pool.Adapters, Role: target.Role}
}

func (d Desired) equal(other Desired) bool {
	return d.Model == other.Model && d.Version == other.Version && d.Role == other.Role &&
		slices.Equal(d.Adapters, other.Adapters)
}

// satisfiedBy reports whether the engine has the desired state. Adapters compare as sets.
func (d Desired) satisfiedBy(s Status) bool {
	roleMet := d.Role == "" || d.Role == s.Role
	return d.modelSatisfiedBy(s) && roleMet && len(d.Adapters) == len(s.Adapters) && d.adaptersLoaded(s)
}

// needsWeights reports whether the engine has to read the weight store to reach the desired state.
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

// fenceTagBits is the part of a fencing number that identifies the sender. Two owners that read the same number
// then send different ones, and the engine can't take both as current.
const fenceTagBits = 16

// nextFence returns a number above the engine's present one.
func nextFence(present, incarnation uint64) uint64 {
	tag := incarnation & (1<<fenceTagBits - 1)
	return (present>>fenceTagBits+1)<<fenceTagBits | tag
}
