#include "skylarkdyke/metrics/registry.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string_view>
#include <variant>

namespace skylarkdyke::metrics {

namespace {

using any_metric =
    std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>,
                 std::unique_ptr<latency_histogram>>;

/// All metrics with the same name, which have the same type.
struct family {
  std::string Help;
  /// Index of the type in any_metric and TypeNames.
  std::size_t Type = 0;
  std::map<label_set, any_metric> Metrics;
};

constexpr std::array<const char *, 3> TypeNames{"counter", "gauge",
                                                "histogram"};

bool isLetter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') || Character == '_';
}

bool isValidName(std::string_view Name, bool AllowColon) {
  const auto IsValid = [AllowColon](char Character) {
    return isLetter(Character) || (Character >= '0' && Character <= '9') ||
           (AllowColon && Character == ':');
  };
  return !Name.empty() && !(Name.front() >= '0' && Name.front() <= '9') &&
         std::all_of(Name.begin(), Name.end(), IsValid);
}

void checkNames(const std::string &Name, const label_set &Labels) {
  if (!isValidName(Name, true))
    throw std::invalid_argument("metric name '" + Name + "' is not valid");
  for (const auto &[Label, Value] : Labels)
    // Histogram buckets use the label "le".
    if (!isValidName(Label, false) || Label == "le")
      throw std::invalid_argument("label name '" + Label + "' is not valid");
}

std::string escape(std::string_view Text, bool EscapeQuotes) {
  std::string Escaped;
  Escaped.reserve(Text.size());
  for (const char Character : Text) {
    if (Character == '\n') {
      Escaped += "\\n";
      continue;
    }
    if (Character == '\\' || (EscapeQuotes && Character == '"'))
      Escaped += '\\';
    Escaped += Character;
  }
  return Escaped;
}

std::string formatNumber(double Number) {
  if (std::isnan(Number))
    return "NaN";
  if (std::isinf(Number))
    return Number > 0 ? "+Inf" : "-Inf";
  std::array<char, 32> Text{};
  // 17 digits represent every double exactly; fewer are used if they suffice.
  for (const int Digits : {6, 15, 17}) {
    std::snprintf(Text.data(), Text.size(), "%.*g", Digits, Number);
    if (std::strtod(Text.data(), nullptr) == Number)
      break;
  }
  return Text.data();
}

/// Formats the upper bound of a bucket. Six digits keep the bounds distinct and
/// hide the rounding error of the logarithmic axis, with which 60 would be
/// rendered as 59.99...
std::string formatBound(double Bound) {
  if (std::isinf(Bound))
    return "+Inf";
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.6g", Bound);
  return Text.data();
}

/// Renders the samples of one metric.
class sample_writer {
public:
  sample_writer(std::string &Text, const std::string &Name,
                const label_set &Labels)
      : Text(Text), Name(Name), Labels(Labels) {}

  void operator()(const std::unique_ptr<counter> &Counter) const {
    write("", std::to_string(Counter->value()), {});
  }
  void operator()(const std::unique_ptr<gauge> &Gauge) const {
    write("", formatNumber(Gauge->value()), {});
  }
  void operator()(const std::unique_ptr<latency_histogram> &Histogram) const {
    const latency_histogram::snapshot Snapshot = Histogram->read();
    std::string Count;
    for (const auto &Bucket : Snapshot.Buckets) {
      Count = std::to_string(Bucket.CumulativeCount);
      write("_bucket", Count, formatBound(Bucket.UpperBound.count()));
    }
    write("_sum", formatNumber(Snapshot.Sum.count()), {});
    write("_count", Count, {});
  }

private:
  void write(const char *Suffix, const std::string &Value,
             const std::string &UpperBound) const {
    Text += Name;
    Text += Suffix;
    char Separator = '{';
    const auto AddLabel = [&](const std::string &Label,
                              const std::string &LabelValue) {
      Text += Separator;
      Text += Label + "=\"" + escape(LabelValue, true) + '"';
      Separator = ',';
    };
    for (const auto &[Label, LabelValue] : Labels)
      AddLabel(Label, LabelValue);
    if (!UpperBound.empty())
      AddLabel("le", UpperBound);
    if (Separator == ',')
      Text += '}';
    Text += ' ' + Value + '\n';
  }

  std::string &Text;
  const std::string &Name;
  const label_set &Labels;
};

} // namespace

struct registry::impl {
  mutable std::mutex Mutex;
  std::map<std::string, family> Families;

  template <typename Metric>
  Metric &get(const std::string &Name, const std::string &Help,
              label_set Labels) {
    checkNames(Name, Labels);
    std::sort(Labels.begin(), Labels.end());
    const any_metric Empty = std::unique_ptr<Metric>();
    const std::lock_guard<std::mutex> Lock(Mutex);
    family &Family = Families.try_emplace(Name, family{Help, Empty.index(), {}})
                         .first->second;
    if (Family.Type != Empty.index())
      throw std::invalid_argument("metric '" + Name + "' is a " +
                                  TypeNames[Family.Type]);
    any_metric &Slot = Family.Metrics[std::move(Labels)];
    if (Slot.index() != Family.Type || !std::get<std::unique_ptr<Metric>>(Slot))
      Slot = std::make_unique<Metric>();
    return *std::get<std::unique_ptr<Metric>>(Slot);
  }
};

registry::registry() : Impl(std::make_unique<impl>()) {}
registry::~registry() = default;

counter &registry::counter(const std::string &Name, const std::string &Help,
                           const label_set &Labels) {
  return Impl->get<class counter>(Name, Help, Labels);
}

gauge &registry::gauge(const std::string &Name, const std::string &Help,
                       const label_set &Labels) {
  return Impl->get<class gauge>(Name, Help, Labels);
}

latency_histogram &registry::latency(const std::string &Name,
                                     const std::string &Help,
                                     const label_set &Labels) {
  return Impl->get<latency_histogram>(Name, Help, Labels);
}

std::string registry::render() const {
  std::string Text;
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  for (const auto &[Name, Family] : Impl->Families) {
    Text += "# HELP " + Name + ' ' + escape(Family.Help, false) + '\n';
    Text += "# TYPE " + Name + ' ' + TypeNames[Family.Type] + '\n';
    for (const auto &[Labels, Metric] : Family.Metrics)
      std::visit(sample_writer(Text, Name, Labels), Metric);
  }
  return Text;
}

} // namespace skylarkdyke::metrics
