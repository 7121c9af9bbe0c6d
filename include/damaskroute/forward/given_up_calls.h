#ifndef DAMASKROUTE_FORWARD_GIVEN_UP_CALLS_H_
#define DAMASKROUTE_FORWARD_GIVEN_UP_CALLS_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "damaskroute/core/time.h"
#include "damaskroute/forward/given_up_call.h"

namespace damaskroute {

/// What a node knows of a server some time after a call to it was given up.
enum class ServerFate : std::uint8_t {
  kAlive,    ///< It answered a later call, or left as planned.
  kLost,     ///< It broke a connection since, or its entry is gone although it did not leave.
  kUnknown,  ///< A connection attempt shows whether it still listens.
};

/// Calls that were given up. Their connections are closed, so a crash of the server shows only
/// afterwards: each call is due for a check after each of `kCheckDelays`.
class GivenUpCalls {
 public:
  /// Times since the end of the call. The first check finds a crash before the request has come
  /// again many times. The later ones find a crash that takes longer, or that shows only when the
  /// server's entry is removed or replaced, because its address accepts connections meanwhile.
  static constexpr std::array kCheckDelays{
      std::chrono::milliseconds(200), std::chrono::milliseconds(1000),
      std::chrono::milliseconds(2000), std::chrono::milliseconds(4000)};

  /// Limit of the remembered calls, about 100 bytes each. The oldest are dropped.
  static constexpr std::size_t kMaxCalls = 4096;

  void Add(GivenUpCall call);

  /// Keeps a call that was due for its next check, if there is one.
  void AddChecked(GivenUpCall call);

  /// Removes and returns the calls that are due.
  std::vector<GivenUpCall> TakeDue(TimePoint now);

  /// When the next call is due; `TimePoint::max()` without any.
  TimePoint next_due() const;

  /// What is known of the server of a call.
  static ServerFate FateOf(const GivenUpCall& call);

 private:
  // By the number of checks, and almost in the order of `ended`.
  std::array<std::deque<GivenUpCall>, kCheckDelays.size()> calls_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_GIVEN_UP_CALLS_H_
