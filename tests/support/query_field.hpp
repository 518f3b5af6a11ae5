#ifndef SKYLARKDYKE_TESTS_SUPPORT_QUERY_FIELD_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_QUERY_FIELD_HPP

#include <string>

namespace test_support {

/// \brief Value of a field in the query of a request target, decoded as a form:
/// `&` ends a field, `#` ends the query, `+` is a blank, `%` starts an escape.
/// \return nothing if the query has no such field
std::string queryField(const std::string &Target, const std::string &Name);

} // namespace test_support

#endif
