package telemetry

import "go.uber.org/zap/zapcore"

// Events of the HTTP servers for callers: 2300 to 2399.
var (
	EventRequestUnanswered = define(2300, zapcore.WarnLevel, "connection closed under a request without a complete answer")
	EventRequestLeft       = define(2301, zapcore.DebugLevel, "caller closed its connection before its request was answered")
	EventHandlerPanicked   = define(2302, zapcore.ErrorLevel, "handler of a request panicked")
	EventHTTPServerProblem = define(2303, zapcore.WarnLevel, "HTTP server reported a problem")
	EventPreparedDropped   = define(2304, zapcore.DebugLevel, "requests that had begun behind an unanswered one dropped")
	EventPreparedMismatch  = define(2305, zapcore.ErrorLevel, "prepared answer belongs to another request than the one that was read")
)
