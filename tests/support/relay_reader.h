#ifndef TESTS_SUPPORT_RELAY_READER_H_
#define TESTS_SUPPORT_RELAY_READER_H_

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "damaskroute/core/hash.h"
#include "damaskroute/relay/change_relay.h"
#include "damaskroute/relay/relay_choice.h"
#include "tests/support/platform_world.h"

namespace damaskroute {

/// Stands in for a node that follows the store and passes its changes on.
struct RelayReader {
  RelayReader(PlatformWorld& world, const NodeName& name, std::function<Duration()> age)
      : loop(world.loop), endpoint(standins::StableEndpoint()) {
    loop.Run([&] {
      relay = std::make_unique<ChangeRelay>(loop.io(), endpoint, std::move(age));
      (void)relay->Start();
      relay->OnAllRead(1);
    });
    world.store.Write(platform::kNodePrefix + name, RenderNodeRecord({"a", endpoint}));
  }
  ~RelayReader() {
    loop.Run([this] { relay.reset(); });
  }
  void Announce(const StoreItem& item) {
    loop.Run([&] { relay->OnChanges({{item}, false, item.revision, false}); });
  }

  standins::Loop& loop;
  Endpoint endpoint;
  std::unique_ptr<ChangeRelay> relay;
};

/// As many readers as the node of `world` may follow. `age`: of what they know.
inline std::vector<std::unique_ptr<RelayReader>> MakeReaders(PlatformWorld& world,
                                                             const std::function<Duration()>& age) {
  std::vector<std::unique_ptr<RelayReader>> readers;
  for (int i = 0; readers.size() < kLeastReaders; ++i) {
    NodeName name = "reader-" + std::to_string(i);
    // Readers are the nodes whose names have the least hashes.
    if (Hash64(name) < Hash64("node-1")) {
      readers.push_back(std::make_unique<RelayReader>(world, name, age));
    }
  }
  return readers;
}

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_RELAY_READER_H_
