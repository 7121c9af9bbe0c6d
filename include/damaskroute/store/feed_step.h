#ifndef DAMASKROUTE_STORE_FEED_STEP_H_
#define DAMASKROUTE_STORE_FEED_STEP_H_

#include <cstdint>
#include <string>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// What a feed does next.
enum class FeedStepKind : std::uint8_t {
  kRead,   ///< Read the page of items after `after_key`.
  kWatch,  ///< Wait for changes after `after_revision`.
  kPause,  ///< Do nothing until `until`.
};

struct FeedStep {
  FeedStepKind kind = FeedStepKind::kPause;
  std::string after_key;
  std::uint64_t after_revision = 0;
  TimePoint until;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_FEED_STEP_H_
