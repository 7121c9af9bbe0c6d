// cpprestsdk must come first: without _TURN_OFF_PLATFORM_STRING its macro U would break the Boost
// headers below.
#include <cpprest/http_client.h>
//
#include <doctest/doctest.h>

#include <atomic>
#include <filesystem>
#include <string>
#include <vector>

#include "damaskroute/store/http_store.h"
#include "damaskroute/store/http_threads.h"
#include "damaskroute/store/http_vm_list.h"
#include "fmt/format.h"
#include "standins/http_server.h"
#include "standins/loop_thread.h"
#include "standins/platform_standin.h"

namespace damaskroute {
namespace {

using absl::StatusCode;
using std::chrono::milliseconds;

constexpr milliseconds kLongDeadline{30000};
// Enough attempts to observe a resent PUT at least once with a reused client.
constexpr int kTries = 200;

Endpoint StartPlatform(standins::PlatformStandin& platform) {
  InitializeHttpThreads();
  REQUIRE(platform.Start().ok());
  return platform.endpoint();
}

struct Platform {
  standins::LoopThread loop;
  standins::PlatformStandin standin{loop, {"127.0.0.1", 0}, {}};
  Endpoint endpoint = StartPlatform(standin);

  void Control(const std::string& json) { REQUIRE(standin.Control(json).ok()); }
};

// Server with a handler supplied by the test.
struct ScriptedServer {
  explicit ScriptedServer(standins::HttpServer::Handler handler)
      : server(std::make_shared<standins::HttpServer>(loop.io(), std::move(handler))) {
    InitializeHttpThreads();
    REQUIRE(loop.Run([this] { return server->Listen({"127.0.0.1", 0}); }).ok());
  }
  ~ScriptedServer() {
    loop.Run([this] { server->Close(); });
  }
  Endpoint endpoint() const { return {"127.0.0.1", server->port()}; }

