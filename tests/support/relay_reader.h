#ifndef TESTS_SUPPORT_RELAY_READER_H_
#define TESTS_SUPPORT_RELAY_READER_H_

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "damaskroute/core/hash.h"
#include "damaskroute/relay/change_relay.h"
#include "damaskroute/relay/relay_choice.h"
#include "tests/support/platform_fixture.h"

namespace damaskroute {

/// Stand-in for a reader: a node that reads the store and relays its changes.
struct RelayReader {
  RelayReader(PlatformFixture& world, const NodeName& node_name, std::function<Duration()> age)
      : loop(world.loop), name(node_name), endpoint(standins::NonEphemeralEndpoint()) {
    loop.Run([&] {
      relay =
          std::make_unique<ChangeRelay>(loop.io(), endpoint, std::move(age), ChangeRelay::Limits());
      (void)relay->Start();
      relay->OnAllRead(1, /*era=*/1);
    });
    world.store.Write(platform::kNodePrefix + name, RenderNodeRecord({"a", endpoint}));
  }
  ~RelayReader() {
    loop.Run([this] { relay.reset(); });
  }
  void Announce(const StoreItem& item) {
    loop.Run([&] { relay->OnChanges({{item}, false, item.revision, 1, false}); });
  }

  standins::LoopThread& loop;
  NodeName name;
  Endpoint endpoint;
  std::unique_ptr<ChangeRelay> relay;
};

/// Creates as many readers as the node of `world` may follow. `age` returns the age of their data.
inline std::vector<std::unique_ptr<RelayReader>> MakeReaders(PlatformFixture& world,
                                                             const std::function<Duration()>& age) {
  std::vector<std::unique_ptr<RelayReader>> readers;
  for (int i = 0; readers.size() < kMinReaders; ++i) {
    NodeName name = "reader-" + std::to_string(i);
    // Readers are the nodes whose names have the lowest hashes.
    if (Hash64(name) < Hash64("node-1")) {
      readers.push_back(std::make_unique<RelayReader>(world, name, age));
    }
  }
  return readers;
}

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_RELAY_READER_H_
