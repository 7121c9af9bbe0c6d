#ifndef DAMASKROUTE_STORE_FEED_STEP_H_
#define DAMASKROUTE_STORE_FEED_STEP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// What a feed does next.
enum class FeedStepKind : std::uint8_t {
  kRead,        ///< Read the page of items after `after_key`.
  kReadOrders,  ///< Read the operator's keys, ahead of the changes that are still to come.
  kWatch,       ///< Wait for changes after `after_revision`.
  kFollow,      ///< The same at another node, `relay`.
  kPause,       ///< Do nothing until `until`.
};

/// One step with what it needs.
struct FeedStep {
  FeedStepKind kind = FeedStepKind::kPause;
  std::string after_key;
  std::uint64_t after_revision = 0;
  TimePoint until;
  std::size_t relay = 0;                ///< With `kFollow`: which of the nodes to follow.
  std::chrono::milliseconds wait{};     ///< With `kWatch` and `kFollow`: how long it is held.
  std::chrono::milliseconds timeout{};  ///< Of a call as a whole.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_FEED_STEP_H_
