#ifndef DAMASKROUTE_RELAY_CHANGE_RELAY_H_
#define DAMASKROUTE_RELAY_CHANGE_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "absl/status/status.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/time.h"
#include "damaskroute/http/http_server.h"
#include "damaskroute/store/store_page.h"

namespace damaskroute {

/// Age of the configuration at the sender when the request arrived, in microseconds; negative if it
/// became certain later. See `ConfigurationAge`.
inline constexpr char kConfigurationAgeHeader[] = "Damask-Configuration-Age-Us";

/// Serves the store's changes to the followers of this node, which read the changes through it
/// instead of from the store. `GET /changes?era=ERA&after=REVISION&wait=MILLISECONDS` responds as
/// soon as there are changes, else at the end of the wait, with a `RelayedPage`; 410 if the changes
/// after that revision are unknown or the log is of another era. With `&certain=1`, the response
/// has `kConfigurationAgeHeader` if the age is known, and is also sent when `OnCertain` is called.
/// Used on its event loop only.
class ChangeRelay {
 public:
  /// Limits for the followers.
  struct Limits {
    std::shared_ptr<ClientMemory> memory;  ///< Of this process; null for an account of its own.
    std::size_t max_connections = 2048;
  };

  /// `age` returns the time since the store last confirmed this node's data.
  ChangeRelay(asio::io_context& loop, const Endpoint& listen, std::function<Duration()> age,
              const Limits& limits);
  ~ChangeRelay();

  /// Sets the function that returns the time since boot until which the changes are certain to be
  /// complete, nullopt if it is unknown.
  void SetCertainUntil(std::function<std::optional<Duration>()> certain_until);

  /// Opens the port. Returns Unavailable if it is in use.
  absl::Status Start();

  /// Closes all connections, so that followers switch to another node at once.
  void Stop();

  /// See `ChangeLog`.
  void OnAllRead(std::uint64_t revision, std::uint64_t era);
  void OnChanges(const StorePage& page);

  /// The changes are certain to be complete until a later time than before.
  void OnCertain();

 private:
  struct State;

  void AnswerAll();

  // Shared with handlers of expired timers, which may run after the relay is destroyed.
  std::shared_ptr<State> state_;
  std::optional<HttpServer> server_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_RELAY_CHANGE_RELAY_H_
