#ifndef DAMASKROUTE_STORE_FEED_STEP_H_
#define DAMASKROUTE_STORE_FEED_STEP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Kind of the next step of a `StoreFeed`.
enum class FeedStepKind : std::uint8_t {
  kRead,            ///< Read the page of items after `after_key`.
  kReadDirectives,  ///< Read the operator directives, ahead of changes not yet fetched.
  kWatch,           ///< Wait for changes after `after_revision`.
  kFollow,          ///< Wait for changes at another node, `relay`.
  kPause,           ///< Do nothing until `until`.
};

/// Next step of a `StoreFeed` with its parameters.
struct FeedStep {
  FeedStepKind kind = FeedStepKind::kPause;
  std::string after_key;
  std::uint64_t after_revision = 0;
  TimePoint until;
  std::size_t relay = 0;                ///< With `kFollow`: index of the node.
  std::chrono::milliseconds wait{};     ///< With `kWatch` and `kFollow`: maximum hold time.
  std::chrono::milliseconds timeout{};  ///< Deadline of the whole call.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_FEED_STEP_H_
