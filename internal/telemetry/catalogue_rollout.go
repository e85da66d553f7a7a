package telemetry

import "go.uber.org/zap/zapcore"

// Events of rollouts.
var (
	EventRolloutOrdered        = define(2400, zapcore.InfoLevel, "order for a rollout seen")
	EventRolloutPhase          = define(2401, zapcore.InfoLevel, "rollout has entered a phase")
	EventRolloutTripped        = define(2402, zapcore.WarnLevel, "new version found bad by this instance's own requests")
	EventRolloutWithdrawn      = define(2403, zapcore.InfoLevel, "order for a rollout withdrawn or replaced")
	EventRolloutStatusWritten  = define(2404, zapcore.InfoLevel, "status of a rollout written")
	EventRolloutStatusFailed   = define(2405, zapcore.WarnLevel, "status of a rollout not written")
	EventRolloutsWriteFailed   = define(2406, zapcore.WarnLevel, "document of rollouts not written")
	EventRolloutsReadFailed    = define(2407, zapcore.WarnLevel, "document of rollouts not read")
	EventRolloutsUnreadable    = define(2408, zapcore.ErrorLevel, "document of rollouts cannot be decoded")
	EventRolloutDropped        = define(2409, zapcore.InfoLevel, "rollout dropped")
	EventRolloutOldGone        = define(2410, zapcore.WarnLevel, "new version serves all requests of a rollout, there is no backend of the old one")
	EventRolloutStale          = define(2411, zapcore.WarnLevel, "state of a rollout not confirmed, the new version gets no requests")
	EventRolloutFresh          = define(2412, zapcore.InfoLevel, "state of a rollout confirmed again")
	EventRolloutCoordinator    = define(2413, zapcore.InfoLevel, "coordinating a rollout")
	EventRolloutNotCoordinator = define(2414, zapcore.InfoLevel, "no longer coordinating a rollout")
	EventRolloutTripLifted     = define(2419, zapcore.InfoLevel, "new version gets requests of this instance again, the coordinator keeps to it")
)
