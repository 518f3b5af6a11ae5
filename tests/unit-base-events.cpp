#include <fstream>
#include <map>
#include <regex>
#include <sstream>

// CppUTest must be included last because it defines "new" as a macro.
#include <CppUTest/TestHarness.h>

TEST_GROUP(base_events){};

/// Maps the text of one capture group to that of another for all matches of a
/// pattern in a file.
static std::map<std::string, std::string> findPairs(const std::string &File,
                                                    const char *Pattern,
                                                    int KeyGroup,
                                                    int ValueGroup) {
  std::ifstream Stream(std::string(SKYLARKDYKE_SOURCE_DIR) + File);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  const std::string Content = Text.str();
  const std::regex Expression(Pattern);
  std::map<std::string, std::string> Pairs;
  for (auto It =
           std::sregex_iterator(Content.begin(), Content.end(), Expression);
       It != std::sregex_iterator(); ++It)
    Pairs[(*It)[KeyGroup]] = (*It)[ValueGroup];
  return Pairs;
}

// Guards against an event that the code can log but the catalogue for operators
// does not describe, and vice versa.
TEST(base_events, CatalogueMatchesTheEventsInTheCode) {
  const auto Code = findPairs("/include/skylarkdyke/base/event.hpp",
                              R"((\w+) = (\d+),)", 2, 1);
  const auto Catalogue =
      findPairs("/docs/events.md", R"(\| (\d+) \| (\w+) \|)", 1, 2);
  CHECK_FALSE(Code.empty());
  CHECK_EQUAL(Code.size(), Catalogue.size());
  for (const auto &[Number, Name] : Code) {
    const auto Found = Catalogue.find(Number);
    STRCMP_EQUAL(Name.c_str(),
                 Found == Catalogue.end() ? "" : Found->second.c_str());
  }
}
