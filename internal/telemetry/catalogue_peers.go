package telemetry

import "go.uber.org/zap/zapcore"

// Events of calls between instances: 1700 to 1799.
var (
	EventPeerListening = define(1700, zapcore.InfoLevel, "peer listener open")
	EventPeerFailed    = define(1701, zapcore.ErrorLevel, "peer listener failed")
	EventPeerCallError = define(1702, zapcore.DebugLevel, "call from another instance failed")
	EventPeerStopped   = define(1703, zapcore.InfoLevel, "peer listener closed in a planned stop")
	EventForwardsCut   = define(1704, zapcore.WarnLevel, "requests of other instances cut in a planned stop")
)
