package telemetry

import "go.uber.org/zap/zapcore"

// Events of the leases: 1300 to 1399.
var (
	EventLeaseGained        = define(1300, zapcore.InfoLevel, "lease gained")
	EventLeaseLost          = define(1301, zapcore.InfoLevel, "lease lost or released")
	EventZoneUnresponsive   = define(1302, zapcore.WarnLevel, "zone silent, claiming its authority")
	EventZoneReachable      = define(1303, zapcore.InfoLevel, "silent zone heard again")
	EventRosterAcknowledged = define(1304, zapcore.InfoLevel, "majority of the lease group reported the roster version")
	EventPeerMismatch       = define(1305, zapcore.WarnLevel, "heartbeat answered by another instance than the one addressed")
	EventLeasesStopped      = define(1306, zapcore.InfoLevel, "all leases released for a planned stop")
	EventHeartbeatSkipped   = define(1307, zapcore.DebugLevel, "heartbeat skipped, earlier ones are unanswered")
)
