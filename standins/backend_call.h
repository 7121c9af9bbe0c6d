#ifndef STANDINS_BACKEND_CALL_H_
#define STANDINS_BACKEND_CALL_H_

#include <cstdint>
#include <memory>
#include <string>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/key_range.h"
#include "damaskroute/core/time.h"
#include "standins/http_connection.h"
#include "standins/index_rows.h"

namespace damaskroute::standins {

/// A query or action that a backend server stand-in has admitted.
struct BackendCall {
  enum class Phase : std::uint8_t { kWaiting, kRunning, kOver };

  explicit BackendCall(asio::io_context& io) : timer(io) {}

  std::shared_ptr<HttpConnection> connection;
  Phase phase = Phase::kWaiting;
  std::string request_id;
  std::uint32_t attempt = 0;
  std::string action_id;  ///< Empty for a query.
  std::uint64_t action_run = 0;
  IndexVersion version = 0;
  KeyRange range;
  std::shared_ptr<const IndexRows> rows;  ///< Null for an action.
  RowFilter filter;
  bool crashes = false;
  TimePoint deadline = TimePoint::max();
  asio::steady_timer timer;  ///< End of the wait or of the service time.

  bool IsAction() const { return !action_id.empty(); }
};

}  // namespace damaskroute::standins

#endif  // STANDINS_BACKEND_CALL_H_
