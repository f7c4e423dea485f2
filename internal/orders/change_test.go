package orders

import "testing"

// Guards against an order that reads the weight store twice with one permit, and against an engine that never reaches
// the desired state because a change is missing.
func TestChangesReachDesiredState(t *testing.T) {
	desired := Desired{Model: "rose", Version: "2", Adapters: []string{"a", "b"}, Role: "serve"}
	cases := []struct {
		name  string
		start Status
		want  []Kind
	}{
		{"empty", Status{}, []Kind{LoadModel, LoadAdapter, LoadAdapter, SetRole}},
		{"other version", Status{Model: "rose", Version: "1", Adapters: []string{"b"}, Role: "serve"}, []Kind{SetVersion, LoadAdapter}},
		{"extra adapter", Status{Model: "rose", Version: "2", Adapters: []string{"a", "b", "c"}, Role: "serve"}, []Kind{LoadModel, LoadAdapter, LoadAdapter}},
		{"other role", Status{Model: "rose", Version: "2", Adapters: []string{"a", "b"}, Role: "prefill"}, []Kind{SetRole}},
	}
	for _, test := range cases {
		status := test.start
		for i, want := range test.want {
			change := desired.nextChange(status)
			if change.Kind != want {
				t.Errorf("%s: change %d is %+v, want %s", test.name, i, change, want)
			}
			status = applyChange(status, change)
		}
		if !desired.satisfiedBy(status) {
			t.Errorf("%s: ends with %+v", test.name, status)
		}
	}
}

func applyChange(s Status, change Change) Status {
	switch change.Kind {
	case LoadModel:
		s.Model, s.Version, s.Adapters = change.Model, change.Version, nil
	case SetVersion:
		s.Version = change.Version
	case LoadAdapter:
		s.Adapters = append(s.Adapters, change.Adapter)
	case SetRole:
		s.Role = change.Role
	}
	return s
}
