#include "skylarkdyke/operators/authenticator.hpp"
#include "skylarkdyke/operators/token.hpp"
#include "skylarkdyke/settings/settings.hpp"
// Behind the others: it replaces new by a macro.

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using operators::authenticated;
using operators::denied;
using operators::slowed;

TEST_GROUP(operators_authenticator) {
  operators::authenticator Authenticator{
      {{base::operator_name("ana"), operators::hashToken("secret")},
       {base::operator_name("bo"), operators::hashToken("other")}}};
  base::boot_time Now{1h};

  operators::authentication attempt(const char *Name, const char *Token,
                                    const char *Source = "10.0.0.1") {
    return Authenticator.check(Name, Token, Source, Now);
  }
};

// Guards against a hash that differs from what other tools print for a token.
TEST(operators_authenticator, HashesATokenWithSha256) {
  STRCMP_EQUAL(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
      operators::hashToken("abc").c_str());
}

// Guards against one operator's token working under another one's name.
TEST(operators_authenticator, NeedsTheTokenOfTheSameName) {
  const auto Known = attempt("ana", "secret");
  CHECK_TRUE(std::holds_alternative<authenticated>(Known));
  STRCMP_EQUAL("ana", std::get<authenticated>(Known).Operator.str().c_str());
  for (const char *Token : {"other", "", "secre", "secret "})
    CHECK_TRUE(std::holds_alternative<denied>(attempt("ana", Token, Token)));
  CHECK_TRUE(std::holds_alternative<denied>(attempt("", "secret", "a")));
}

// Guards against guessing at full speed, and against a wait that a right token
// or another source could be used to get around.
TEST(operators_authenticator, SlowsDownASourceThatFails) {
  for (unsigned I = 0; I < operators::FreeAttempts; ++I)
    CHECK_TRUE(std::holds_alternative<denied>(attempt("ana", "guess")));
  CHECK_TRUE(std::holds_alternative<denied>(attempt("ana", "guess")));
  CHECK_TRUE(std::holds_alternative<slowed>(attempt("ana", "secret")));
  CHECK_TRUE(std::holds_alternative<authenticated>(
      attempt("ana", "secret", "10.0.0.2")));
  Now += 1s;
  CHECK_TRUE(std::holds_alternative<denied>(attempt("ana", "guess")));
  Now += 1s;
  const auto Waiting = attempt("ana", "secret");
  CHECK_TRUE(std::holds_alternative<slowed>(Waiting));
  CHECK_TRUE(std::get<slowed>(Waiting).RetryAfter == 1s);
  Now += 1s;
  CHECK_TRUE(std::holds_alternative<authenticated>(attempt("ana", "secret")));
  CHECK_EQUAL(5u, Authenticator.failures());
}

// Guards against a browser's first request, which has no credentials, counting
// as a guess.
TEST(operators_authenticator, DoesNotCountARequestWithoutCredentials) {
  for (int I = 0; I < 20; ++I)
    CHECK_TRUE(std::holds_alternative<denied>(attempt("", "")));
  CHECK_TRUE(std::holds_alternative<authenticated>(attempt("ana", "secret")));
}

// Guards against a wait that grows without bound, and against memory that does.
TEST(operators_authenticator, BoundsWaitsAndSources) {
  for (int I = 0; I < 40; ++I) {
    attempt("ana", "guess");
    Now += operators::LongestWait;
  }
  CHECK_TRUE(std::holds_alternative<authenticated>(attempt("ana", "secret")));
  for (unsigned I = 0; I < 2 * operators::MaxSources; ++I)
    attempt("ana", "guess", std::to_string(I).c_str());
  CHECK_TRUE(std::holds_alternative<authenticated>(attempt("ana", "secret")));
}

TEST_GROUP(operators_settings){
    static base::findings parse(const std::string &Operators){
        const auto Settings = settings::parseEntrySettings(
            "name = 'e1'\nregion = 'r'\ndomain = 'd'\n"
            "caller_address = '127.0.0.1:1'\nadmin_address = '127.0.0.1:2'\n"
            "peer_address = '127.0.0.1:3'\nstore = '127.0.0.1:4'\n" +
                Operators,
            "e.toml");
return Settings ? base::findings() : Settings.error();
}
}
;

// Guards against a mistyped hash, which would lock its operator out without a
// word.
TEST(operators_settings, ChecksNamesAndHashes) {
  const std::string Hash = operators::hashToken("x");
  const std::string Good =
      "[[operators]]\nname = 'ana'\ntoken_sha256 = '" + Hash + "'\n";
  STRCMP_EQUAL("", base::toString(parse("")).c_str());
  STRCMP_EQUAL("", base::toString(parse(Good)).c_str());
  STRCMP_EQUAL("e.toml:12: operators.name: 'ana' is already used\n",
               base::toString(parse(Good + Good)).c_str());
  const std::string Bad = base::toString(
      parse("[[operators]]\nname = 'a b'\ntoken_sha256 = '" + Hash.substr(1) +
            "'\ntoken = 'x'\n"
            "[[operators]]\nname = 'bo'\n"));
  STRCMP_EQUAL(
      "e.toml:10: operators.token_sha256: must have 64 hexadecimal digits, as "
      "`skylarkdyke token-hash` prints them\n"
      "e.toml:9: operators.name: must have 1 to 64 letters, digits, '-', '_' "
      "or '.'\n"
      "e.toml:11: operators.token: is not a known setting\n"
      "e.toml:12: operators.token_sha256: is missing\n",
      Bad.c_str());
}
