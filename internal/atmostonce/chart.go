package atmostonce

import (
	"embed"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
)

//go:embed charts/*.yaml
var chartFiles embed.FS

type transition struct {
	To string   `yaml:"to"`
	Do []string `yaml:"do"`
}

type chartState struct {
	On map[string]transition `yaml:"on"`
}

type chart struct {
	Name    string                `yaml:"name"`
	Initial string                `yaml:"initial"`
	States  map[string]chartState `yaml:"states"`
}

// vocabulary is what the code of a machine can feed and perform.
type vocabulary struct {
	states  []string
	events  []string
	actions []string
}

// ChartError says that a chart does not fit the code that interprets it.
type ChartError struct {
	Chart   string
	Problem string
}

// Error implements error.
func (e *ChartError) Error() string {
	return fmt.Sprintf("chart %s: %s", e.Chart, e.Problem)
}

// mustChart loads an embedded chart; a chart that does not fit the code stops the process at start.
func mustChart(name string, words vocabulary) *chart {
	data, err := chartFiles.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		panic(err)
	}
	loaded, err := parseChart(data, words)
	if err != nil {
		panic(err)
	}
	return loaded
}

func parseChart(data []byte, words vocabulary) (*chart, error) {
	loaded := &chart{}
	if err := yaml.UnmarshalWithOptions(data, loaded, yaml.Strict()); err != nil {
		return nil, &ChartError{Chart: loaded.Name, Problem: err.Error()}
	}
	if err := loaded.validate(words); err != nil {
		return nil, err
	}
	return loaded, nil
}

func (c *chart) validate(words vocabulary) error {
	if err := c.known("state", c.Initial, words.states); err != nil {
		return err
	}
	for _, state := range words.states {
		if _, ok := c.States[state]; !ok {
			return &ChartError{Chart: c.Name, Problem: fmt.Sprintf("state %q is missing", state)}
		}
	}
	for name, state := range c.States {
		if err := c.validateState(name, state, words); err != nil {
			return err
		}
	}
	return nil
}

func (c *chart) validateState(name string, state chartState, words vocabulary) error {
	if err := c.known("state", name, words.states); err != nil {
		return err
	}
	for event, next := range state.On {
		if err := c.known("event", event, words.events); err != nil {
			return err
		}
		if err := c.known("state", next.To, words.states); err != nil {
			return err
		}
		for _, action := range next.Do {
			if err := c.known("action", action, words.actions); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *chart) known(kind, name string, names []string) error {
	if slices.Contains(names, name) {
		return nil
	}
	return &ChartError{Chart: c.Name, Problem: fmt.Sprintf("unknown %s %q", kind, name)}
}

// next returns the transition for an event; an event that a state does not name is ignored.
func (c *chart) next(state, event string) (transition, bool) {
	found, ok := c.States[state].On[event]
	return found, ok
}
