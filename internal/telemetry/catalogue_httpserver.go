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

	EventCallerLimits            = define(2310, zapcore.InfoLevel, "limits for callers in force")
	EventConnectionRefused       = define(2311, zapcore.WarnLevel, "caller's connection refused, since connections or memory are used up")
	EventConnectionClosedForRoom = define(2312, zapcore.WarnLevel, "caller's connection without progress closed to make room for others")
	EventHeadTooLarge            = define(2313, zapcore.WarnLevel, "head of a request refused, since it has too many bytes or fields")
	EventHeadTooSlow             = define(2314, zapcore.WarnLevel, "connection closed, since the head of a request was not complete in time")
	EventBodyTooSlow             = define(2315, zapcore.WarnLevel, "body of a request not read further, since it arrives too slowly")
	EventAnswerNotTaken          = define(2316, zapcore.WarnLevel, "connection closed, since the caller does not take its answer")
	EventRequestWithoutMemory    = define(2317, zapcore.WarnLevel, "request not run, since there is no memory for it")
)
