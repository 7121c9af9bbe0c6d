#ifndef STANDINS_BACKEND_OPTIONS_H_
#define STANDINS_BACKEND_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "standins/index_rows.h"

namespace damaskroute::standins {

/// Configurable behaviour of a backend server stand-in. Each member can be set by its name in the
/// settings file and, at run time, with `POST /control`.
struct BackendOptions {
  std::uint64_t seed = 1;        ///< For service times and faults.
  std::uint64_t index_seed = 1;  ///< For the records; the same for all replicas of an index.
  std::uint64_t records = 1000;  ///< Number of records in the whole index.
  int slots = 2;                 ///< Calls that run concurrently.
  int queue_length = 4;          ///< Calls that wait for a slot; further calls get 503.
  int connections = 0;           ///< Maximum number of connections; 0: no limit.
  std::chrono::microseconds connect_cost{0};    ///< Delay before the first read from a connection.
  std::chrono::microseconds service_time{0};    ///< Minimum on a warm server; 0: immediate answer.
  std::chrono::microseconds service_jitter{0};  ///< Maximum of a uniform random addition.
  double straggler_probability = 0;
  double straggler_factor = 10;  ///< Multiplier of a straggler's service time.
  bool starts_cold = false;
  int cold_slots = 1;        ///< Calls, waiting ones included, that a cold server can sustain.
  double cold_factor = 4;    ///< Multiplier of the service time while cold.
  double cold_collapse = 4;  ///< Further multiplier for each call above `cold_slots`.
  std::uint64_t cold_calls = 100;          ///< Answers until the server is warm; 0: stays cold.
  std::chrono::microseconds state_lag{0};  ///< Refresh interval of `/health` and `/load`.
  std::string reported_state = "";  ///< False state in `/health` and `/load`; empty: true state.
  bool hide_cold = false;           ///< `Damask-State` of a cold server is "warm".
  std::string reported_in_flight = "";  ///< False count, likewise; empty: true count.
  std::chrono::microseconds restart_delay{std::chrono::seconds(1)};  ///< Downtime after a crash.
  std::chrono::microseconds late_delay{std::chrono::seconds(1)};     ///< Delay by `late_answer`.
  std::string crash_marker = "damask-crash";  ///< A body that contains it crashes the server.
  bool ignore_deadline = false;               ///< Calls continue after their deadline.
  bool ignore_cancel = false;                 ///< Calls continue after DELETE or a disconnect.
  std::uint64_t log_length = 1000;            ///< Maximum number of request ids in the run log.

  IndexSpec Index() const { return {index_seed, records}; }
};

/// Sets the member called `name` from `text`. Returns NotFound for an unknown name and
/// InvalidArgument with the expected form for an invalid value; `options` is unchanged on error.
absl::Status SetBackendOption(BackendOptions& options, std::string_view name,
                              std::string_view text);

}  // namespace damaskroute::standins

#endif  // STANDINS_BACKEND_OPTIONS_H_
