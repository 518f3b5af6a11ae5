#ifndef SKYLARKDYKE_BASE_TEAM_NAME_HPP
#define SKYLARKDYKE_BASE_TEAM_NAME_HPP

#include "skylarkdyke/base/names.hpp"

namespace skylarkdyke::base {

using team_name = strong_name<struct team_tag>;

} // namespace skylarkdyke::base

#endif
