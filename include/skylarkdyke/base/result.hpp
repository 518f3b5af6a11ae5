#ifndef SKYLARKDYKE_BASE_RESULT_HPP
#define SKYLARKDYKE_BASE_RESULT_HPP

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

namespace skylarkdyke::base {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// \brief A value or a typed error. Access to the alternative that is not
/// present throws bad_result_access.
template <typename Value, typename Error>
using result = outcome::checked<Value, Error>;

} // namespace skylarkdyke::base

#endif
