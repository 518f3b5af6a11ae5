#ifndef SKYLARKDYKE_BASE_NAMES_HPP
#define SKYLARKDYKE_BASE_NAMES_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace skylarkdyke::base {

/// \brief A name with a separate type for each kind of named item, so that for
/// example a region name cannot be passed as a service name.
template <typename Tag> class strong_name {
public:
  strong_name() = default;
  explicit strong_name(std::string Text) : Text(std::move(Text)) {}

  const std::string &str() const noexcept { return Text; }
  bool empty() const noexcept { return Text.empty(); }

  friend bool operator==(const strong_name &Left, const strong_name &Right) {
    return Left.Text == Right.Text;
  }
  friend bool operator!=(const strong_name &Left, const strong_name &Right) {
    return Left.Text != Right.Text;
  }
  friend bool operator<(const strong_name &Left, const strong_name &Right) {
    return Left.Text < Right.Text;
  }

private:
  std::string Text;
};

using region_name = strong_name<struct region_tag>;
using domain_name = strong_name<struct domain_tag>;
using service_name = strong_name<struct service_tag>;
using target_id = strong_name<struct target_tag>;
using entry_name = strong_name<struct entry_tag>;
using operator_name = strong_name<struct operator_tag>;

/// \brief Identifies one run of an entry process: a random number generated at
/// start, never zero.
struct incarnation_id {
  std::uint64_t Value = 0;

  friend bool operator==(incarnation_id Left, incarnation_id Right) {
    return Left.Value == Right.Value;
  }
  friend bool operator!=(incarnation_id Left, incarnation_id Right) {
    return Left.Value != Right.Value;
  }
  friend bool operator<(incarnation_id Left, incarnation_id Right) {
    return Left.Value < Right.Value;
  }
};

/// \brief Generates an incarnation id from the operating system's random
/// source.
incarnation_id generateIncarnation();

/// \brief Formats an incarnation id as 16 hexadecimal digits.
std::string toString(incarnation_id Incarnation);

} // namespace skylarkdyke::base

template <typename Tag> struct std::hash<skylarkdyke::base::strong_name<Tag>> {
  std::size_t
  operator()(const skylarkdyke::base::strong_name<Tag> &Name) const noexcept {
    return std::hash<std::string>()(Name.str());
  }
};

template <> struct std::hash<skylarkdyke::base::incarnation_id> {
  std::size_t
  operator()(skylarkdyke::base::incarnation_id Incarnation) const noexcept {
    return std::hash<std::uint64_t>()(Incarnation.Value);
  }
};

#endif
