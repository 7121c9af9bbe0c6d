#ifndef DAMASKROUTE_RELAY_RELAYED_PAGE_H_
#define DAMASKROUTE_RELAY_RELAYED_PAGE_H_

#include <chrono>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/core/time.h"
#include "damaskroute/store/store_page.h"

namespace damaskroute {

/// Changes as a node sends them to a follower.
struct RelayedPage {
  StorePage page;
  /// Time since the store confirmed the page's revision, at the sender.
  std::chrono::microseconds age{};
  /// How long the sender held the request, so that the receiver can compute the network delay.
  std::chrono::microseconds held{};
};

/// Age of a page that was requested at `sent` and received at `now`, including the network delay of
/// the response.
Duration AgeOnArrival(const RelayedPage& relayed, TimePoint sent, TimePoint now);

/// Encodes a page in binary form. The nodes of one network trust each other; the decoder still
/// accepts any bytes.
std::string EncodeRelayedPage(const RelayedPage& relayed);

/// Decodes a page; InvalidArgument if the bytes are not exactly one page.
absl::StatusOr<RelayedPage> DecodeRelayedPage(std::string_view bytes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_RELAY_RELAYED_PAGE_H_
