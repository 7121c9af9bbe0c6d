#include "damaskroute/intent/intent_server.h"

#include <doctest/doctest.h>

#include "cpprest/http_client.h"
#include "damaskroute/core/snapshot.h"
#include "damaskroute/intent/bearer_token.h"
#include "damaskroute/intent/intent_service.h"
#include "fmt/format.h"
#include "rapidjson/document.h"
#include "tests/fake_config_store.h"
#include "tests/support/http_call.h"

namespace damaskroute {
namespace {

constexpr char kToken[] = "operators-secret-0123";

constexpr char kDeclaration[] =
    "zones: [{name: a}, {name: b}]\n"
    "services:\n"
    "  - name: desk\n"
    "    customer: shop\n"
    "    backend_defaults: {slots: 3, connections: 30}\n"
    "    backends:\n"
    "      - {name: desk-1, zone: a, address: \"127.0.0.1:9001\"}\n"
    "      - {name: desk-2, zone: b, address: \"127.0.0.1:9002\"}\n"
    "fronts: [{name: desk, service: desk}]\n";

// The intent service of one node, without the HTTP server.
struct Node {
  explicit Node(FakeConfigStore* store) : service(store, Planner(), Hooks()) {}

  IntentHooks Hooks() {
    IntentHooks hooks;
    hooks.current = [this] { return snapshot.Load(); };
    hooks.on_committed = [this](const ConfigDocument& document) { snapshot.Publish(document); };
    hooks.pause = [](int) {};
    hooks.wall_time = [] { return std::chrono::system_clock::time_point(std::chrono::hours(1)); };
    return hooks;
  }

