package telemetry

import "go.uber.org/zap/zapcore"

// Events of the control service: 1200 to 1299.
var (
	EventControlReadFailed       = define(1200, zapcore.WarnLevel, "control stream cannot be read")
	EventControlReadRecovered    = define(1201, zapcore.InfoLevel, "control stream can be read again")
	EventControlGap              = define(1202, zapcore.WarnLevel, "gap in the control stream, searching for a checkpoint")
	EventControlRestored         = define(1203, zapcore.InfoLevel, "ownership state restored from a checkpoint")
	EventControlStateFetched     = define(1204, zapcore.InfoLevel, "ownership state fetched from a peer")
	EventControlStateRefused     = define(1205, zapcore.WarnLevel, "checkpoint or state of a peer is unusable")
	EventControlUndecodable      = define(1206, zapcore.ErrorLevel, "control record cannot be decoded and is dropped")
	EventControlDropped          = define(1207, zapcore.InfoLevel, "own control record dropped in replay")
	EventControlAppendFailed     = define(1208, zapcore.WarnLevel, "append to the control stream failed, retrying")
	EventControlAppendRejected   = define(1209, zapcore.ErrorLevel, "platform rejected a control record")
	EventControlEncodeFailed     = define(1210, zapcore.ErrorLevel, "control record cannot be encoded")
	EventControlJoined           = define(1211, zapcore.InfoLevel, "instance joined the roster")
	EventControlLeft             = define(1212, zapcore.InfoLevel, "instance left the roster")
	EventControlLeaveTimeout     = define(1213, zapcore.WarnLevel, "instance stopping without having left the roster")
	EventControlMemberRemoved    = define(1214, zapcore.InfoLevel, "removing terminated members from the roster")
	EventControlZoneLost         = define(1215, zapcore.WarnLevel, "zone declared lost")
	EventControlZoneRecovered    = define(1216, zapcore.InfoLevel, "zone recovered")
	EventControlBackendLost      = define(1217, zapcore.WarnLevel, "backend lost, its partitions move")
	EventControlBackendRecovered = define(1218, zapcore.InfoLevel, "backend answers again")
	EventControlLapsedRelease    = define(1219, zapcore.WarnLevel, "partitions released after the wait for an unreachable owner")
	EventControlCheckpoint       = define(1220, zapcore.InfoLevel, "checkpoint written")
	EventControlListFailed       = define(1221, zapcore.WarnLevel, "instance list cannot be read")
	EventControlPartitionCount   = define(1222, zapcore.ErrorLevel, "number of partitions differs from the recorded number")
)
