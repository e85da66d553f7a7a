package telemetry

import "go.uber.org/zap/zapcore"

// Events of the process and the kernel: 1000 to 1099.
var (
	EventStarting           = define(1000, zapcore.InfoLevel, "instance starting")
	EventStarted            = define(1001, zapcore.InfoLevel, "instance started")
	EventStopping           = define(1002, zapcore.InfoLevel, "instance stopping")
	EventStopped            = define(1003, zapcore.InfoLevel, "instance stopped")
	EventInvariantViolated  = define(1004, zapcore.FatalLevel, "invariant violated, process exits")
	EventStartFailed        = define(1005, zapcore.ErrorLevel, "instance failed to start")
	EventTerminationIgnored = define(1006, zapcore.InfoLevel, "SIGTERM during the planned stop has no effect")
	EventInterrupted        = define(1007, zapcore.WarnLevel, "second SIGINT, process exits at once")
	EventHangupIgnored      = define(1008, zapcore.InfoLevel, "SIGHUP has no effect, settings are read at the start only")
	EventSpan               = define(1010, zapcore.InfoLevel, "span ended")
)
