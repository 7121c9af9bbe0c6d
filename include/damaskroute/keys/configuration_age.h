#ifndef DAMASKROUTE_KEYS_CONFIGURATION_AGE_H_
#define DAMASKROUTE_KEYS_CONFIGURATION_AGE_H_

#include <chrono>
#include <optional>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Age of a node's configuration at its source: the time since the latest moment for which it is
/// certain that the store held no newer configuration. All times are those of `TimeSinceBoot()`,
/// which includes the time for which the machine was suspended.
///
/// A response counts from the time when its call was sent, as the response may have waited on its
/// way for any time. A node that follows another node adds the whole round trip to its age.
class ConfigurationAge {
 public:
  /// Whether the newest configuration that was received is usable. While it is not, the age counts
  /// from the time before: responses prove nothing.
  void SetUsable(bool usable) { usable_ = usable; }
  bool is_usable() const { return usable_; }

  /// The response to a call that was sent at `sent` contained all changes until then.
  void OnChanges(Duration sent) { Prove(sent); }

  /// A watch that was sent at `sent` and that the store was to hold for `wait` returned no changes
  /// at `received`. If the store held it for that time, nothing changed until the end of the wait.
  void OnNoChanges(Duration sent, std::chrono::milliseconds wait, Duration received);

  /// A followed node responded to a request that was sent at `sent`. `age` is the age of its
  /// configuration when the request reached it, negative if it became certain later, while it held
  /// the request.
  void OnFollowedNode(Duration sent, Duration age, Duration received);

  /// The latest moment that is certain; nullopt if there is none.
  std::optional<Duration> certain_until() const { return certain_until_; }

  /// Age at `now`; nullopt if it is unknown.
  std::optional<Duration> At(Duration now) const;

 private:
  void Prove(Duration until);

  bool usable_ = true;
  std::optional<Duration> certain_until_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_KEYS_CONFIGURATION_AGE_H_
