#include "standins/backend_standin.h"

#include <doctest/doctest.h>
#include <rapidjson/document.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "damaskroute/core/key_range_set.h"
#include "fmt/format.h"
#include "standins/control_standin.h"
#include "standins/fault.h"
#include "tests/http_test_client.h"

namespace damaskroute::standins {
namespace {

using Response = HttpTestClient::Response;

constexpr const char* kLongDeadlineMs = "60000";

struct Backend {
  explicit Backend(const std::string& control = "{}",
                   const HeldVersions& versions = {{1, {kWholeKeySpace}}})
      : standin(loop, "b1", {"127.0.0.1", 0}, {}, versions) {
    REQUIRE(standin.Start().ok());
    Control(control);
  }

  void Control(const std::string& json) { REQUIRE(standin.Control(json).ok()); }

  // Waits until the stand-in has received `count` calls. The test timeout ends a hang.
  void WaitReceived(std::uint64_t count) {
    while (standin.Stats().received < count) std::this_thread::yield();
  }

  LoopThread loop;
  BackendStandin standin;
};

struct Call {
  std::string id = "r1";
  std::string attempt = "0";
  std::string deadline_ms = kLongDeadlineMs;
  std::string version = "1";
  std::string range = "0-4294967296";
  std::string body = "{}";
  std::string action = "";  // Action id; empty for a query.

