package telemetry

import "go.uber.org/zap/zapcore"

// Events of the clients of the platform and the backends: 1800 to 1899.
var (
	EventPlatformUnavailable = define(1800, zapcore.WarnLevel, "platform unavailable")
	EventPlatformAvailable   = define(1801, zapcore.InfoLevel, "platform available again")
	EventRegistrationFailed  = define(1802, zapcore.WarnLevel, "registration in the instance list failed")
	EventAnswerMismatch      = define(1850, zapcore.ErrorLevel, "backend answered with the id of another request")
	EventAnswerTruncated     = define(1851, zapcore.WarnLevel, "answer of a backend truncated")
)
