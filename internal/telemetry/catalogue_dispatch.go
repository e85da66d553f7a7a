package telemetry

import "go.uber.org/zap/zapcore"

// Events of the dispatch service: 1500 to 1599.
var (
	EventBackendCold      = define(1500, zapcore.InfoLevel, "backend treated as cold, one request at a time")
	EventStragglerMarked  = define(1501, zapcore.WarnLevel, "backend slower than its peers")
	EventStragglerCleared = define(1502, zapcore.InfoLevel, "backend as fast as its peers again")
	EventRequestBlamed    = define(1503, zapcore.WarnLevel, "request blamed for the crash of a backend")
	EventCopyFailed       = define(1504, zapcore.WarnLevel, "no peer stored the copy of an at-most-once request")
	EventCollected        = define(1505, zapcore.InfoLevel, "idempotency memory collected from peers")
	EventDrained          = define(1506, zapcore.InfoLevel, "partitions drained")
	EventPrimary          = define(1507, zapcore.InfoLevel, "sending to backend as its primary")
	EventRepaired         = define(1509, zapcore.InfoLevel, "complete copy of the idempotency memory sent to a peer")
	EventRebalanced       = define(1520, zapcore.InfoLevel, "backend handed over to its preferred instance")
	EventStopIncomplete   = define(1508, zapcore.WarnLevel, "requests still running at the end of the shutdown")
)
