package telemetry

import "go.uber.org/zap/zapcore"

// Events of the configuration service: 1100 to 1199.
var (
	EventConfigChanged          = define(1100, zapcore.InfoLevel, "configuration version applied")
	EventConfigRefused          = define(1101, zapcore.WarnLevel, "configuration record refused")
	EventConfigGap              = define(1102, zapcore.WarnLevel, "records missing from the configuration stream")
	EventConfigRestored         = define(1103, zapcore.InfoLevel, "configuration restored from a checkpoint")
	EventConfigStateFetched     = define(1104, zapcore.InfoLevel, "configuration fetched from a peer")
	EventConfigStateRefused     = define(1105, zapcore.WarnLevel, "configuration of a peer is unusable")
	EventConfigReadFailed       = define(1106, zapcore.WarnLevel, "configuration stream cannot be read")
	EventConfigReadRecovered    = define(1107, zapcore.InfoLevel, "configuration stream can be read again")
	EventConfigLogShrunk        = define(1108, zapcore.ErrorLevel, "configuration stream ends before a record that was already read")
	EventConfigCheckpoint       = define(1109, zapcore.InfoLevel, "configuration checkpoint written")
	EventConfigCheckpointFailed = define(1110, zapcore.WarnLevel, "configuration checkpoint not written")
	EventConfigEncodeFailed     = define(1111, zapcore.ErrorLevel, "configuration state cannot be encoded")
)
