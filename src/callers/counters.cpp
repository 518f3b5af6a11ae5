#include "skylarkdyke/callers/counters.hpp"

namespace skylarkdyke::callers {

static constexpr std::array<const char *,
                            static_cast<std::size_t>(counter::Count)>
    Names = {
        "lookups",
        "lookups_refused",
        "requests",
        "requests_refused",
        "attempts",
        "retries",
        "retries_refused",
        "queue_full",
        "deadline_passed",
        "caller_gone",
        "cap_refused",
        "shift_refused",
        "shed",
        "connect_failed",
        "connection_limit",
        "answer_truncated",
        "answer_missing",
        "answer_malformed",
        "answer_too_large",
        "answer_of_other_request",
        "crashes",
        "crash_checks_dropped",
        "blocked",
        "key_repeated",
        "key_refused",
        "intent_refused",
        "owner_sealed",
        "relayed_to_owner",
        "relayed_to_dispatcher",
        "relay_failed",
        "relay_misdirected",
        "direct_sends",
};

const char *toString(counter Counter) {
  return Names[static_cast<std::size_t>(Counter)];
}

} // namespace skylarkdyke::callers
