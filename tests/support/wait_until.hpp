#ifndef SKYLARKDYKE_TESTS_SUPPORT_WAIT_UNTIL_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_WAIT_UNTIL_HPP

#include <chrono>
#include <functional>

namespace test_support {

/// \brief Waits until a condition holds. It is not asked for again once it
/// held. \return false at the timeout
bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::milliseconds Timeout);

/// \brief waitUntil() for what happens inside one process: 5 s.
bool eventually(const std::function<bool()> &Condition);

} // namespace test_support

#endif
