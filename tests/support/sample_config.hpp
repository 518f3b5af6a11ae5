#ifndef SKYLARKDYKE_TESTS_SUPPORT_SAMPLE_CONFIG_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_SAMPLE_CONFIG_HPP

#include "skylarkdyke/config/document.hpp"

namespace test_support {

/// \brief A valid document at version 7: two regions with two domains each,
/// linked both ways, and one service with one target of 4 slots in each domain.
skylarkdyke::config::document sampleConfig();

} // namespace test_support

#endif
