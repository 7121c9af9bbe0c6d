#ifndef STANDINS_PLATFORM_STANDIN_H_
#define STANDINS_PLATFORM_STANDIN_H_

#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "damaskroute/core/endpoint.h"
#include "standins/loop.h"
#include "standins/platform_options.h"
#include "standins/platform_stats.h"

namespace damaskroute::standins {

class PlatformCore;

/// Stand-in for the platform: key-value store and VM list over HTTP. All member functions may be
/// called from any thread; they run on the loop's thread.
///
/// - `GET /kv/KEY`: 200 with the value and the header `Version`, or 404.
/// - `GET /kv/KEY?watch=V&timeout_ms=N`: 200 once the version is above V, 204 after N ms without,
///   404 when the key vanishes or V is not 0 and the key does not exist.
/// - `PUT /kv/KEY` with `If-Version: V` and optionally `Lease: ID`: 200 with the new `Version`,
///   412 with the current one (0: none), 404 if the lease has ended, 413 above 1 MB.
/// - `POST /leases` `{"ttl_ms":N}`: 200 `{"lease":ID}`; `POST /leases/ID/renew`,
///   `DELETE /leases/ID`: 200, or 404 if it has ended.
/// - `GET /vms`: the list in the form of `ParseVmList`.
/// - `POST /control`, `GET /control/stats`.
///
/// KEY is percent-encoded. 429 and 503 are sent before a call has any effect.
class PlatformStandin {
 public:
  /// Port 0 in `endpoint` chooses a free port at `Start`.
  PlatformStandin(Loop& loop, const Endpoint& endpoint, const PlatformOptions& options);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  /// Listens. Unavailable if the port is taken.
  absl::Status Start();

  /// Address with the port in use; valid after `Start`.
  Endpoint endpoint() const;

  /// Applies a control message; InvalidArgument or NotFound if it is malformed. Members: each
  /// option of `PlatformOptions` by name; `vms`: the list as in `ParseVmList`;
  /// `backup`, `restore`: true, to copy all keys and to put them and their versions back.
  absl::Status Control(std::string_view json);

  PlatformStats Stats() const;

 private:
  Loop& loop_;
  std::shared_ptr<PlatformCore> core_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_PLATFORM_STANDIN_H_
