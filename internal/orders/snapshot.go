package orders

import (
	"maps"
	"slices"
)

// EngineStatus describes one engine for operators.
type EngineStatus struct {
	Target string `json:"target"`
	// Phase states what the gate is waiting for.
	Phase    string  `json:"phase"`
	Desired  Desired `json:"desired"`
	Reported Status  `json:"reported"`
	// Reconciled is true if the last report showed the desired state.
	Reconciled bool `json:"reconciled"`
	// Attempts counts the orders since the engine last made progress towards the desired state.
	Attempts int `json:"attempts"`
}

func (p phase) String() string {
	return [...]string{idle: "waiting", readingStatus: "reading", awaitingPermit: "permitting", awaitingOrder: "ordering"}[p]
}

// Engines returns the status of the owned engines that get orders, sorted by name.
func (m *Machine) Engines() []EngineStatus {
	list := []EngineStatus{}
	for _, name := range slices.Sorted(maps.Keys(m.engines)) {
		if e := m.engines[name]; e.managed {
			list = append(list, EngineStatus{
				Target:     name,
				Phase:      e.phase.String(),
				Desired:    e.desired,
				Reported:   e.status,
				Reconciled: e.reconciled,
				Attempts:   e.attempts,
			})
		}
	}
	return list
}
