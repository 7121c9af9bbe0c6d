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

/// A query or action call that a backend server stand-in is processing.
struct BackendCall {
  enum class Phase : std::uint8_t { kWaiting, kRunning, kDone };

  explicit BackendCall(asio::io_context& io) : timer(io) {}

  std::shared_ptr<HttpConnection> connection;
  Phase phase = Phase::kWaiting;
  std::string request_id;
  std::uint32_t attempt = 0;
  std::string action_id;         ///< Empty for a query.
  std::uint64_t run_number = 0;  ///< Counts the runs of the action from 1.
  IndexVersion version = 0;
  KeyRange range;
  std::shared_ptr<const IndexRows> rows;  ///< Null for an action.
  RowFilter filter;
  bool triggers_crash = false;  ///< The body contains the crash marker.
  TimePoint deadline = TimePoint::max();
  asio::steady_timer timer;  ///< Queueing deadline, service time or delay of a late answer.

  bool IsAction() const { return !action_id.empty(); }
};

}  // namespace damaskroute::standins

#endif  // STANDINS_BACKEND_CALL_H_
