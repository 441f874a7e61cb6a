// Package duration gives JSON documents a time span that is written with its
// unit, such as "250ms", so that no field needs a unit in its name.
package duration

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

type (
	// Duration is a time.Duration that JSON documents write as text with a
	// unit. The zero value is a span of zero length.
	Duration time.Duration
)

// Of converts a time.Duration.
func Of(span time.Duration) Duration {
	return Duration(span)
}

// Std returns the span as a time.Duration.
func (duration Duration) Std() time.Duration {
	return time.Duration(duration)
}

// String returns the span in the form that JSON documents use.
func (duration Duration) String() string {
	return time.Duration(duration).String()
}

// MarshalJSON writes the span as text with its unit.
func (duration Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(duration.String())
}

// UnmarshalJSON reads text with a unit; a bare number is refused because its
// unit would be a guess.
func (duration *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`a duration is text with a unit; write it like "250ms" or "5s"`)
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf(`%q is not a duration; write it like "250ms" or "5s"`, text)
	}
	*duration = Duration(span)
	return nil
}
