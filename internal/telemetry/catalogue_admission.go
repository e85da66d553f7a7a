package telemetry

import "go.uber.org/zap/zapcore"

// Events of the admission service: 1900 to 1999.
var (
	EventTokenServerGained      = define(1900, zapcore.InfoLevel, "token server role gained")
	EventTokenServerLost        = define(1901, zapcore.InfoLevel, "token server role lost")
	EventTokenServerUnreachable = define(1902, zapcore.WarnLevel, "no token server of the zone can be reached")
	EventTokenServerReachable   = define(1903, zapcore.InfoLevel, "token server of the zone can be reached again")
)
