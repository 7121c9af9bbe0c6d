#include <doctest/doctest.h>

#include "tests/support/flood_server.h"
#include "tests/support/platform_fixture.h"
#include "tests/support/scripted_server.h"

// Guards against two failures seen in similar systems: a caller gets another caller's answer,
// because a late duplicate arrives on a connection that is in use again; and a truncated answer is
// passed on as a success.

namespace damaskroute {
namespace {

using platform::EchoBody;
using platform::EchoStamp;
using std::chrono::milliseconds;

// Renders an answer of the echoing server `i-1`. `id`: the request id in the answer; empty for
// none.
std::string Answer(const std::string& request, const std::string& id) {
  std::string body = EchoBody("i-1", request);
  std::string head = "HTTP/1.1 200 OK\r\n";
  if (!id.empty()) head += fmt::format("{}: {}\r\n", platform::kRequestIdHeader, id);
  return fmt::format("{}{}: {}\r\nContent-Length: {}\r\n\r\n{}", head, platform::kServerStampHeader,
                     EchoStamp("i-1", request), body.size(), body);
}

std::string Refusal(const std::string& id) {
  std::string head = "HTTP/1.1 503 Service Unavailable\r\n";
  if (!id.empty()) head += fmt::format("{}: {}\r\n", platform::kRequestIdHeader, id);
  return fmt::format("{}{}: 1\r\nContent-Length: 0\r\n\r\n", head, platform::kNotExecutedHeader);
}

// What the server sends for the second request on a connection, in addition to or instead of the
// expected answer.
struct DuplicateCase {
  const char* name;
  std::vector<std::string> pieces;  // Sent 5 ms apart.
  int status;                       // Expected status of the caller's answer.
};

std::vector<DuplicateCase> DuplicateCases() {
  std::string late = Answer("id-0", "id-0");
  std::string expected = Answer("id-1", "id-1");
  return {
      {"a late duplicate before the answer", {late + expected}, 200},
      {"a late duplicate in pieces",
       {late.substr(0, 20), late.substr(20, 60), late.substr(80), expected},
       200},
      {"a late duplicate without an id", {Answer("id-0", "") + expected}, 502},
      {"a late duplicate without an id in pieces",
       {Answer("id-0", "").substr(0, 30), Answer("id-0", "").substr(30) + expected},
       502},
      {"a late duplicate of a refusal", {Refusal("id-0") + expected}, 200},
      {"a late duplicate of a refusal without an id", {Refusal("") + expected}, 502},
      {"a late duplicate with the end of the connection",
       {"HTTP/1.1 200 OK\r\n" + std::string(platform::kRequestIdHeader) + ": id-0\r\n" +
        platform::kServerStampHeader + ": s\r\nConnection: close\r\nContent-Length: 1\r\n\r\na"},
       502},
      {"the expected answer with another id", {Answer("id-1", "id-7")}, 504},
      {"another answer with the same id after the expected one",
       {expected + Answer("id-0", "id-1")},
       200},
  };
}

// The requests are actions, which are never retried, so the caller gets exactly what was read.
TEST_CASE("no caller gets an answer to another request, however late duplicates arrive") {
  for (const DuplicateCase& test : DuplicateCases()) {
    CAPTURE(test.name);
    PlatformFixture w;
    ScriptedServer server(w.loop,
                          {{Answer("id-0", "id-0")}, test.pieces, {Answer("id-2", "id-2")}});
    w.store.Write(platform::kServerPrefix + std::string("i-1"),
                  PlatformFixture::Server::EntryAt(server.endpoint(), "desk", "a", 1, "ready"));
    REQUIRE(w.StartServing(1));
    CHECK(w.Call("POST", "/act/x", "id-0", "book").body == EchoBody("i-1", "id-0"));
    auto response = w.Call("POST", "/act/x", "id-1", "book", 400);
    CHECK(response.status == test.status);
    if (response.status == 200) CHECK(response.body == EchoBody("i-1", "id-1"));
    // Remaining bytes do not reach the next caller.
    auto next = w.Call("POST", "/act/x", "id-2", "book", 400);
    if (next.status == 200) CHECK(next.body == EchoBody("i-1", "id-2"));
    CHECK(server.requests() <= 3);
  }
}

struct TruncatedAnswer {
  const char* name;
  std::string bytes;
};

std::vector<TruncatedAnswer> TruncatedAnswers(const std::string& id) {
  std::string head = fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n{}: s\r\n",
                                 platform::kRequestIdHeader, id, platform::kServerStampHeader);
  return {
      {"in the head", head.substr(0, head.size() - 5)},
      {"before the body", head + "Content-Length: 32\r\n\r\n"},
      {"in the body", head + "Content-Length: 32\r\n\r\n0123456789abcdef"},
      {"without the last chunk",
       head + "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n"},
      {"in a chunk", head + "Transfer-Encoding: chunked\r\n\r\n20\r\n0123456789abcdef"},
      {"in the trailer", head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: "},
  };
}

TEST_CASE("a truncated answer is not a success, neither alone nor as a part of a query") {
  for (FloodEnd end : {FloodEnd::kClose, FloodEnd::kReset}) {
    for (const TruncatedAnswer& truncated : TruncatedAnswers("id-1")) {
      CAPTURE(truncated.name);
      CAPTURE(static_cast<int>(end));
      PlatformFixture w(/*min_coverage=*/0.5);
      FloodServer server(w.loop, truncated.bytes, "", end);
      for (const char* service : {"desk", "s0"}) {
        w.store.Write(
            fmt::format("{}bad-{}", platform::kServerPrefix, service),
            PlatformFixture::Server::EntryAt(server.endpoint(), service, "a", 1, "ready"));
      }
      w.AddServer("i-1", "s1").SetBody("0000000000000001");
      w.AddServer("i-2", "s2").SetBody("0000000000000002");
      REQUIRE(w.StartServing(4));
      CHECK(w.Call("POST", "/act/x", "id-1", "book").status == 502);
      auto query = w.Get("/all/x", "id-1");
      CHECK(query.status == 200);
      CHECK(query[platform::kMissingPartsHeader] == "1");
      CHECK(query.body == "00000000000000020000000000000001");
    }
  }
}

// An answer without a length ends when its connection is closed, but not by a reset.
TEST_CASE("an answer without a length is not a success if the connection is reset") {
  PlatformFixture w;
  std::string head = fmt::format("HTTP/1.1 200 OK\r\n{}: id-1\r\n{}: s\r\n\r\nhalf",
                                 platform::kRequestIdHeader, platform::kServerStampHeader);
  FloodServer server(w.loop, head, "", FloodEnd::kReset);
  w.store.Write(platform::kServerPrefix + std::string("i-1"),
                PlatformFixture::Server::EntryAt(server.endpoint(), "desk", "a", 1, "ready"));
  REQUIRE(w.StartServing(1));
  CHECK(w.Call("POST", "/act/x", "id-1", "book").status == 502);
}

}  // namespace
}  // namespace damaskroute
