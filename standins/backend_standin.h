#ifndef STANDINS_BACKEND_STANDIN_H_
#define STANDINS_BACKEND_STANDIN_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/core/key_range.h"
#include "standins/backend_options.h"
#include "standins/backend_stats.h"
#include "standins/loop_thread.h"

namespace damaskroute::standins {

class BackendCore;

/// Key ranges that a backend server holds of each index version.
using HeldVersions = std::vector<std::pair<IndexVersion, std::vector<KeyRange>>>;

/// Stand-in for a backend server that implements the protocol of docs/design.md, section 4.2, on
/// its own port. Thread-safe: member functions run on the thread of `loop`.
///
/// Example:
///
///     LoopThread loop;
///     BackendStandin backend(loop, "b1", {"127.0.0.1", 0}, BackendOptions{},
///                            {{1, {kWholeKeySpace}}});
///     absl::Status started = backend.Start();
///     absl::Status changed = backend.Control(R"({"service_time":"5ms","turn_cold":true})");
class BackendStandin {
 public:
  /// With port 0 in `endpoint`, `Start` chooses a free port.
  BackendStandin(LoopThread& loop, BackendName name, const Endpoint& endpoint,
                 const BackendOptions& options, const HeldVersions& versions);
  ~BackendStandin();
  BackendStandin(const BackendStandin&) = delete;
  BackendStandin& operator=(const BackendStandin&) = delete;

  /// Starts to listen. Returns Unavailable if the port is in use.
  absl::Status Start();

  const BackendName& name() const { return name_; }

  /// Address with the actual port; valid after `Start`.
  Endpoint endpoint() const;

  /// Applies the members of a control message in order, up to the first invalid one, for which it
  /// returns InvalidArgument or NotFound. Members:
  /// - each option of `BackendOptions` by name;
  /// - `faults`: object that maps a fault name to a probability or `{"probability":p,"next":n}`;
  /// - `turn_cold`, `turn_warm`, `crash`: true; `drain`: true or false;
  /// - `publish`: `{"version":v,"ranges":["low-high",...]}` adds or replaces an index version;
  /// - `retire`: version to remove.
  absl::Status Control(std::string_view json);

  BackendStats Stats() const;
  BootId boot_id() const;

  /// Number of requests received with this `Damask-Request-Id`, retries and hedges included.
  std::uint64_t RequestCount(const std::string& request_id) const;

  /// Number of times that the action has started to run.
  std::uint64_t RunCount(const std::string& action_id) const;

  /// Response body of `GET /control/stats`.
  std::string StatsJson() const;

  /// Response body of `GET /control/log`.
  std::string LogJson() const;

 private:
  LoopThread& loop_;
  BackendName name_;
  std::shared_ptr<BackendCore> core_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_BACKEND_STANDIN_H_
