package ggslog

import "slices"

// An Event is the value of a log line's key "event". docs/OPERATIONS.md describes
// each event and its keys.
type Event string

// The events of an edge.
const (
	EventAbandonedBroken    Event = "abandonedBroken"
	EventAcceptFailed       Event = "acceptFailed"
	EventAnswerBroken       Event = "answerBroken"
	EventAttemptFailed      Event = "attemptFailed"
	EventHalfOpenTry        Event = "halfOpenTry"
	EventHeartbeatFailed    Event = "beatFailed"
	EventHeartbeatRefused   Event = "beatRefused"
	EventHeartbeatUnencoded Event = "beatUnencoded"
	EventHeartbeatUnsent    Event = "beatUnsent"
	EventCallerLeft         Event = "callerLeft"
	EventClaimUnencoded     Event = "claimUnencoded"
	EventClientGaveWay      Event = "clientGaveWay"
	EventClientRefused      Event = "clientRefused"
	EventConfigAdopted      Event = "configAdopted"
	EventConfigRecorded     Event = "configRecorded"
	EventCrashesRead        Event = "crashesRead"
	EventCrashesUnstored    Event = "crashesUnstored"
	EventCrashesWithdrawn   Event = "crashesWithdrawn"
	EventDependencyLost     Event = "dependencyLost"
	EventDependencyRegained Event = "dependencyRegained"
	EventEndpointGone       Event = "endpointGone"
	EventEndpointLeaving    Event = "endpointLeaving"
	EventEndpointLimited    Event = "endpointLimited"
	EventEndpointRefused    Event = "endpointRefused"
	EventEndpointUnlimited  Event = "endpointUnlimited"
	EventEntryReadable      Event = "entryReadable"
	EventEntryUnreadable    Event = "entryUnreadable"
	EventListening          Event = "listening"
	EventLoadFailed         Event = "loadFailed"
	EventLogDropped         Event = "logDropped"
	EventLogSampled         Event = "logSampled"
	EventModelAssigned      Event = "modelAssigned"
	EventNewerEntriesRead   Event = "newerEntriesRead"
	EventOrderGiven         Event = "orderGiven"
	EventOrdersClaimed      Event = "ordersClaimed"
	EventOrdersReleased     Event = "ordersReleased"
	EventOrdersTakenOver    Event = "ordersTakenOver"
	EventOrdersUnrecorded   Event = "ordersUnrecorded"
	EventPartFailed         Event = "partFailed"
	EventPartUnread         Event = "partUnread"
	EventPathsChanged       Event = "pathsChanged"
	EventProcessStarted     Event = "processStarted"
	EventProcessUnconfirmed Event = "processUnconfirmed"
	EventReadFailed         Event = "readFailed"
	EventReadingDropped     Event = "readingDropped"
	EventRecordUnencoded    Event = "recordUnencoded"
	EventRecordUnreadable   Event = "recordUnreadable"
	EventReleaseUnencoded   Event = "releaseUnencoded"
	EventRequestEnded       Event = "requestEnded"
	EventPermitRefused      Event = "permitRefused"
	EventRequestSent        Event = "requestSent"
	EventRequestsCut        Event = "requestsCut"
	EventRereadFailed       Event = "rereadFailed"
	EventSeedAsked          Event = "seedAsked"
	EventServiceShedLimited Event = "serviceShedLimited"
	EventSettingsReread     Event = "settingsReread"
	EventStatusFailed       Event = "statusFailed"
	EventStopRequested      Event = "stopRequested"
	EventStoreEpochChanged  Event = "storeEraChanged"
	EventStoreEpochIgnored  Event = "storeEpochIgnored"
	EventStoreResynced      Event = "storeResynced"
	EventStreamNotResumed   Event = "streamNotResumed"
	EventSoftwareMixed      Event = "softwareMixed"
	EventOriginUnasked      Event = "originUnasked"
	EventOriginsRead        Event = "originsRead"
	EventOriginsUnstored    Event = "originsUnstored"
	EventRegisterFailed     Event = "registerFailed"
	EventRegisterWritten    Event = "registerWritten"
	EventPartQuarantined    Event = "partQuarantined"
	EventPartReleased       Event = "partReleased"
	EventRequestQuarantined Event = "requestQuarantined"
	EventRequestReleased    Event = "requestReleased"
	EventTunnelFailed       Event = "tunnelFailed"
	EventVersionAdopted     Event = "versionAdopted"
	EventWatchPreempted     Event = "watchPreempted"
)

// Events returns all events of an edge in alphabetical order.
func Events() []Event {
	l := []Event{
		EventAbandonedBroken, EventAcceptFailed, EventAnswerBroken, EventAttemptFailed, EventCallerLeft, EventClaimUnencoded,
		EventClientGaveWay, EventClientRefused, EventConfigAdopted,
		EventConfigRecorded, EventCrashesRead, EventCrashesUnstored, EventCrashesWithdrawn, EventDependencyLost, EventDependencyRegained, EventEndpointGone, EventEndpointLeaving,
		EventEndpointLimited, EventEndpointRefused, EventEndpointUnlimited, EventEntryReadable, EventEntryUnreadable,
		EventHalfOpenTry, EventHeartbeatFailed, EventHeartbeatRefused, EventHeartbeatUnencoded, EventHeartbeatUnsent, EventListening,
		EventLoadFailed, EventLogDropped, EventLogSampled, EventModelAssigned, EventNewerEntriesRead, EventOrderGiven,
		EventOrdersClaimed, EventOrdersReleased, EventOrdersTakenOver, EventOrdersUnrecorded, EventOriginUnasked, EventOriginsRead, EventOriginsUnstored, EventPartFailed, EventPartQuarantined,
		EventPartReleased, EventPartUnread, EventPathsChanged, EventProcessStarted, EventProcessUnconfirmed, EventReadFailed,
		EventReadingDropped, EventRegisterFailed, EventRegisterWritten, EventRecordUnencoded, EventRecordUnreadable, EventReleaseUnencoded, EventRequestEnded,
		EventRequestQuarantined, EventRequestReleased,
		EventPermitRefused, EventRequestSent, EventRequestsCut, EventRereadFailed, EventSeedAsked, EventServiceShedLimited,
		EventSettingsReread, EventSoftwareMixed, EventStatusFailed, EventStopRequested, EventStoreEpochChanged,
		EventStoreEpochIgnored, EventStoreResynced, EventStreamNotResumed, EventTunnelFailed, EventVersionAdopted,
		EventWatchPreempted,
	}
	slices.Sort(l)
	return l
}
