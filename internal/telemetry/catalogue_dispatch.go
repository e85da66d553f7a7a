package telemetry

import "go.uber.org/zap/zapcore"

// Events of dispatch: 1500 to 1599.
var (
	EventBackendCold      = define(1500, zapcore.InfoLevel, "back end counts as cold, one request at a time")
	EventStragglerMarked  = define(1501, zapcore.WarnLevel, "back end slower than its peers")
	EventStragglerCleared = define(1502, zapcore.InfoLevel, "back end as fast as its peers again")
	EventRequestBlamed    = define(1503, zapcore.WarnLevel, "request blamed for a crash of a back end")
	EventCopyFailed       = define(1504, zapcore.WarnLevel, "no peer took the copy of an at-most-once request")
	EventCollected        = define(1505, zapcore.InfoLevel, "idempotency memory collected from peers")
	EventDrained          = define(1506, zapcore.InfoLevel, "partitions drained")
	EventPrimary          = define(1507, zapcore.InfoLevel, "sending to back end as its primary")
	EventRepaired         = define(1509, zapcore.InfoLevel, "complete copy of the idempotency memory given to a peer")
	EventRebalanced       = define(1520, zapcore.InfoLevel, "back end handed over to its preferred instance")
	EventStopIncomplete   = define(1508, zapcore.WarnLevel, "requests still running at the end of the stop")
)
