// Package telemetry holds the numbered log events, the metrics registry and the trace provider.
package telemetry

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log line with a number that never changes. docs/events.md lists all of them.
type Event struct {
	Number int
	Level  zapcore.Level
	Text   string
}

// catalogue holds every defined event by number.
var catalogue = map[int]Event{}

// define adds an event to the catalogue. Numbers are unique; a second use is a programming error.
func define(number int, level zapcore.Level, text string) Event {
	if _, ok := catalogue[number]; ok {
		panic("duplicate event number")
	}
	e := Event{Number: number, Level: level, Text: text}
	catalogue[number] = e
	return e
}

// Catalogue returns all events by number.
func Catalogue() map[int]Event { return catalogue }

// Log writes an event. Fields must not carry customer keys.
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	if entry := logger.Check(e.Level, e.Text); entry != nil {
		entry.Write(append(fields, zap.Int("event", e.Number))...)
	}
}
