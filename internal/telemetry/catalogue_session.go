package telemetry

import "go.uber.org/zap/zapcore"

// Events of the session service: 1400 to 1499.
var (
	EventSessionManaged    = define(1400, zapcore.InfoLevel, "back end attended as its primary")
	EventSessionDropped    = define(1401, zapcore.InfoLevel, "back end no longer attended")
	EventSessionStarted    = define(1402, zapcore.InfoLevel, "back end shows a new start id")
	EventSessionLapsed     = define(1403, zapcore.WarnLevel, "back end forgot its grants after a lapse")
	EventSessionLost       = define(1404, zapcore.WarnLevel, "back end lost")
	EventSessionRecovered  = define(1405, zapcore.InfoLevel, "lost back end answers again")
	EventSessionSuperseded = define(1406, zapcore.WarnLevel, "back end has accepted a higher term")
	EventSessionReleased   = define(1407, zapcore.InfoLevel, "partitions ready for release")
	EventSessionRevoke     = define(1408, zapcore.WarnLevel, "revocation failed")
	EventSessionGrant      = define(1409, zapcore.WarnLevel, "grant failed")
)
