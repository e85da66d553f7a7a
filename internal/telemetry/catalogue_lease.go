package telemetry

import "go.uber.org/zap/zapcore"

// Events of the lease service: 1300 to 1399.
var (
	EventLeaseGained        = define(1300, zapcore.InfoLevel, "lease gained")
	EventLeaseLost          = define(1301, zapcore.InfoLevel, "lease lost or released")
	EventZoneUnresponsive   = define(1302, zapcore.WarnLevel, "zone unresponsive, claiming its authority")
	EventZoneReachable      = define(1303, zapcore.InfoLevel, "unresponsive zone reachable again")
	EventRosterAcknowledged = define(1304, zapcore.InfoLevel, "majority of the lease group acknowledged the roster version")
	EventPeerMismatch       = define(1305, zapcore.WarnLevel, "heartbeat answered by an instance other than the one addressed")
	EventLeasesStopped      = define(1306, zapcore.InfoLevel, "all leases released for a planned stop")
	EventHeartbeatSkipped   = define(1307, zapcore.DebugLevel, "heartbeat skipped, earlier heartbeats are still unanswered")
)
