package telemetry

import "go.uber.org/zap/zapcore"

// Events of the session service: 1400 to 1499.
var (
	EventSessionManaged    = define(1400, zapcore.InfoLevel, "managing backend as its primary")
	EventSessionDropped    = define(1401, zapcore.InfoLevel, "backend no longer managed")
	EventSessionStarted    = define(1402, zapcore.InfoLevel, "backend reported a new start id")
	EventSessionLapsed     = define(1403, zapcore.WarnLevel, "backend dropped its grants after a lapse")
	EventSessionLost       = define(1404, zapcore.WarnLevel, "backend lost")
	EventSessionRecovered  = define(1405, zapcore.InfoLevel, "lost backend answers again")
	EventSessionSuperseded = define(1406, zapcore.WarnLevel, "backend has accepted a higher term")
	EventSessionReleased   = define(1407, zapcore.InfoLevel, "partitions ready for release")
	EventSessionRevoke     = define(1408, zapcore.WarnLevel, "revocation failed")
	EventSessionGrant      = define(1409, zapcore.WarnLevel, "grant failed")
)
