package telemetry

import "go.uber.org/zap/zapcore"

// Events of store-based instances, which reach backends directly: 2100 to 2299, and 2420 to 2429.
var (
	EventConfigApplied         = define(2100, zapcore.InfoLevel, "configuration in force")
	EventConfigUnusable        = define(2101, zapcore.WarnLevel, "configuration refused, the previous one stays effective")
	EventBackendListed         = define(2102, zapcore.InfoLevel, "backend listed")
	EventBackendRemoved        = define(2103, zapcore.InfoLevel, "backend no longer listed")
	EventBackendEntryStale     = define(2104, zapcore.InfoLevel, "backend record contradicts the known process, not applied yet")
	EventZonesEvacuated        = define(2105, zapcore.InfoLevel, "evacuated zones changed")
	EventStoreEntryUnreadable  = define(2106, zapcore.WarnLevel, "entry in the store cannot be read and is ignored")
	EventStoreUpdateUnreadable = define(2107, zapcore.WarnLevel, "store update relayed by another instance cannot be decoded, reading the store")
	EventRouteKindUnknown      = define(2108, zapcore.WarnLevel, "kind of a route unknown, its requests run at most once")
	EventBackendLeaving        = define(2109, zapcore.InfoLevel, "backend reported in an answer that it is leaving")
	EventStoreUnavailable      = define(2110, zapcore.WarnLevel, "store cannot be reached")
	EventStoreRecovered        = define(2111, zapcore.InfoLevel, "store reachable again")
	EventHistoryLost           = define(2112, zapcore.InfoLevel, "history of the store no longer available, reading the newest entries")

	EventBackendRefusedConnection = define(2113, zapcore.InfoLevel, "backend refused a connection, the process that answers next counts as cold")

	EventZoneReaderOutdated = define(2116, zapcore.InfoLevel, "zone reader has not confirmed the configuration for too long, reading the store")

	EventBackendUnconfigured = define(2115, zapcore.WarnLevel, "backend record names a service that is not configured and is ignored")

	EventWarmupCheckFailed = define(2114, zapcore.InfoLevel, "backend did not answer a check of its warm-up and counts as cold")

	EventLimitHalved   = define(2420, zapcore.InfoLevel, "limit of a backend fell to half of its slots or less")
	EventLimitRestored = define(2421, zapcore.InfoLevel, "limit of a backend is at its slots again")

	EventCoordinatorClaim  = define(2120, zapcore.InfoLevel, "claiming the coordinator role for key ranges")
	EventCoordinatorGained = define(2121, zapcore.InfoLevel, "coordinating key ranges")
	EventCoordinatorLost   = define(2122, zapcore.InfoLevel, "no longer coordinating key ranges")
	EventTableWritten      = define(2123, zapcore.InfoLevel, "table of key ranges written")
	EventTableFailed       = define(2124, zapcore.WarnLevel, "table of key ranges not written")
	EventTableRead         = define(2125, zapcore.InfoLevel, "newer table of key ranges read")
	EventTableUnreadable   = define(2126, zapcore.ErrorLevel, "table of key ranges cannot be read")
	EventCommandFailed     = define(2127, zapcore.InfoLevel, "command to a backend failed")
	EventRangeGranted      = define(2128, zapcore.InfoLevel, "range granted to its owner")
	EventRenewalsPaused    = define(2129, zapcore.WarnLevel, "renewals paused, the table has not been confirmed for too long")
	EventGrantTTLChanged   = define(2130, zapcore.InfoLevel, "TTL of the next grants changed")
	EventBackendTerminated = define(2131, zapcore.InfoLevel, "backend process counts as terminated")
	EventAddressAnswered   = define(2132, zapcore.InfoLevel, "address that was asked for the backend that runs there has answered")
	EventAddressUnanswered = define(2133, zapcore.InfoLevel, "address that was asked for the backend that runs there has not answered")

	EventMemberReachable    = define(2140, zapcore.InfoLevel, "instance reachable")
	EventMemberUnresponsive = define(2141, zapcore.InfoLevel, "instance unresponsive")
	EventMemberRemoved      = define(2142, zapcore.InfoLevel, "instance removed from the peers")
	EventMembersRead        = define(2143, zapcore.InfoLevel, "instances read from the store")
	EventMemberFailed       = define(2144, zapcore.WarnLevel, "instances cannot be read from or written to the store")
	EventBadHeartbeat       = define(2145, zapcore.WarnLevel, "heartbeat cannot be decoded")

	EventCallAnswered         = define(2160, zapcore.InfoLevel, "call answered")
	EventCallNotRun           = define(2161, zapcore.InfoLevel, "call not run")
	EventCallUnknown          = define(2162, zapcore.InfoLevel, "outcome of a call unknown")
	EventCallAttempt          = define(2163, zapcore.InfoLevel, "attempt of a call did not succeed")
	EventCallBlamed           = define(2164, zapcore.WarnLevel, "call blamed for the crash of a backend")
	EventFrontendListening    = define(2170, zapcore.InfoLevel, "frontend listener open")
	EventFrontendFailed       = define(2171, zapcore.ErrorLevel, "frontend listener failed")
	EventFrontendDraining     = define(2172, zapcore.InfoLevel, "frontend draining, reporting not ready")
	EventFrontendStopped      = define(2173, zapcore.InfoLevel, "frontend stopped")
	EventCallTooLate          = define(2175, zapcore.InfoLevel, "call refused, it may outlast the planned stop")
	EventCallWithoutMemory    = define(2176, zapcore.WarnLevel, "call refused, the bodies of other requests use up their memory")
	EventReadiness            = define(2174, zapcore.InfoLevel, "readiness changed")
	EventSettingsRead         = define(2180, zapcore.InfoLevel, "settings read")
	EventSettingsRejected     = define(2181, zapcore.WarnLevel, "changed settings cannot be read, the previous settings stay in effect")
	EventRolloutOrderUnusable = define(2415, zapcore.WarnLevel, "rollout order in the store cannot be used and is ignored")
	EventVersionHeldBack      = define(2416, zapcore.InfoLevel, "backends of a new version get no requests yet, since a rollout may have been ordered")

	EventLinesDropped = define(2190, zapcore.WarnLevel, "log lines dropped")
)

// Events of returns of the store from an older copy: 2430 to 2439.
var (
	EventStoreEra       = define(2430, zapcore.WarnLevel, "store is in a later era, writes that it had acknowledged may be lost")
	EventEraRead        = define(2431, zapcore.InfoLevel, "newest records read again in a later era of the store")
	EventTableKept      = define(2432, zapcore.InfoLevel, "table of key ranges kept, the one in the store is older")
	EventTableRestored  = define(2433, zapcore.InfoLevel, "table of key ranges written again in a later era of the store")
	EventTableRecovered = define(2434, zapcore.WarnLevel, "key ranges are assigned again, the newest table is not known")
	EventBackendsFenced = define(2435, zapcore.InfoLevel, "no grant of an earlier era of the store is valid any more")
)
