#include <doctest/doctest.h>

#include "damaskroute/core/snapshot.h"
#include "damaskroute/ctl/ctl.h"
#include "damaskroute/intent/intent_server.h"
#include "damaskroute/intent/intent_service.h"
#include "tests/fake_config_store.h"
#include "tests/support/http_call.h"

namespace damaskroute {
namespace {

TEST_CASE("applies a customer's example, takes a zone out of service and rolls back") {
  FakeConfigStore store;
  Snapshot<ConfigDocument> current;
  IntentHooks hooks;
  hooks.current = [&] { return current.Load(); };
  hooks.on_committed = [&](const ConfigDocument& document) { current.Publish(document); };
  IntentService<FakeConfigStore> service(&store, Planner(), hooks);
  IntentOperations operations = MakeIntentOperations(&service);
  Endpoint address = testing::FreeEndpoint();
  auto server = IntentServer::Start({address, "operators-secret-0123", 4}, operations);
  REQUIRE_MESSAGE(server.ok(), server.status().message());

  std::string err;
  CtlOptions options;
  options.endpoint = FormatEndpoint(address);
  options.token = "operators-secret-0123";
  options.yes = true;
  auto run = [&](const std::vector<std::string>& arguments) {
    CtlIo io;
    io.out = [](const std::string&) {};
    io.err = [&](const std::string& text) { err += text; };
    io.call = PerformHttpCall;
    return Ctl(options, io).Run(arguments);
  };

  options.file = DAMASKROUTE_SOURCE_DIR "/examples/semillero";
  REQUIRE(run({"apply"}) == ExitCode::kOk);
  CHECK(ReadHead(store)->head.revision() == 1);
  options.file.clear();
  // Services with two backend servers lose half of their capacity, which requires an override.
  CHECK(run({"zone", "out", "bogota-a"}) == ExitCode::kOverrideRequired);
  options.override_warnings = true;
  CHECK(run({"zone", "out", "bogota-a"}) == ExitCode::kOk);
  CHECK(run({"zone", "out", "oslo"}) == ExitCode::kNotFound);
  CHECK(run({"rollback", "1"}) == ExitCode::kOk);
  CHECK(run({"history"}) == ExitCode::kOk);
  CHECK(run({"config"}) == ExitCode::kOk);
  options.token = "not-the-secret-4567";
  CHECK(run({"history"}) == ExitCode::kUnauthorized);
  // No message may contain a token.
  CHECK(err.find("secret") == std::string::npos);

  server->reset();
  CHECK(current.Load()->revision == 3);
  CHECK(current.Load()->FindZone("bogota-a")->state == ZoneState::kServing);
}

}  // namespace
}  // namespace damaskroute
