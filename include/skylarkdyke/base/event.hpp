#ifndef SKYLARKDYKE_BASE_EVENT_HPP
#define SKYLARKDYKE_BASE_EVENT_HPP

#include <glog/logging.h>

namespace skylarkdyke::base {

/// \brief Numbered log events. docs/events.md describes each event; a unit test
/// checks that both lists are the same. Numbers are never reused.
enum class event : int {
  // 100: lifecycle
  EntryStarted = 100,
  EntryReady = 101,
  EntryLeaving = 102,
  EntryStopped = 103,
  SettingsReloaded = 104,
  SettingsRefused = 105,
  // 200: configuration
  ConfigInstalled = 200,
  ConfigStaleIgnored = 201,
  ConfigInvalid = 202,
  ConfigConflictingContent = 203,
  ConfigSubmitted = 204,
  ConfigSubmitConflict = 205,
  ConfigSubmitUnknown = 206,
  RouteKindUnknown = 207,
  // 300: store
  StoreUnavailable = 300,
  StoreAvailable = 301,
  SeatClaimed = 302,
  SeatLost = 303,
  SeatReleased = 304,
  SeatExpired = 305,
  SeatReleaseConfirmed = 306,
  PlatformUnavailable = 310,
  PlatformAvailable = 311,
  StoreItemUnusable = 312,
  StoreHistoryLost = 313,
  StoreListed = 314,
  StoreListingDropped = 315,
  StoreRestored = 316,
  StateRestored = 317,
  HeldChangeApplied = 318,
  RegistrationWritten = 319,
  // 400: mesh between entries
  MeshStarted = 400,
  MeshStopped = 401,
  MeshListenFailed = 402,
  MemberJoined = 403,
  MemberUnreachable = 404,
  MemberReachable = 405,
  MemberForgotten = 406,
  MemberIncarnationChanged = 407,
  PeerRefused = 408,
  PeerMessageRefused = 409,
  PeerTooSlow = 410,
  PeerSilent = 411,
  MeshHandlerFailed = 412,
  PeerConfigInstalled = 413,
  PeerConfigRefused = 414,
  // 500: callers and targets
  TargetCrashed = 500,
  RequestBlocked = 501,
  AnswerOfOtherRequest = 502,
  IncarnationSealed = 503,
  OwnerSealed = 504,
  RequestEnded = 505,
  SendFailed = 506,
  ResponseLost = 507,
  RequestUnreadable = 508,
  ResponseBroken = 509,
  TargetLeaving = 510,
  TargetPauses = 511,
  RetryAfterUnusual = 512,
  CrashSuspected = 513,
  BlockEnded = 514,
  BlockedRequestRefused = 515,
  TargetCold = 516,
  ColdSend = 517,
  ColdNewsLate = 518,
  ObjectsMoved = 540,

  // 600: operators
  OperatorDenied = 600,
  ChangeAccepted = 601,
  ChangeRefused = 602,
  ChangeConflict = 603,
  ChangeUnknown = 604,
  ChangeUnavailable = 605,
  BlockReleased = 606,
  SeatConfirmed = 607,
  FormRejected = 608,
};

/// \brief Returns the number of an event as written to the log.
constexpr int number(event Event) { return static_cast<int>(Event); }

} // namespace skylarkdyke::base

/// Logs an event at a glog severity (INFO, WARNING, ERROR) with its number.
#define SKYLARKDYKE_LOG(SEVERITY, EVENT)                                       \
  LOG(SEVERITY) << 'E'                                                         \
                << ::skylarkdyke::base::number(                                \
                       ::skylarkdyke::base::event::EVENT)                      \
                << ' ' << #EVENT << ' '

#endif
