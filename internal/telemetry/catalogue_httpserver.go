package telemetry

import "go.uber.org/zap/zapcore"

// Events of the HTTP servers for callers: 2300 to 2399.
var (
	EventRequestUnanswered = define(2300, zapcore.WarnLevel, "connection closed under a request without a complete answer")
	EventRequestLeft       = define(2301, zapcore.DebugLevel, "caller closed its connection before its request was answered")
	EventHandlerPanicked   = define(2302, zapcore.ErrorLevel, "handler of a request panicked")
	EventHTTPServerProblem = define(2303, zapcore.WarnLevel, "HTTP server reported a problem")
	EventPreparedLeft      = define(2304, zapcore.DebugLevel, "caller closed its connection while requests behind the current one were being served")
	EventPreparedDropped   = define(2305, zapcore.InfoLevel, "connection closed before the answers of requests that were served behind the current one")
	EventPreparedMismatch  = define(2306, zapcore.ErrorLevel, "prepared answer belongs to another request than the one that was read")
)