  HttpTestClient::Headers Headers() const {
    HttpTestClient::Headers headers = {{"Damask-Request-Id", id},
                                       {"Damask-Attempt", attempt},
                                       {"Damask-Deadline-Ms", deadline_ms},
                                       {"Damask-Index-Version", version},
                                       {"Damask-Range", range}};
    if (!action.empty()) headers.emplace_back("Damask-Action-Id", action);
    return headers;
  }
  std::string Path() const { return action.empty() ? "/shard/query" : "/shard/action"; }
};

// A call that is sent at construction, on a separate connection.
struct OpenCall {
  OpenCall(Backend& backend, const Call& call) : client(backend.standin.endpoint()) {
    client.Send("POST", call.Path(), call.Headers(), call.body);
  }
  Response Get() { return client.Receive(); }
  HttpTestClient client;
};

Response Run(Backend& backend, const Call& call) { return OpenCall(backend, call).Get(); }

std::size_t RowCount(const std::string& body) {
  rapidjson::Document document;
  document.Parse(body.c_str());
  REQUIRE(document.IsArray());
  return document.Size();
}

TEST_CASE("an answer carries request id, attempt, version, range, boot id, state and load") {
  Backend backend;
  Response answer = Run(backend, {.attempt = "3", .range = "0-2147483648"});
  CHECK(answer.status == 200);
  CHECK(answer["Damask-Request-Id"] == "r1");
  CHECK(answer["Damask-Attempt"] == "3");
  CHECK(answer["Damask-Index-Version"] == "1");
  CHECK(answer["Damask-Range"] == "0-2147483648");
  CHECK(answer["Damask-Boot-Id"] == fmt::format("{}", backend.standin.boot_id()));
  CHECK(answer["Damask-State"] == "warm");
  CHECK(answer["Damask-Inflight"] == "0");
}

TEST_CASE("rows of disjoint ranges add up to the whole index, and filters apply") {
  Backend backend;
  CHECK(RowCount(Run(backend, {}).body) == 1000);
  std::size_t low = RowCount(Run(backend, {.range = "0-1234567890"}).body);
  std::size_t high = RowCount(Run(backend, {.range = "1234567890-4294967296"}).body);
  CHECK(low > 0);
  CHECK(low + high == 1000);
  CHECK(RowCount(Run(backend, {.body = R"({"limit":7})"}).body) == 7);
  std::string body = Run(backend, {.body = R"({"genus":"Zea","min_viability":0.5})"}).body;
  rapidjson::Document rows;
  rows.Parse(body.c_str());
  CHECK(rows.Size() > 0);
  for (const auto& row : rows.GetArray()) {
    CHECK(std::string(row["genus"].GetString()) == "Zea");
    CHECK(row["viability"].GetDouble() >= 0.5);
  }
}

TEST_CASE("replicas with the same seed hold equal rows, and versions differ") {
  Backend a("{}", {{1, {kWholeKeySpace}}, {2, {kWholeKeySpace}}});
  Backend b("{}", {{1, {{0, 1u << 31}}}});
  CHECK(Run(a, {.range = "0-2147483648"}).body == Run(b, {}).body);
  CHECK(Run(a, {}).body != Run(a, {.version = "2"}).body);
}

TEST_CASE("the answer covers only the first of several disjoint held ranges") {
  Backend backend("{}", {{1, {{100, 200}, {300, 400}}}});
  CHECK(Run(backend, {.range = "150-350"})["Damask-Range"] == "150-200");
  CHECK(Run(backend, {.range = "250-350"})["Damask-Range"] == "300-350");
  CHECK(Run(backend, {.range = "200-300"}).status == 409);
}

TEST_CASE("malformed calls are refused and do not run") {
  Backend backend;
  const std::vector<Call> rows = {
      {.id = ""},       {.attempt = "x"}, {.deadline_ms = "-1"},      {.version = ""},
      {.range = "9-1"}, {.body = "[]"},   {.body = "{\"limit\":-1}"}, {.body = "{\"genus\":1}"}};
  for (const Call& call : rows) CHECK(Run(backend, call).status == 400);
  CHECK(backend.standin.Stats().ran == 0);
}

// Unlike the HTTP listener of a node, the stand-in sends no error response here.
TEST_CASE("headers and bodies above the limits end the connection without a response") {
  Backend backend;
  Call call;
  call.id = std::string(20'000, 'x');
  CHECK(Run(backend, call).status == 0);
  HttpTestClient client(backend.standin.endpoint());
  client.SendRaw("POST /control HTTP/1.1\r\nContent-Length: 99000000000\r\n\r\n");
  CHECK(client.Receive().status == 0);
}

TEST_CASE("versions are published and retired at run time, and a 409 lists those held") {
  Backend backend;
  backend.Control(R"({"publish":{"version":2,"ranges":["0-10","10-500"]}})");
  CHECK(Run(backend, {.version = "2"})["Damask-Range"] == "0-500");
  CHECK(Run(backend, {.version = "3"})["Damask-Versions"] == "1,2");
  backend.Control(R"({"retire":1})");
  Response gone = Run(backend, {});
  CHECK(gone.status == 409);
  CHECK(gone["Damask-Versions"] == "2");
}

TEST_CASE(
    "calls above the slots wait, those above the queue are shed, and cancelling frees a slot") {
  Backend backend(R"({"slots":1,"queue_length":1,"service_time":"3600s"})");
  OpenCall first(backend, {.id = "r1"});
  backend.WaitReceived(1);
  OpenCall second(backend, {.id = "r2"});
  backend.WaitReceived(2);
  CHECK(Run(backend, {.id = "r3"}).status == 503);
  CHECK(backend.standin.Stats().ran == 1);
  HttpTestClient canceller(backend.standin.endpoint());
  CHECK(canceller.Call("DELETE", "/shard/calls/r1/1").status == 404);
  CHECK(canceller.Call("DELETE", "/shard/calls/r1/0").status == 200);
  CHECK(first.Get().status == 499);
  CHECK(backend.standin.Stats().ran == 2);
  backend.Control(R"({"service_time":"0ms"})");
  first.client.Send("POST", "/shard/query", Call{.id = "r4"}.Headers(), "{}");
  backend.WaitReceived(4);
  CHECK(canceller.Call("DELETE", "/shard/calls/r2/0").status == 200);
  CHECK(second.Get().status == 499);
  CHECK(first.Get().status == 200);
  CHECK(backend.standin.Stats().max_concurrent_warm == 2);
}

TEST_CASE("a closed connection stops a query, but not a running action") {
  Backend backend(R"({"slots":1,"service_time":"3600s"})");
  OpenCall query(backend, {});
  backend.WaitReceived(1);
  query.client.Close();
  while (backend.standin.Stats().disconnected < 1) std::this_thread::yield();
  OpenCall running(backend, {.action = "a1"});
  backend.WaitReceived(2);
  OpenCall waiting(backend, {.action = "a2"});
  backend.WaitReceived(3);
  running.client.Close();
  waiting.client.Close();
  while (backend.standin.Stats().disconnected < 2) std::this_thread::yield();
  CHECK(backend.standin.RunCount("a1") == 1);
  CHECK(backend.standin.RunCount("a2") == 0);
}

TEST_CASE("a call whose deadline has passed is not started") {
  Backend backend(R"({"slots":1,"service_time":"3600s"})");
  CHECK(Run(backend, {.deadline_ms = "0"}).status == 504);
  CHECK(backend.standin.Stats().ran == 0);
  OpenCall action(backend, {.action = "a1"});
  backend.WaitReceived(2);
  CHECK(Run(backend, {.deadline_ms = "1", .action = "a2"}).status == 504);
  CHECK(backend.standin.RunCount("a2") == 0);
}

TEST_CASE("calls above the cold limit are counted, and overload keeps the server cold") {
  Backend backend(R"({"slots":3,"cold_slots":1,"cold_calls":1,"turn_cold":true,
                      "service_time":"3600s"})");
  BootId boot_id = backend.standin.boot_id();
  OpenCall first(backend, {});
  backend.WaitReceived(1);
  CHECK(backend.standin.Stats().cold_overload == 0);
  OpenCall second(backend, {.id = "r2"});
  backend.WaitReceived(2);
  CHECK(backend.standin.Stats().cold_overload == 1);
  CHECK(backend.standin.Stats().max_concurrent_cold == 2);
  CHECK(backend.standin.Stats().max_concurrent_warm == 0);
  backend.Control(R"({"service_time":"0ms"})");
  HttpTestClient canceller(backend.standin.endpoint());
  CHECK(canceller.Call("DELETE", "/shard/calls/r1/0")["Damask-State"] == "cold");
  CHECK(Run(backend, {})["Damask-State"] == "warm");
  CHECK(backend.standin.boot_id() == boot_id);
}

TEST_CASE("the crash marker resets all connections; the server restarts cold with a new boot id") {
  Backend backend(R"({"restart_delay":"0ms","service_time":"3600s","cold_calls":0})");
  BootId old_boot_id = backend.standin.boot_id();
  OpenCall other_call(backend, {});
  backend.WaitReceived(1);
  CHECK(Run(backend, {.body = R"({"q":"damask-crash"})"}).status == 0);
  CHECK(other_call.Get().status == 0);
  while (backend.standin.boot_id() == old_boot_id) std::this_thread::yield();
  backend.Control(R"({"service_time":"0ms"})");
  CHECK(Run(backend, {})["Damask-State"] == "cold");
  CHECK(backend.standin.Stats().crashes == 1);
}

TEST_CASE("a draining server refuses new calls and keeps running ones") {
  Backend backend(R"({"service_time":"3600s"})");
  OpenCall running(backend, {.id = "r1"});
  backend.WaitReceived(1);
  backend.Control(R"({"drain":true})");
  Response refused = Run(backend, {.id = "r2"});
  CHECK(refused.status == 503);
  CHECK(refused["Damask-State"] == "draining");
  CHECK(refused["Damask-Inflight"] == "1");
  backend.Control(R"({"drain":false,"service_time":"0ms"})");
  CHECK(Run(backend, {.id = "r3"}).status == 200);
}

TEST_CASE("each fault affects the next call only") {
  struct Row {
    Fault fault;
    int status;
    std::uint64_t runs;
    const char* header;  // Header with a wrong value; empty if none.
  };
  const std::vector<Row> rows = {
      {Fault::kShed, 503, 0, ""},
      {Fault::kResetBeforeRun, 0, 0, ""},
      {Fault::kResetAfterRun, 0, 1, ""},
      {Fault::kLateAnswer, 200, 1, ""},
      {Fault::kWrongRequestId, 200, 1, "Damask-Request-Id"},
      {Fault::kWrongAttempt, 200, 1, "Damask-Attempt"},
      {Fault::kWrongVersion, 200, 1, "Damask-Index-Version"},
      {Fault::kWrongRange, 200, 1, "Damask-Range"},
  };
  for (const Row& row : rows) {
    std::string name(kFaultNames[static_cast<std::size_t>(row.fault)]);
    CAPTURE(name);
    Backend backend(R"({"late_delay":"0ms"})");
    backend.Control(fmt::format(R"({{"faults":{{"{}":{{"next":1}}}}}})", name));
    Call call{.range = "5-4294967290", .action = "a1"};
    Response faulty = Run(backend, call);
    CHECK(faulty.status == row.status);
    CHECK(backend.standin.RunCount("a1") == row.runs);
    CHECK(backend.standin.RequestCount("r1") == 1);
    Response next = Run(backend, call);
    CHECK(next.status == 200);
    if (*row.header != '\0') CHECK(faulty[row.header] != next[row.header]);
  }
}

TEST_CASE("faulty answers: duplicate headers, truncated JSON, no answer") {
  Backend backend(R"({"faults":{"duplicate_headers":{"next":1}}})");
  CHECK(Run(backend, {}).headers.count("Damask-Attempt") == 2);
  backend.Control(R"({"faults":{"malformed_json":{"next":1}}})");
  rapidjson::Document document;
  CHECK(document.Parse(Run(backend, {}).body.c_str()).HasParseError());
  backend.Control(R"({"faults":{"no_answer":{"next":1}}})");
  OpenCall unanswered(backend, {});
  backend.WaitReceived(3);
  CHECK(Run(backend, {}).status == 200);
  CHECK(backend.standin.Stats().answered == 3);
}

TEST_CASE("health and load can be stale or false while answers carry the true state") {
  Backend backend(R"({"state_lag":"86400s"})");
  HttpTestClient client(backend.standin.endpoint());
  std::string before = client.Call("GET", "/health").body;
  CHECK(before.find(R"("state":"warm")") != std::string::npos);
  CHECK(before.find(R"("versions":[{"version":1,"ranges":["0-4294967296"]}])") !=
        std::string::npos);
  backend.Control(R"({"turn_cold":true,"cold_calls":0})");
  CHECK(client.Call("GET", "/health").body == before);
  CHECK(Run(backend, {})["Damask-State"] == "cold");
  backend.Control(R"({"state_lag":"0ms","reported_state":"warm","reported_in_flight":"77"})");
  CHECK(client.Call("GET", "/load").body.find(R"("state":"warm","boot_id")") != std::string::npos);
  CHECK(client.Call("GET", "/load").body.find(R"("in_flight":77)") != std::string::npos);
  backend.Control(R"({"reported_state":"","hide_cold":true})");
  CHECK(client.Call("GET", "/load").body.find(R"("state":"cold")") != std::string::npos);
  CHECK(Run(backend, {})["Damask-State"] == "warm");
}

TEST_CASE("connections above the limit are reset") {
  Backend backend(R"({"connections":1})");
  HttpTestClient first(backend.standin.endpoint());
  CHECK(first.Call("GET", "/health").status == 200);
  HttpTestClient second(backend.standin.endpoint());
  CHECK(second.Call("GET", "/health").status == 0);
  CHECK(first.Call("GET", "/health").status == 200);
}

TEST_CASE("the log lists each run of an action and counts the requests per request id") {
  Backend backend;
  Run(backend, {.id = "r1", .attempt = "0", .action = "a1"});
  Run(backend, {.id = "r1", .attempt = "1", .action = "a1"});
  Run(backend, {.id = "r2"});
  CHECK(backend.standin.Stats().actions_repeated == 1);
  HttpTestClient client(backend.standin.endpoint());
  CHECK(client.Call("GET", "/control/log").body ==
        R"({"actions":[{"action_id":"a1","attempt":0,"request_id":"r1"},)"
        R"({"action_id":"a1","attempt":1,"request_id":"r1"}],"wire":{"r1":2,"r2":1}})");
}

TEST_CASE("a malformed control message is refused") {
  Backend backend;
  for (const char* json :
       {"", "[]", R"({"slots":0})", R"({"slots":-1})", R"({"slot":1})", R"({"service_time":5})",
        R"({"service_time":"5m"})", R"({"straggler_probability":1.5})", R"({"turn_cold":false})",
        R"({"faults":{"x":1}})", R"({"faults":{"shed":2}})", R"({"publish":{"version":1}})",
        R"({"publish":{"version":1,"ranges":["5-1"]}})", R"({"retire":"x"})"}) {
    CAPTURE(json);
    CHECK_FALSE(backend.standin.Control(json).ok());
  }
}

TEST_CASE("the control port reaches a backend server that is down") {
  Backend backend(R"({"restart_delay":"3600s"})");
  LoopThread control_loop;
  ControlStandin control(control_loop, {&backend.standin});
  REQUIRE(control.Start({"127.0.0.1", 0}).ok());
  HttpTestClient client(control.endpoint());
  CHECK(client.Call("POST", "/b1/control", {}, R"({"crash":true})").status == 200);
  CHECK(Run(backend, {}).status == 0);
  CHECK(client.Call("GET", "/b1/control/stats").body.find(R"("state":"down")") !=
        std::string::npos);
  CHECK(client.Call("GET", "/control/stats").body.starts_with("[{"));
  CHECK(client.Call("GET", "/b1/control/log").status == 200);
  CHECK(client.Call("GET", "/b2/control/stats").status == 404);
  CHECK(client.Call("POST", "/b1/control", {}, "{").status == 400);
}

}  // namespace
}  // namespace damaskroute::standins
