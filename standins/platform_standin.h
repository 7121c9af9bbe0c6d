#ifndef STANDINS_PLATFORM_STANDIN_H_
#define STANDINS_PLATFORM_STANDIN_H_

#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "damaskroute/core/endpoint.h"
#include "standins/loop_thread.h"
#include "standins/platform_options.h"
#include "standins/platform_stats.h"

namespace damaskroute::standins {

class PlatformCore;

/// Stand-in for the platform: key-value store and VM list over HTTP. Thread-safe: member functions
/// run on the thread of `loop`.
///
/// - `GET /kv/KEY`: 200 with the value and the header `Version`, or 404.
/// - `GET /kv/KEY?watch=V&timeout_ms=N`: 200 once the version is above V, 204 if that does
///   not happen within N ms, 404 once the key is removed or if V is not 0 and the key does not
///   exist.
/// - `PUT /kv/KEY` with `If-Version: V` and optionally `Lease: ID`: 200 with the new `Version`,
///   412 with the current one (0: no such key), 404 if the lease has ended, 413 for a value above
///   1 MB.
/// - `POST /leases` `{"ttl_ms":N}`: 200 `{"lease":ID}`; `POST /leases/ID/renew`,
///   `DELETE /leases/ID`: 200, or 404 if it has ended.
/// - `GET /vms`: the VM list in the format of `ParseVmList`.
/// - `POST /control`, `GET /control/stats`.
///
/// KEY is percent-encoded. Calls that get 429 or 503 have no effect.
class PlatformStandin {
 public:
  /// With port 0 in `endpoint`, `Start` chooses a free port.
  PlatformStandin(LoopThread& loop, const Endpoint& endpoint, const PlatformOptions& options);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  /// Starts to listen. Returns Unavailable if the port is in use.
  absl::Status Start();

  /// Address with the actual port; valid after `Start`.
  Endpoint endpoint() const;

  /// Applies a control message. Returns InvalidArgument or NotFound if it is malformed. Members:
  /// - each option of `PlatformOptions` by name;
  /// - `vms`: VM list in the format of `ParseVmList`;
  /// - `backup`: true; copies all keys with their versions;
  /// - `restore`: true; restores the copy.
  absl::Status Control(std::string_view json);

  PlatformStats Stats() const;

 private:
  LoopThread& loop_;
  std::shared_ptr<PlatformCore> core_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_PLATFORM_STANDIN_H_
