#include "damaskroute/config/declaration.h"

#include <doctest/doctest.h>

#include <set>

#include "damaskroute/config/config_codec.h"

namespace damaskroute {
namespace {

constexpr char kValid[] =
    "zones:\n"
    "  - {name: a, region: north}\n"
    "  - {name: b, state: out}\n"
    "services:\n"
    "  - name: desk\n"
    "    customer: shop\n"
    "    warm_up: 3s\n"
    "    backend_defaults: {slots: 3, connections: 30}\n"
    "    backends:\n"
    "      - {name: desk-2, zone: b, address: \"127.0.0.1:9002\", intent: leaving}\n"
    "      - {name: desk-1, zone: a, address: \"127.0.0.1:9001\", slots: 4, cold_slots: 2}\n"
    "fronts:\n"
    "  - {name: desk, service: desk, default_deadline: 500ms, objective: {latency: 70ms}}\n";

std::string ErrorOf(const std::string& text) {
  return std::string(ParseDeclaration({{"f.yaml", text}}).status().message());
}

std::string WithReplaced(const std::string& from, const std::string& to) {
  std::string text = kValid;
  std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

TEST_CASE("a declaration is parsed with defaults and units, and its entries are sorted by name") {
  absl::StatusOr<ConfigDocument> document = ParseDeclaration({{"f.yaml", kValid}});
  REQUIRE_MESSAGE(document.ok(), document.status().message());
  CHECK(document->revision == 0);
  CHECK(document->FindZone("b")->state == ZoneState::kOut);
  const Service& desk = document->services.at(0);
  CHECK(desk.warm_up == std::chrono::seconds(3));
  BackendServer first{"desk-1", "a", {"127.0.0.1", 9001}, 4, 2, 30, BackendIntent::kServing};
  BackendServer second{"desk-2", "b", {"127.0.0.1", 9002}, 3, 1, 30, BackendIntent::kLeaving};
  CHECK(desk.backends == std::vector<BackendServer>{first, second});
  CHECK(document->FindFront("desk")->objective.latency == std::chrono::milliseconds(70));
}

TEST_CASE("each mistake is refused with its position instead of being replaced by a default") {
  CHECK(ErrorOf(WithReplaced("region: north", "regoin: north")) ==
        "f.yaml:2:15: expected one of the keys name, region, state, found \"regoin\"");
  CHECK(ErrorOf(WithReplaced("warm_up: 3s", "warm_up: 3")) ==
        "f.yaml:7:14: warm_up: expected a whole number with a unit us, ms, s, min or h, found "
        "\"3\"");
  CHECK(ErrorOf(WithReplaced("latency: 70ms", "latency: 70us")) ==
        "f.yaml:13:79: latency: expected a time span from 1ms to 1min in steps of 1ms, found "
        "\"70us\"");
  CHECK(ErrorOf(WithReplaced("slots: 4", "slots: many")) ==
        "f.yaml:11:67: slots: expected a whole number from 1 to 10000, found \"many\"");
  CHECK(ErrorOf(WithReplaced("cold_slots: 2", "cold_slots: 5")) ==
        "f.yaml:11:82: cold_slots: expected a whole number from 1 to 4, found \"5\"");
  CHECK(ErrorOf(WithReplaced("zone: a", "zone: c")) ==
        "f.yaml:11:30: zone: expected the name of a declared zone, found \"c\"");
  CHECK(ErrorOf(WithReplaced("service: desk", "service: disk")) ==
        "f.yaml:13:27: service: expected the name of a declared service, found \"disk\"");
  CHECK(ErrorOf(WithReplaced("9001", "9002")) ==
        "f.yaml:11:42: address: expected a backend server address that is not used before, found "
        "\"127.0.0.1:9002\"");
  CHECK(ErrorOf(WithReplaced("state: out", "state: off")) ==
        "f.yaml:3:22: state: expected one of serving, out, found \"off\"");
  CHECK(ErrorOf(WithReplaced("customer: shop", "customer: [shop]")) ==
        "f.yaml:6:15: customer: expected a name");
  CHECK(ErrorOf(WithReplaced("    customer: shop\n", "")) ==
        "f.yaml:5:5: customer: expected a name, the key is missing");
  CHECK(ErrorOf(WithReplaced("customer: shop", "name: other")) ==
        "f.yaml:6:5: expected the key \"name\" only once");
  CHECK(ErrorOf("zones: 7\n") == "f.yaml:1:8: zones: expected a list of at most 100000 mappings");
  CHECK(ErrorOf("zones: [\n").find("f.yaml:2:") == 0);
  CHECK(ErrorOf("- a\n") == "f.yaml:1:1: expected a mapping");
}

TEST_CASE(
    "the encoding is deterministic, and truncated, extended or altered bytes never decode to the "
    "document") {
  ConfigDocument document = *ParseDeclaration({{"f.yaml", kValid}});
  document.revision = 7;
  document.change_id = "plan-1";
  std::string bytes = *EncodeConfig(document);
  CHECK(bytes == *EncodeConfig(document));
  CHECK(*DecodeConfig(bytes) == document);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeConfig(std::string_view(bytes).substr(0, size)).ok());
  }
  CHECK_FALSE(DecodeConfig(bytes + "x").ok());
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string altered = bytes;
    altered[i] = static_cast<char>(altered[i] ^ 0xff);
    absl::StatusOr<ConfigDocument> decoded = DecodeConfig(altered);
    if (decoded.ok()) CHECK_FALSE(*decoded == document);
  }
  document.change_id = std::string(2000, 'x');
  CHECK_FALSE(EncodeConfig(document).ok());
  CHECK(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE(
    "the example declarations are valid and have the expected number of services and backend "
    "servers") {
  struct Expected {
    const char* customer;
    std::size_t services;
    std::size_t backends;
  };
  std::set<Endpoint> addresses;
  std::size_t total = 0;
  for (const Expected& expected : {Expected{"semillero", 52, 138}, Expected{"brekke", 52, 113}}) {
    auto files =
        ReadDeclarationFiles(std::string(DAMASKROUTE_SOURCE_DIR "/examples/") + expected.customer);
    REQUIRE(files.ok());
    absl::StatusOr<ConfigDocument> document = ParseDeclaration(*files);
    REQUIRE_MESSAGE(document.ok(), document.status().message());
    CHECK(document->zones.size() == 3);
    CHECK(document->services.size() == expected.services);
    CHECK(document->fronts.size() == expected.services);
    std::size_t backends = 0;
    for (const Service& service : document->services) {
      for (const BackendServer& backend : service.backends) addresses.insert(backend.endpoint);
      backends += service.backends.size();
    }
    CHECK(backends == expected.backends);
    total += backends;
  }
  CHECK(addresses.size() == total);
}

}  // namespace
}  // namespace damaskroute
