#ifndef SKYLARKDYKE_TESTS_SUPPORT_FREE_PORT_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_FREE_PORT_HPP

#include <cstdint>

namespace test_support {

/// \brief A TCP port on 127.0.0.1 that is free now and that this process has
/// not handed out before.
std::uint16_t freePort();

} // namespace test_support

#endif
