package catalogue

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded with its unit, such as "2s".
type Duration time.Duration

// parseDuration accepts only durations with a unit.
func parseDuration(text string) (Duration, error) {
	value, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return 0, fmt.Errorf("%q is not a duration with a unit, such as 2s", text)
	}
	return Duration(value), nil
}

func (d Duration) String() string { return time.Duration(d).String() }

// MarshalYAML encodes the duration with its unit.
func (d Duration) MarshalYAML() (any, error) {
	return d.String(), nil
}

// MarshalJSON encodes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON accepts only durations with a unit.
func (d *Duration) UnmarshalJSON(document []byte) error {
	var text string
	if err := json.Unmarshal(document, &text); err != nil {
		return err
	}
	value, err := parseDuration(text)
	*d = value
	return err
}

// UnmarshalYAML accepts only durations with a unit.
func (d *Duration) UnmarshalYAML(unmarshal func(any) error) error {
	var text string
	if err := unmarshal(&text); err != nil {
		return err
	}
	value, err := parseDuration(text)
	*d = value
	return err
}
