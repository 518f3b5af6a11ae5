#include "skylarkdyke/operators/authenticator.hpp"

#include "operators/detail/digest.hpp"
#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/operators/token.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace skylarkdyke::operators {

namespace {

struct source_record {
  unsigned Failures = 0;
  base::boot_time WaitUntil;
};

} // namespace

struct authenticator::impl {
  void countFailure(const std::string &Source, base::boot_time Now);

  std::vector<settings::operator_settings> Operators;
  mutable std::mutex Mutex;
  std::map<std::string, source_record> Sources;
  std::uint64_t Failures = 0;
};

static std::chrono::seconds waitAfter(unsigned Failures) {
  std::chrono::seconds Wait = FirstWait;
  for (unsigned I = FreeAttempts + 1; I < Failures && Wait < LongestWait; ++I)
    Wait *= 2;
  return std::min(Wait, LongestWait);
}

void authenticator::impl::countFailure(const std::string &Source,
                                       base::boot_time Now) {
  ++Failures;
  source_record &Record = Sources[Source];
  ++Record.Failures;
  Record.WaitUntil = Now;
  if (Record.Failures > FreeAttempts)
    Record.WaitUntil += waitAfter(Record.Failures);
  if (Sources.size() <= MaxSources)
    return;
  // Sources that still wait go last, so that a guesser cannot shorten its wait
  // by adding sources until the table is full of sources that do not wait.
  Sources.erase(std::min_element(
      Sources.begin(), Sources.end(), [](const auto &Left, const auto &Right) {
        return Left.second.WaitUntil < Right.second.WaitUntil;
      }));
}

authenticator::authenticator(std::vector<settings::operator_settings> Operators)
    : Impl(std::make_unique<impl>()) {
  Impl->Operators = std::move(Operators);
}

authenticator::~authenticator() = default;

bool authenticator::hasOperators() const noexcept {
  return !Impl->Operators.empty();
}

std::uint64_t authenticator::failures() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->Failures;
}

/// Compares with every operator, so that the time does not tell which names
/// exist.
static bool isKnown(const std::vector<settings::operator_settings> &Operators,
                    const std::string &Name, const std::string &Token) {
  const std::string Hash = hashToken(Token);
  bool Known = false;
  for (const settings::operator_settings &Operator : Operators) {
    const bool SameName =
        detail::equalInConstantTime(Operator.Name.str(), Name);
    const bool SameToken =
        detail::equalInConstantTime(Operator.TokenSha256, Hash);
    Known = Known || (SameName && SameToken);
  }
  return Known;
}

authentication authenticator::check(const std::string &Name,
                                    const std::string &Token,
                                    const std::string &Source,
                                    base::boot_time Now) {
  if (Name.empty() && Token.empty())
    return denied{};
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  const auto Record = Impl->Sources.find(Source);
  if (Record != Impl->Sources.end() && Now < Record->second.WaitUntil)
    return slowed{std::chrono::ceil<std::chrono::seconds>(
        Record->second.WaitUntil - Now)};
  if (isKnown(Impl->Operators, Name, Token)) {
    Impl->Sources.erase(Source);
    return authenticated{base::operator_name(Name)};
  }
  Impl->countFailure(Source, Now);
  SKYLARKDYKE_LOG(WARNING, OperatorDenied)
      << "from " << Source << ", attempt " << Impl->Sources[Source].Failures;
  return denied{};
}

} // namespace skylarkdyke::operators
