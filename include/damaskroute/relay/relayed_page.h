#ifndef DAMASKROUTE_RELAY_RELAYED_PAGE_H_
#define DAMASKROUTE_RELAY_RELAYED_PAGE_H_

#include <chrono>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/core/time.h"
#include "damaskroute/store/store_page.h"

namespace damaskroute {

/// Changes as one node passes them on to another.
struct RelayedPage {
  StorePage page;
  /// Time since the store itself confirmed what the page leads up to, at the node that sends it.
  std::chrono::microseconds age{};
  /// How long that node held the call, so that the receiver can tell how long the answer was on its
  /// way.
  std::chrono::microseconds held{};
};

/// Age of a page that was asked for at `sent` and received at `now`. An answer that was held up on
/// its way is older than its sender says.
Duration AgeOnArrival(const RelayedPage& relayed, TimePoint sent, TimePoint now);

/// Binary form. The nodes of one network trust each other; the decoder still accepts any bytes.
std::string EncodeRelayedPage(const RelayedPage& relayed);

/// InvalidArgument if the bytes are not a whole page.
absl::StatusOr<RelayedPage> DecodeRelayedPage(std::string_view bytes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_RELAY_RELAYED_PAGE_H_
