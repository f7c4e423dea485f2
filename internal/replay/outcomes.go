package replay

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
)

// Outcomes are the bounds that a run has to keep.
type Outcomes struct {
	Outcomes []Outcome `yaml:"outcomes"`
}

// Outcome bounds one figure of a Result. Measure and Above are paths into its JSON form, such as
// "measures.skew.worst" or "baselines.rendezvous.reuse.of_oracle". A count that is absent, such as a
// refusal reason that did not occur, is 0.
type Outcome struct {
	Measure string   `yaml:"measure"`
	Min     *float64 `yaml:"min,omitempty"`
	Max     *float64 `yaml:"max,omitempty"`
	// Above names a figure that the measure must exceed.
	Above string `yaml:"above,omitempty"`
	// Why says which goal the bound comes from.
	Why string `yaml:"why,omitempty"`
}

// Result is what a command prints: the measures of the run, and of baselines with equal traffic.
type Result struct {
	Trace     string               `json:"trace"`
	Seed      uint64               `json:"seed"`
	Policy    string               `json:"policy"`
	Measures  *Measures            `json:"measures"`
	Baselines map[string]*Measures `json:"baselines,omitempty"`
	// Missed lists the outcomes that were not kept.
	Missed []string `json:"missed"`
}

// ReadOutcomes reads and checks an outcomes file.
func ReadOutcomes(file string) (*Outcomes, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.BadParameter("outcomes: %v", err)
	}
	var outcomes Outcomes
	if err := yaml.UnmarshalWithOptions(document, &outcomes, yaml.Strict()); err != nil {
		return nil, trace.BadParameter("outcomes: %s", yaml.FormatError(err, false, false))
	}
	for i, outcome := range outcomes.Outcomes {
		if outcome.Min == nil && outcome.Max == nil && outcome.Above == "" {
			return nil, trace.BadParameter("outcomes[%d]: needs min, max or above", i)
		}
		if _, err := figure(&Result{Measures: &Measures{}}, outcome.Measure); err != nil {
			return nil, trace.BadParameter("outcomes[%d].measure: %v", i, err)
		}
	}
	return &outcomes, nil
}

// Check fills in the outcomes that the result misses. An error means that a path names no figure.
func (o *Outcomes) Check(result *Result) error {
	result.Missed = []string{}
	for i, outcome := range o.Outcomes {
		missed, err := outcome.check(result)
		if err != nil {
			return trace.BadParameter("outcomes[%d]: %v", i, err)
		}
		result.Missed = append(result.Missed, missed...)
	}
	return nil
}

func (o *Outcome) check(result *Result) (missed []string, err error) {
	value, err := figure(result, o.Measure)
	if err != nil {
		return nil, err
	}
	if o.Min != nil && value < *o.Min {
		missed = append(missed, fmt.Sprintf("%s is %v, below the minimum of %v", o.Measure, value, *o.Min))
	}
	if o.Max != nil && value > *o.Max {
		missed = append(missed, fmt.Sprintf("%s is %v, above the maximum of %v", o.Measure, value, *o.Max))
	}
	if o.Above == "" {
		return missed, nil
	}
	other, err := figure(result, o.Above)
	if err == nil && value <= other {
		missed = append(missed, fmt.Sprintf("%s is %v, not above %s of %v", o.Measure, value, o.Above, other))
	}
	return missed, err
}

// figure finds a number in the JSON form of a result.
func figure(result *Result, path string) (float64, error) {
	encoded, err := json.Marshal(result)
	if err != nil {
		return 0, err
	}
	var value any
	if err := json.Unmarshal(encoded, &value); err != nil {
		return 0, err
	}
	names := strings.Split(path, ".")
	for i, name := range names {
		object, _ := value.(map[string]any)
		found := false
		if value, found = object[name]; !found {
			if i > 0 && isCount(names[i-1]) {
				return 0, nil
			}
			return 0, fmt.Errorf("%q names no figure: %q is unknown", path, name)
		}
	}
	number, ok := value.(float64)
	if !ok {
		return 0, fmt.Errorf("%q is not a number", path)
	}
	return number, nil
}

// isCount reports whether a name is an object whose absent members count as 0.
func isCount(name string) bool { return name == "refusals" || name == "failures" }
