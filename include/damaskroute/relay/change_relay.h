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

/// Passes the store's changes on to other nodes: `GET /changes?after=REVISION&wait=MILLISECONDS`
/// answers as soon as there are changes, else at the end of the wait, with a `RelayedPage`; 410 if
/// the changes since then are not known. Used on its loop only.
class ChangeRelay {
 public:
  /// `age` gives the time since the store confirmed what this node knows.
  ChangeRelay(asio::io_context& loop, const Endpoint& listen, std::function<Duration()> age);
  ~ChangeRelay();

  /// Opens the port. Unavailable if it is taken.
  absl::Status Start();

  /// Ends all connections, so that followers go elsewhere at once.
  void Stop();

  /// See `ChangeLog`.
  void OnAllRead(std::uint64_t revision);
  void OnChanges(const StorePage& page);

 private:
  struct State;

  void AnswerAll();

  // Outlived by timers that have expired but did not run yet.
  std::shared_ptr<State> state_;
  std::optional<HttpServer> server_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_RELAY_CHANGE_RELAY_H_
