package telemetry

import "go.uber.org/zap/zapcore"

// Events of the gateway service: 1600 to 1699.
var (
	EventListening             = define(1600, zapcore.InfoLevel, "listener open")
	EventListenerFailed        = define(1601, zapcore.ErrorLevel, "listener failed")
	EventRequestRefused        = define(1602, zapcore.DebugLevel, "request refused")
	EventRequestUnknown        = define(1603, zapcore.InfoLevel, "outcome of a request unknown")
	EventCallerAnswerTruncated = define(1604, zapcore.WarnLevel, "answer truncated, closing the caller's connection")
	EventGatewayDrained        = define(1605, zapcore.InfoLevel, "gateway stopped, all requests finished")
	EventGatewayDrainTimeout   = define(1606, zapcore.ErrorLevel, "drain timeout exceeded, running requests aborted")
)
