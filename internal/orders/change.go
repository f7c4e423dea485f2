package orders

import "slices"

// Kind is the kind of a change, in the terms of the engine API.
type Kind string

// Kinds of changes.
const (
	LoadModel   Kind = "load_model"
	SetVersion  Kind = "set_version"
	LoadAdapter Kind = "load_adapter"
	SetRole     Kind = "set_role"
)

// Change is the single change that an order makes at an engine. It reads the weight store at most once, so that one
// permit covers it; an engine that needs several changes gets several orders.
type Change struct {
	Kind    Kind
	Model   string
	Version string
	Adapter string
	Role    string
}

// nextChange returns the first change needed to get from the reported state to the desired one. Engines have no order
// that unloads an adapter, so the model is reloaded if the engine has an adapter that is not desired.
func (d Desired) nextChange(s Status) Change {
	version := d.Version
	if version == "" && d.Model == s.Model {
		version = s.Version
	}
	switch {
	case d.Model != s.Model || d.hasExtraAdapter(s):
		return Change{Kind: LoadModel, Model: d.Model, Version: version}
	case version != s.Version:
		return Change{Kind: SetVersion, Version: version}
	}
	for _, adapter := range d.Adapters {
		if !slices.Contains(s.Adapters, adapter) {
			return Change{Kind: LoadAdapter, Adapter: adapter}
		}
	}
	return Change{Kind: SetRole, Role: d.Role}
}

func (d Desired) hasExtraAdapter(s Status) bool {
	return slices.ContainsFunc(s.Adapters, func(adapter string) bool { return !slices.Contains(d.Adapters, adapter) })
}
