#include "support/lone_target_fixture.hpp"
#include "support/signed_answer.hpp"

#include <thread>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::joined;
using test_support::scripted_request;
using test_support::scripted_target;
using test_support::signedAnswer;
using test_support::signedLines;
using test_support::statusOf;
using test_support::StatusOk;
using test_support::withLength;

namespace {

/// Bytes of a target that are no answer. "{id}" stands for the lines that name
/// and sign the request.
struct odd_answer {
  std::string Name;
  std::string Bytes;
  /// Whether the connection ends behind the bytes.
  bool Closes = true;
};

} // namespace

/// Part of each odd answer that must not reach a caller.
static const std::string OddBody = "odd-body";

static std::vector<odd_answer> answersWithOddStatus() {
  std::vector<odd_answer> Answers;
  for (const std::string Status :
       {"000", "001", "020", "099", "101", "600", "700", "999", "2000", "20",
        "2x0", "-20", "+20", " 200", "0x8"}) {
    const std::string Start = "HTTP/1.1 " + Status + " Odd\r\n{id}";
    // What follows bytes that are no answer is none either.
    for (const std::string &Rest :
         {withLength(OddBody), "\r\n" + OddBody,
          withLength("") + StatusOk + "{id}" + withLength(OddBody)})
      for (const bool Closes : {true, false})
        Answers.push_back({Start + Rest, Start + Rest, Closes});
  }
  return Answers;
}

static std::vector<odd_answer> answersWithOddFields() {
  const std::string Before = "X-Server: a\r\n";
  std::vector<odd_answer> Answers;
  for (const char Odd :
       {' ', '\t', '\0', '\x01', '\x1b', '\x1f', '\x7f', '\r', '\n'}) {
    const std::string Byte = "byte " + std::to_string(Odd);
    for (const std::string &Line : {std::string(1, Odd) + "X-Odd: v\r\n",
                                    "X-" + std::string(1, Odd) + "Odd: v\r\n",
                                    "X-Odd" + std::string(1, Odd) + ": v\r\n"})
      for (const bool IsFirst : {true, false})
        Answers.push_back(
            {joined({Byte, " in ", Line}),
             joined({StatusOk, IsFirst ? "" : "{id}" + Before, Line,
                     IsFirst ? "{id}" : "", withLength(OddBody)})});
  }
  for (const std::string Line :
       {"Content Length: 3\r\n", "Content-Length : 3\r\n",
        " Content-Length: 3\r\n", "\tContent-Length: 3\r\n",
        "Transfer Encoding: chunked\r\n", " Transfer-Encoding: chunked\r\n"})
    Answers.push_back(
        {Line, joined({StatusOk, "{id}", Before, Line, "\r\n", OddBody})});
  Answers.push_back(
      {"trailer",
       joined({StatusOk, "{id}Transfer-Encoding: chunked\r\n\r\n8\r\n", OddBody,
               "\r\n0\r\nX Odd: v\r\n\r\n"})});
  return Answers;
}

static std::string bytesFor(const odd_answer &Answer,
                            const scripted_request &Request) {
  const std::string Lines = signedLines(Request);
  std::string Bytes = Answer.Bytes;
  for (std::size_t At = Bytes.find("{id}"); At != std::string::npos;
       At = Bytes.find("{id}"))
    Bytes.replace(At, 4, Lines);
  return Bytes;
}

/// Checks that a caller gets no part of bytes that are no answer.
static void checkNoAnswer(const odd_answer &Answer,
                          const std::string &Response) {
  const std::string Text = Answer.Name + ":\n" + Response;
  STRCMP_EQUAL_TEXT("502", statusOf(Response).c_str(), Text.c_str());
  for (const std::string &Part :
       {OddBody, std::string("X-Odd"), std::string("signed")})
    CHECK_TEXT(Response.find(Part) == std::string::npos, Text.c_str());
}

namespace {

class odd_answers_fixture : public test_support::lone_target_fixture {
protected:
  /// Lets targets send what is no answer, and checks what callers get.
  void checkOddAnswers(const std::vector<odd_answer> &Answers) {
    int Count = 0;
    for (const odd_answer &Answer : Answers) {
      const std::string Path = "/once/odd" + std::to_string(++Count);
      const scripted_target Target([&](const scripted_request &Request) {
        if (Request.path() != Path)
          return Request.send(signedAnswer(Request));
        Request.send(bytesFor(Answer, Request));
        if (Answer.Closes)
          Request.close();
      });
      useOnly(Target);
      const std::string Response = ask("POST", Path, "odd");
      LONGS_EQUAL_TEXT(1, Target.received(Path), Answer.Name.c_str());
      checkNoAnswer(Answer, Response);
    }
  }
};

} // namespace

TEST_GROUP_BASE(system_serve_odd_answers, odd_answers_fixture){};

// Guards against a status that is no number of HTTP, and against fields whose
// names hold a blank or a control byte: the line would be passed on, or the end
// of the body would be another one than that of the target.
TEST(system_serve_odd_answers, AnAnswerWithAnOddStatusReachesNoCaller) {
  start();
  checkOddAnswers(answersWithOddStatus());
}

TEST(system_serve_odd_answers, AnAnswerWithAnOddFieldNameReachesNoCaller) {
  start();
  checkOddAnswers(answersWithOddFields());
}

// Guards against a safe request that fails although another target answers it.
TEST(system_serve_odd_answers, ASafeRequestWithAnOddAnswerGoesToAnotherTarget) {
  start();
  const odd_answer Odd{"000", "HTTP/1.1 000 Odd\r\n{id}" + withLength(OddBody)};
  const scripted_target Broken([&](const scripted_request &Request) {
    Request.send(bytesFor(Odd, Request));
  });
  const scripted_target Sound([](const scripted_request &Request) {
    Request.send(signedAnswer(Request));
  });
  useOnly(Sound);
  Platform.put("servers/broken", test_support::servedTarget(Broken.address()));
  // The part of the retry slack that an entry uses begins a while after its
  // start.
  std::this_thread::sleep_for(8s);
  for (int I = 0; Broken.connections() == 0 && I < 100; ++I) {
    const std::string Id = "safe" + std::to_string(I);
    STRCMP_EQUAL("200", statusOf(ask("GET", "/safe/" + Id, Id)).c_str());
  }
  CHECK(Broken.connections() > 0);
}

// Guards against trailers that are taken for fields of the head: they could
// sign an answer that is not signed, or be passed on.
TEST(system_serve_odd_answers, TrailersAreNoFieldsOfTheHead) {
  start();
  for (const std::string Id : {"unsigned", "signed"}) {
    const std::string Path = "/once/" + Id;
    const scripted_target Target([&](const scripted_request &Request) {
      if (Request.path() != Path)
        return Request.send(signedAnswer(Request));
      const std::string Signature =
          "Skylarkdyke-Response-Signature: " + Id + "\r\n";
      const bool IsSigned = Id == "signed";
      Request.send(
          joined({StatusOk, IsSigned ? Signature : "",
                  "Skylarkdyke-Request-Id: ", Request.requestId(),
                  "\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n", OddBody,
                  "\r\n0\r\nX-Odd: v\r\n", IsSigned ? "" : Signature, "\r\n"}));
    });
    useOnly(Target);
    const std::string Response = ask("POST", Path, Id);
    STRCMP_EQUAL_TEXT(Id == "signed" ? "200" : "502",
                      statusOf(Response).c_str(), Response.c_str());
    CHECK_TEXT(Response.find("X-Odd") == std::string::npos, Response.c_str());
  }
}