  Snapshot<ConfigDocument> snapshot;
  IntentService<FakeConfigStore> service;
};

std::string TextOf(const HttpResponse& reply, const char* key) {
  rapidjson::Document document;
  document.Parse(reply.body.data(), reply.body.size());
  REQUIRE(document.IsObject());
  REQUIRE(document.HasMember(key));
  return document[key].GetString();
}

std::string MakePlanId(Node& node, const PlanRequest& request) {
  HttpResponse reply = node.service.MakePlan(PlanRequestJson(request), false);
  REQUIRE_MESSAGE(reply.status == 200, reply.body);
  return TextOf(reply, "id");
}

void PlanAndConfirm(Node& node, const PlanRequest& request, bool override_warnings = false) {
  HttpResponse reply = node.service.Confirm(MakePlanId(node, request),
                                            ConfirmRequestJson({override_warnings, false, {}}));
  REQUIRE_MESSAGE(reply.status == 200, reply.body);
}

PlanRequest Files(const std::string& text = kDeclaration) {
  return std::vector<DeclarationFile>{{"f.yaml", text}};
}

TEST_CASE(
    "a plan changes nothing until it is confirmed, and a repeated confirmation changes nothing") {
  FakeConfigStore store;
  Node node(&store);
  std::string id = MakePlanId(node, Files());
  CHECK(MakePlanId(node, Files()) == id);
  CHECK(store.values().empty());
  CHECK(node.service.Confirm(id, "").status == 200);
  CHECK(node.snapshot.Load()->revision == 1);
  std::size_t values = store.values().size();
  HttpResponse repeated = node.service.Confirm(id, "");
  CHECK(repeated.body ==
        fmt::format("{{\"revision\":1,\"change_id\":\"{}\",\"committed\":true}}", id));
  CHECK(store.values().size() == values);
  // A plan without differences commits nothing.
  CHECK(node.service.Confirm(MakePlanId(node, Files()), "").status == 200);
  CHECK(ReadHead(store)->head.revision() == 1);
  CHECK(node.service.History().body ==
        fmt::format("{{\"revisions\":[{{\"revision\":1,\"committed_at\":\"1970-01-01T01:00:00Z\","
                    "\"change_id\":\"{}\",\"summary\":\"{}\"}}]}}",
                    id, ReadHead(store)->head.entries[0].summary));
}

TEST_CASE("confirming a stale plan fails with 409 and lists the changes since") {
  FakeConfigStore store;
  Node first(&store);
  Node second(&store);
  PlanAndConfirm(first, Files());
  std::string stale = MakePlanId(second, BackendRequest{"desk-1", BackendIntent::kLeaving});
  PlanAndConfirm(first, ZoneRequest{"a", ZoneState::kOut}, true);
  HttpResponse reply = second.service.Confirm(stale, "{\"override\":true}");
  CHECK(reply.status == 409);
  CHECK(TextOf(reply, "type") == "stale_plan");
  CHECK(TextOf(reply, "detail") ==
        "the plan was made for revision 1, revision 2 is in force; revision 2: zone a goes out");
  CHECK(ReadHead(store)->head.revision() == 2);
}

TEST_CASE("a plan with severe warnings is refused without override") {
  FakeConfigStore store;
  Node node(&store);
  PlanAndConfirm(node, Files());
  std::string id = MakePlanId(node, ZoneRequest{"a", ZoneState::kOut});
  HttpResponse reply = node.service.Confirm(id, "");
  CHECK(reply.status == 428);
  CHECK(TextOf(reply, "detail") == "service desk is overloaded: 3.6 slots busy (assumed), 3 left");
  CHECK(ReadHead(store)->head.revision() == 1);
  CHECK(node.service.Confirm(id, "{\"override\":true}").status == 200);
  CHECK(node.snapshot.Load()->FindZone("a")->state == ZoneState::kOut);
}

TEST_CASE("another node confirms a plan from its request, before and after it takes effect") {
  FakeConfigStore store;
  Node first(&store);
  Node second(&store);
  std::string id = MakePlanId(first, Files());
  CHECK(second.service.Confirm(id, "").status == 404);
  std::string body = ConfirmRequestJson({false, true, Files()});
  CHECK(second.service.Confirm(id, body).status == 200);
  CHECK(first.service.Confirm(id, body).status == 200);
  CHECK(ReadHead(store)->head.revision() == 1);
  // The other node reads the base revision from the store, since it has an older one.
  std::string out = MakePlanId(first, ZoneRequest{"b", ZoneState::kOut});
  CHECK(second.service
            .Confirm(out, ConfirmRequestJson({true, true, ZoneRequest{"b", ZoneState::kOut}}))
            .status == 200);
}

TEST_CASE("a rollback restores an earlier revision as a new one") {
  FakeConfigStore store;
  Node node(&store);
  PlanAndConfirm(node, Files());
  PlanAndConfirm(node, ZoneRequest{"a", ZoneState::kOut}, true);
  PlanAndConfirm(node, RollbackRequest{1});
  CHECK(node.snapshot.Load()->revision == 3);
  CHECK(node.snapshot.Load()->FindZone("a")->state == ZoneState::kServing);
  CHECK(node.service.MakePlan(PlanRequestJson(RollbackRequest{9}), false).status == 404);
}

// Guards against a commit that is reported as successful although no node installs it.
TEST_CASE("changes are refused while the store has been restored to an older state") {
  FakeConfigStore store;
  Node node(&store);
  PlanAndConfirm(node, Files());
  std::string plan = MakePlanId(node, ZoneRequest{"a", ZoneState::kOut});
  ConfigDocument newer = *node.snapshot.Load();
  newer.revision = 5;
  node.snapshot.Publish(newer);
  CHECK(node.service.MakePlan(PlanRequestJson(ZoneRequest{"a", ZoneState::kOut}), false).status ==
        503);
  CHECK(node.service.Confirm(plan, ConfirmRequestJson({true, false, {}})).status == 503);
  CHECK(node.service.History().status == 200);
}

TEST_CASE(
    "an unavailable store gives 503, and invalid requests give 400 with the position of the "
    "error") {
  FakeConfigStore store;
  Node node(&store);
  store.set_fault(FakeConfigStore::Fault::kUnavailable);
  HttpResponse reply = node.service.MakePlan(kDeclaration, true);
  CHECK(reply.status == 503);
  CHECK(TextOf(reply, "type") == "store_unavailable");
  reply = node.service.MakePlan("zones: 7", true);
  CHECK(reply.status == 400);
  CHECK(TextOf(reply, "detail").find("declaration:1:8: ") == 0);
  for (const char* body : {"", "{}", "[]", "{\"zone\":\"a\"}", "{\"zone\":\"a\",\"state\":\"x\"}",
                           "{\"rollback_to\":-1}", "{\"files\":[{}]}", "{\"files\":[],\"x\":1}"}) {
    CHECK(node.service.MakePlan(body, false).status == 400);
  }
  CHECK(node.service.Confirm("x", "{\"overide\":true}").status == 400);
}

TEST_CASE("the plan cache is bounded") {
  PlanCache cache(2, 100);
  for (const char* id : {"a", "b", "c"}) cache.Add({id, 0, true, false, "", {}, "bytes"});
  CHECK(cache.Find("a") == nullptr);
  CHECK(cache.Find("b") != nullptr);
  cache.Add({"d", 0, true, false, "", {}, std::string(200, 'x')});
  CHECK(cache.Find("c") == nullptr);
  CHECK(cache.Find("d") != nullptr);
}

TEST_CASE("only the exact token is accepted") {
  CHECK(MatchesBearerToken("Bearer abc", "abc"));
  for (const char* header : {"", "abc", "Bearer", "Bearer ", "Bearer ab", "Bearer abcd"}) {
    CHECK_FALSE(MatchesBearerToken(header, "abc"));
  }
}

web::http::http_response Send(const Endpoint& address, const std::string& method,
                              const std::string& path, const std::string& body,
                              const std::string& token = kToken) {
  web::http::client::http_client client(fmt::format("http://{}", FormatEndpoint(address)));
  web::http::http_request request(method);
  request.set_request_uri(path);
  request.headers().add("Authorization", "Bearer " + token);
  if (method == "POST") request.set_body(body, "application/yaml");
  return client.request(request).get();
}

TEST_CASE("the server routes requests, checks the token and refuses large bodies") {
  FakeConfigStore store;
  Node node(&store);
  IntentOperations operations = MakeIntentOperations(&node.service);
  operations.status = [] { return std::string("{\"revision\":1}"); };
  operations.metrics = [] { return std::string("up 1\n"); };
  IntentServerSettings settings{testing::FreeEndpoint(), kToken, 4};
  auto server = IntentServer::Start(settings, operations);
  REQUIRE_MESSAGE(server.ok(), server.status().message());

  web::http::http_response planned = Send(settings.address, "POST", "/v1/plans", kDeclaration);
  CHECK(planned.status_code() == 200);
  std::string id = planned.extract_json().get().at("id").as_string();
  std::string confirm = "/v1/plans/" + id + "/confirm";
  CHECK(Send(settings.address, "POST", confirm, "", "wrong-token-0123456").status_code() == 401);
  CHECK(ReadHead(store)->head.revision() == 0);
  CHECK(Send(settings.address, "POST", confirm, "").status_code() == 200);
  CHECK(Send(settings.address, "GET", "/v1/config", "").status_code() == 200);
  CHECK(Send(settings.address, "GET", "/v1/history", "").status_code() == 200);
  CHECK(Send(settings.address, "GET", "/metrics", "").extract_string().get() == "up 1\n");
  CHECK(Send(settings.address, "GET", "/v1/status", "").extract_string().get() ==
        "{\"revision\":1}");
  CHECK(Send(settings.address, "GET", "/v1/burn", "").status_code() == 404);
  CHECK(Send(settings.address, "GET", "/v1/status", "", "").status_code() == 401);
  CHECK(Send(settings.address, "DELETE", "/v1/status", "").status_code() == 405);
  CHECK(
      Send(settings.address, "POST", "/v1/plans", std::string((4 << 20) + 1, ' ')).status_code() ==
      413);

  CHECK_FALSE(IntentServer::Start(settings, operations).ok());
  settings.token = "short";
  CHECK_FALSE(IntentServer::Start(settings, operations).ok());
}

}  // namespace
}  // namespace damaskroute
