#include "damaskroute/config/config_decoder.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

#include "damaskroute/config/config_codec.h"
#include "damaskroute/core/random.h"

namespace damaskroute {
namespace {

BackendServer MakeBackend(const std::string& name) {
  BackendServer backend;
  backend.name = name;
  backend.zone = "zone-a";
  backend.endpoint = {"10.0.0.1", 9000};
  return backend;
}

ConfigDocument MakeConfig(int services) {
  ConfigDocument config;
  config.zones.push_back({"zone-a", "region", {}});
  for (int i = 0; i < services; ++i) {
    Service service;
    service.name = fmt::format("service-{:02}", i);
    service.customer = "customer";
    for (int k = 0; k < 3; ++k) {
      service.backends.push_back(MakeBackend(fmt::format("backend-{:02}-{}", i, k)));
    }
    config.services.push_back(service);
  }
  return config;
}

std::shared_ptr<const std::string> Encode(const ConfigDocument& config) {
  return std::make_shared<const std::string>(*EncodeConfig(config));
}

// Guards against reusing a service of the previous revision although its bytes differ or have
// moved.
TEST_CASE("each revision is decoded to the same document as without previous revisions") {
  Random random(3);
  ConfigDecoder decoder;
  ConfigDocument config = MakeConfig(8);
  for (int step = 0; step < 2000; ++step) {
    ++config.revision;
    std::size_t at = random.Below(config.services.size() + 1);
    Service added = MakeConfig(1).services[0];
    added.name = fmt::format("service-{:02}-{}", random.Below(20), step);
    switch (random.Below(6)) {
      case 0:
        config.services.insert(config.services.begin() + static_cast<std::ptrdiff_t>(at), added);
        break;
      case 1:
        if (at < config.services.size()) {
          config.services.erase(config.services.begin() + static_cast<std::ptrdiff_t>(at));
        }
        break;
      case 2:
        if (at < config.services.size() && !config.services[at].backends.empty()) {
          config.services[at].backends.pop_back();
        }
        break;
      case 3:
        if (at < config.services.size()) config.services[at].customer += 'x';
        break;
      case 4:
        config.change_id += 'y';
        break;
      default:
        // Not sorted by name; the codec accepts any order.
        if (at < config.services.size()) std::swap(config.services[0], config.services[at]);
    }
    auto bytes = Encode(config);
    auto decoded = decoder.Decode(bytes);
    REQUIRE(decoded.ok());
    REQUIRE(*decoded == *DecodeConfig(*bytes));
    REQUIRE(*decoded == config);
  }
}

// Guards against decoding all services on each change.
TEST_CASE("unchanged services share their backend servers with the previous revision") {
  ConfigDecoder decoder;
  ConfigDocument config = MakeConfig(5);
  auto before = decoder.Decode(Encode(config));
  config.services[2].backends.push_back(MakeBackend("added"));
  config.services.erase(config.services.begin());
  auto after = decoder.Decode(Encode(config));
  REQUIRE(before.ok());
  REQUIRE(after.ok());
  REQUIRE(after->services.size() == 4);
  auto shares = [&](std::size_t new_index, std::size_t old_index) {
    return after->services[new_index].backends.SharesWith(before->services[old_index].backends);
  };
  CHECK_FALSE(shares(1, 2));
  CHECK(shares(2, 3));
  CHECK(shares(3, 4));
}

// Guards against a change to one revision that is visible in another one.
TEST_CASE("modifying a decoded document does not affect other revisions") {
  ConfigDecoder decoder;
  ConfigDocument config = MakeConfig(2);
  auto first = decoder.Decode(Encode(config));
  REQUIRE(first.ok());
  first->services[0].backends[0].slots = 99;
  first->services[1].backends.clear();
  auto second = decoder.Decode(Encode(config));
  REQUIRE(second.ok());
  CHECK(*second == config);
}

// Guards against a refused document that corrupts the decoding of the next one.
TEST_CASE("invalid bytes are refused and do not affect the next revision") {
  ConfigDecoder decoder;
  ConfigDocument config = MakeConfig(3);
  auto bytes = Encode(config);
  REQUIRE(decoder.Decode(bytes).ok());
  for (std::size_t size = 0; size < bytes->size(); ++size) {
    auto truncated = std::make_shared<const std::string>(bytes->substr(0, size));
    CHECK(absl::IsInvalidArgument(decoder.Decode(truncated).status()));
  }
  auto longer = std::make_shared<const std::string>(*bytes + 'x');
  CHECK(absl::IsInvalidArgument(decoder.Decode(longer).status()));
  config.services[1].customer = "other";
  auto decoded = decoder.Decode(Encode(config));
  REQUIRE(decoded.ok());
  CHECK(*decoded == config);
}

}  // namespace
}  // namespace damaskroute
