#include "support/fake_admin_entry.hpp"

#include "skylarkdyke/config/difference.hpp"
#include "skylarkdyke/config/submission.hpp"
#include "skylarkdyke/operators/token.hpp"
#include "support/sample_config.hpp"

#include <regex>

namespace test_support {

using namespace skylarkdyke;

fake_admin_entry::fake_admin_entry()
    : Now(std::chrono::system_clock::from_time_t(1796000000)),
      Document(std::make_shared<config::document>(sampleConfig())) {
  for (const char *Name : {"e1", "e2"}) {
    entries::member &Member = Members.emplace_back();
    Member.Name = base::entry_name(Name);
    Member.Region = base::region_name("north");
    Member.ConfigVersion = Document->Version;
    Member.Ready = Member.Reachable = true;
  }
  Loads = {{base::service_name("stock-view"), base::region_name("north"), 100,
            2, 1000, 2000}};
}

store::submit_result
fake_admin_entry::submit(const config::document &Change, std::uint64_t Version,
                         const base::operator_name &Operator) {
  ++Submissions;
  if (Result)
    return *Result;
  const config::document Current = Document ? *Document : config::document();
  if (Version != Current.Version)
    return store::conflict{config::difference(Change, Current), true,
                           Current.SubmittedBy, Current.Version};
  Document = std::make_shared<config::document>(config::nextDocument(
      Current, Change, {"s-" + std::to_string(Version + 1), Operator, Now}));
  Members[0].ConfigVersion = Document->Version;
  return store::accepted{Document->Version};
}

operators::dependencies fake_admin_entry::functions() {
  operators::dependencies Entry;
  Entry.Document = [this] { return Document; };
  Entry.Submit = [this](const auto &Change, auto Version,
                        const auto &Operator) {
    return submit(Change, Version, Operator);
  };
  Entry.StoreDownSince = [this] { return StoreDownSince; };
  Entry.Members = [this] { return Members; };
  Entry.Loads = [this] { return Loads; };
  Entry.CapStates = [this] { return CapStates; };
  Entry.SlotsInUse = [this] { return SlotsInUse; };
  Entry.Metrics = [] { return std::string("entry_metric 1\n"); };
  Entry.Blocked = [this] { return Blocked; };
  Entry.Release = [this](std::uint64_t Fingerprint) {
    return !Blocked.empty() && Blocked[0].Fingerprint == Fingerprint;
  };
  Entry.Seats = [this] { return Seats; };
  Entry.ConfirmDestroyed = [this](unsigned, base::incarnation_id,
                                  const auto &) { return SeatResult; };
  Entry.WallNow = [this] { return Now; };
  Entry.BootNow = [this] { return BootNow; };
  return Entry;
}

std::shared_ptr<operators::admin_service> fake_port::makeService() {
  const std::vector<settings::operator_settings> Operators = {
      {base::operator_name("ana"), operators::hashToken("secret")},
      {base::operator_name("bo"), operators::hashToken("other")}};
  return std::make_shared<operators::admin_service>(Entry.functions(),
                                                    Operators);
}

http::response fake_port::ask(const std::string &Method,
                              const std::string &Target,
                              const std::string &Body,
                              http::header_map Headers) const {
  http::server_request Request;
  Request.Message = {Method, Target, std::move(Headers), Body};
  Request.Message.Headers.emplace("Content-Type", "application/json");
  Request.Path = Target.substr(0, Target.find('?'));
  for (std::size_t At = Target.find('?'); At != std::string::npos;) {
    const std::size_t Equal = Target.find('=', At);
    const std::size_t End = Target.find('&', At + 1);
    Request.Parameters[Target.substr(At + 1, Equal - At - 1)] =
        Target.substr(Equal + 1, End - Equal - 1);
    At = End;
  }
  Request.User = User;
  Request.Password = Token;
  Request.Client = {"127.0.0.9", 4000};
  return Service->handle(Request);
}

std::string fake_port::open(const std::string &Path) const {
  return ask("GET", Path).Body;
}

http::response
fake_port::post(const std::string &Path,
                std::map<std::string, std::string> Fields) const {
  http::server_request Request;
  Request.Message.Method = "POST";
  Request.Message.Target = Request.Path = Path;
  Request.Parameters = std::move(Fields);
  Request.User = User;
  Request.Password = Token;
  return Service->handle(Request);
}

http::response
fake_port::fill(const std::string &Path,
                std::map<std::string, std::string> Fields) const {
  Fields.merge(hiddenFields(open(Path)));
  return post(Path, std::move(Fields));
}

http::response fake_port::confirm(const http::response &Preview) const {
  return post("/console/submit", hiddenFields(Preview.Body));
}

std::map<std::string, std::string> hiddenFields(const std::string &Html) {
  static const std::regex Field(
      "type=\"hidden\" name=\"([^\"]*)\" value=\"([^\"]*)\"");
  std::map<std::string, std::string> Fields;
  for (std::sregex_iterator At(Html.begin(), Html.end(), Field), End; At != End;
       ++At)
    Fields[(*At)[1]] = (*At)[2];
  return Fields;
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace test_support
