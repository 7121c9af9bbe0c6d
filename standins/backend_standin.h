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
#include "standins/loop.h"

namespace damaskroute::standins {

class BackendCore;

/// Ranges that a backend server holds in each index version.
using HeldVersions = std::vector<std::pair<IndexVersion, std::vector<KeyRange>>>;

/// Stand-in for a backend server: speaks docs/design.md section 4.2 on a port of its own. All
/// member functions may be called from any thread; they run on the loop's thread.
///
/// Example:
///
///     Loop loop;
///     BackendStandin backend(loop, "b1", {"127.0.0.1", 0}, BackendOptions{},
///                            {{1, {kWholeKeySpace}}});
///     absl::Status started = backend.Start();
///     absl::Status changed = backend.Control(R"({"service_time":"5ms","turn_cold":true})");
class BackendStandin {
 public:
  /// Port 0 in `endpoint` chooses a free port at `Start`.
  BackendStandin(Loop& loop, BackendName name, const Endpoint& endpoint,
                 const BackendOptions& options, const HeldVersions& versions);
  ~BackendStandin();
  BackendStandin(const BackendStandin&) = delete;
  BackendStandin& operator=(const BackendStandin&) = delete;

  /// Listens. Unavailable if the port is taken.
  absl::Status Start();

  const BackendName& name() const { return name_; }

  /// Address with the port in use; valid after `Start`.
  Endpoint endpoint() const;

  /// Applies a control message; InvalidArgument if it is malformed, and nothing changes then
  /// except members before the faulty one. Members:
  /// - each option of `BackendOptions` by name;
  /// - `faults`: object from fault name to a probability or `{"probability":p,"next":n}`;
  /// - `turn_cold`, `turn_warm`, `crash`: true; `drain`: true or false;
  /// - `publish`: `{"version":v,"ranges":["low-high",...]}` adds or replaces an index version;
  /// - `retire`: version to remove.
  absl::Status Control(std::string_view json);

  BackendStats Stats() const;
  BootId boot_id() const;

  /// Requests on the wire with that `Damask-Request-Id`.
  std::uint64_t WireCount(const std::string& request_id) const;

  /// How often the action has run.
  std::uint64_t RunCount(const std::string& action_id) const;

  /// Answer of `GET /control/stats`.
  std::string StatsJson() const;

  /// Answer of `GET /control/log`.
  std::string LogJson() const;

 private:
  Loop& loop_;
  BackendName name_;
  std::shared_ptr<BackendCore> core_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_BACKEND_STANDIN_H_
