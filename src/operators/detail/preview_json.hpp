#ifndef SKYLARKDYKE_OPERATORS_DETAIL_PREVIEW_JSON_HPP
#define SKYLARKDYKE_OPERATORS_DETAIL_PREVIEW_JSON_HPP

#include "skylarkdyke/base/finding.hpp"
#include "skylarkdyke/config/difference.hpp"
#include "skylarkdyke/config/preview.hpp"

#include <nlohmann/json.hpp>
#include <vector>

namespace skylarkdyke::operators::detail {

nlohmann::json toJson(const base::findings &Findings);
nlohmann::json toJson(const std::vector<config::field_change> &Changes);
nlohmann::json toJson(const config::change_preview &Preview);

} // namespace skylarkdyke::operators::detail

#endif
