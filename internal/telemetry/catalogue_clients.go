package telemetry

import "go.uber.org/zap/zapcore"

// Events of the clients of platform and back ends: 1800 to 1899.
var (
	EventPlatformUnavailable = define(1800, zapcore.WarnLevel, "platform unavailable")
	EventPlatformAvailable   = define(1801, zapcore.InfoLevel, "platform available again")
	EventRegistrationFailed  = define(1802, zapcore.WarnLevel, "registration in the instance list failed")
	EventAnswerMismatch      = define(1850, zapcore.ErrorLevel, "back end answered with another request's id")
	EventAnswerTruncated     = define(1851, zapcore.WarnLevel, "answer of a back end broke off")
)
