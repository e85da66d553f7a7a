package telemetry

import "go.uber.org/zap/zapcore"

// Events of the admin service: 2000 to 2099.
var (
	EventAdminListening = define(2000, zapcore.InfoLevel, "admin listener open")
	EventAdminFailed    = define(2001, zapcore.ErrorLevel, "admin listener failed")
)
