#ifndef SKYLARKDYKE_BASE_OVERLOADED_HPP
#define SKYLARKDYKE_BASE_OVERLOADED_HPP

namespace skylarkdyke::base {

/// \brief Combines several lambdas into one visitor for std::visit.
template <class... Cases> struct overloaded : Cases... {
  using Cases::operator()...;
};
template <class... Cases> overloaded(Cases...) -> overloaded<Cases...>;

} // namespace skylarkdyke::base

#endif