  standins::LoopThread loop;
  std::shared_ptr<standins::HttpServer> server;
};

std::size_t ThreadCount() {
  std::filesystem::directory_iterator tasks("/proc/self/task");
  return static_cast<std::size_t>(std::distance(begin(tasks), end(tasks)));
}

// Must run first, before another test starts threads.
TEST_CASE("the thread pool of cpprestsdk has 4 threads instead of 40") {
  std::size_t before = ThreadCount();
  Platform platform;
  HttpStore store(platform.endpoint, kLongDeadline);
  CHECK(store.Get("k").status().code() == StatusCode::kNotFound);
  CHECK(InitializeHttpThreads());
  // The stand-in's loop, the pool, and Asio's thread for name lookup.
  CHECK(ThreadCount() <= before + 1 + 4 + 1);
}

// Shows why HttpStore uses a new client for each call. If this fails after an upgrade of
// cpprestsdk, the library no longer resends requests, and the new client for each call can be
// reconsidered.
TEST_CASE("a reused cpprestsdk client sends a PUT again when the connection is reset") {
  Platform platform;
  web::http::client::http_client client("http://" + FormatEndpoint(platform.endpoint));
  auto put = [&] {
    web::http::http_request request(web::http::methods::PUT);
    request.set_request_uri("/kv/k");
    request.headers().add("If-Version", 0);
    request.set_body(std::vector<unsigned char>{1, 2, 3});
    try {
      return static_cast<int>(client.request(request).get().status_code());
    } catch (const web::http::http_exception&) {
      return 0;
    }
  };
  put();
  // It resends only if the previous connection has returned to its pool, which is a race.
  std::uint64_t sent = 0;
  for (int i = 0; i < kTries && sent < 2; ++i) {
    put();
    platform.Control(R"({"reset_next":1})");
    std::uint64_t before = platform.standin.Stats().writes;
    put();
    sent = platform.standin.Stats().writes - before;
  }
  CHECK(sent == 2);
}

TEST_CASE("a write is sent once, even after earlier calls on the same store") {
  Platform platform;
  HttpStore store(platform.endpoint, kLongDeadline);
  auto version = store.CompareAndSwap("k", 0, "v");
  REQUIRE(version.ok());
  REQUIRE(store.Get("k").ok());
  struct Row {
    const char* control;
    bool takes_effect;
  };
  const std::vector<Row> rows = {{R"({"reset_next":1})", false}, {R"({"lose_next":1})", true}};
  for (int i = 0; i < kTries; ++i) {
    const Row& row = rows[static_cast<std::size_t>(i) % rows.size()];
    CAPTURE(row.control);
    auto before = platform.standin.Stats();
    std::uint64_t current = store.Get("k")->version;
    platform.Control(row.control);
    CHECK(store.CompareAndSwap("k", current, "w").status().code() == StatusCode::kUnknown);
    auto after = platform.standin.Stats();
    CHECK(after.writes - before.writes == 1);
    CHECK(after.written - before.written == (row.takes_effect ? 1 : 0));
  }
}

TEST_CASE("a refused connection and a rate limit guarantee that nothing was written") {
  Endpoint closed_endpoint;
  {
    Platform platform;
    closed_endpoint = platform.endpoint;
    platform.Control(R"({"writes_per_second":1})");
    HttpStore store(closed_endpoint, kLongDeadline);
    // A window of the rate limit may end between two calls, but some of many calls share one.
    StatusCode code = StatusCode::kOk;
    for (int i = 0; i < 100 && code != StatusCode::kUnavailable; ++i) {
      code = store.CompareAndSwap(fmt::format("k{}", i), 0, "v").status().code();
    }
    CHECK(code == StatusCode::kUnavailable);
    CHECK(platform.standin.Stats().rate_limited == 1);
  }
  HttpStore store(closed_endpoint, kLongDeadline);
  CHECK(store.CompareAndSwap("k", 0, "v").status().code() == StatusCode::kUnavailable);
  CHECK(store.Get("k").status().code() == StatusCode::kUnavailable);
}

TEST_CASE("the outcome of a write is unknown if the response does not determine it") {
  struct Row {
    int status;
    const char* headers;
    StatusCode write;
  };
  const std::vector<Row> rows = {
      {200, "", StatusCode::kUnknown},
      {200, "Version: 0\r\n", StatusCode::kUnknown},
      {200, "Version: 7x\r\n", StatusCode::kUnknown},
      {200, "Version: 7\r\n", StatusCode::kOk},
      {412, "", StatusCode::kAborted},
      {413, "", StatusCode::kInvalidArgument},
      {404, "", StatusCode::kUnknown},
      {500, "", StatusCode::kUnknown},
      {504, "", StatusCode::kUnknown},
  };
  std::atomic<std::size_t> index{0};
  ScriptedServer server([&](const auto& connection, standins::HttpRequest&&) {
    connection->Respond(rows[index].status, rows[index].headers, "");
  });
  HttpStore store(server.endpoint(), kLongDeadline);
  for (index = 0; index < rows.size(); ++index) {
    CAPTURE(rows[index].status);
    CAPTURE(rows[index].headers);
    CHECK(store.CompareAndSwap("k", 0, "v").status().code() == rows[index].write);
  }
}

TEST_CASE("the deadline covers the whole call, and the connection is closed after it") {
  Platform platform;
  platform.Control(R"({"silent":true})");
  HttpStore store(platform.endpoint, milliseconds(50));
  CHECK(store.Get("k").status().code() == StatusCode::kUnavailable);
  CHECK(store.CompareAndSwap("k", 0, "v").status().code() == StatusCode::kUnknown);
  // With a leaked connection this loop would run until the time limit of the test.
  while (platform.standin.Stats().connections > 0) std::this_thread::yield();
}

TEST_CASE("a VM list is read completely or not at all") {
  Platform platform;
  HttpVmList list(platform.endpoint, kLongDeadline);
  CHECK(list.Read()->vms.empty());
  platform.Control(R"({"vms":[
      {"name":"n1","address":"127.0.0.1","zone":"a","state":"live"},
      {"name":"n2","address":"127.0.0.2","zone":"b","state":"leaving"}]})");
  auto read = list.Read();
  REQUIRE(read.ok());
  REQUIRE(read->Find("n2") != nullptr);
  CHECK(*read->Find("n2") == VmEntry{"n2", "127.0.0.2", "b", VmState::kLeaving});
  CHECK(read->Find("n3") == nullptr);
  platform.Control(R"({"refuse":true})");
  CHECK(list.Read().status().code() == StatusCode::kUnavailable);
  for (const char* text :
       {"", "[]", "{}", R"({"vms":[{}]})",
        R"({"vms":[{"name":"n1","address":"a","zone":"z","state":"gone"}]})", R"({"vms":[)"}) {
    CAPTURE(text);
    CHECK(ParseVmList(text).status().code() == StatusCode::kInvalidArgument);
  }
}

TEST_CASE("a changed VM list is visible only after the lag") {
  Platform platform;
  HttpVmList list(platform.endpoint, kLongDeadline);
  platform.Control(R"({"vm_lag":"86400s","vms":[
      {"name":"n1","address":"127.0.0.1","zone":"a","state":"live"}]})");
  CHECK(list.Read()->vms.empty());
}

}  // namespace
}  // namespace damaskroute
