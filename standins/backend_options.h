#ifndef STANDINS_BACKEND_OPTIONS_H_
#define STANDINS_BACKEND_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "standins/index_rows.h"

namespace damaskroute::standins {

/// Behaviour of a backend server stand-in. Each member can be set by its name in the settings
/// file and, while running, in `POST /control`.
struct BackendOptions {
  std::uint64_t seed = 1;        ///< Of service times, faults and boot ids.
  std::uint64_t index_seed = 1;  ///< Of the records; equal for all replicas of an index.
  std::uint64_t records = 1000;  ///< Of the whole index.
  int slots = 2;                 ///< Calls that run at the same time.
  int queue_length = 4;          ///< Calls that wait for a slot; further ones get 503.
  int connections = 0;           ///< Connection limit; 0 is none.
  std::chrono::microseconds connect_cost{0};    ///< Pause before a new connection is read.
  std::chrono::microseconds service_time{0};    ///< Of a warm server; 0 answers at once.
  std::chrono::microseconds service_jitter{0};  ///< Uniform addition from 0 to this.
  double straggler_probability = 0;
  double straggler_factor = 10;  ///< Multiplies the service time of a straggler.
  bool starts_cold = false;
  int cold_slots = 1;              ///< Calls, waiting ones included, that a cold server can bear.
  double cold_factor = 4;          ///< Multiplies the service time while cold.
  double cold_collapse = 4;        ///< Multiplies it further for each call above `cold_slots`.
  std::uint64_t cold_calls = 100;  ///< Answers until it is warm; 0 stays cold.
  std::chrono::microseconds state_lag{0};  ///< `/health` and `/load` are refreshed so often.
  std::string reported_state = "";         ///< Misleading state in `/health`; empty is true.
  bool hide_cold = false;                  ///< The `Damask-State` of a cold server says warm.
  std::string reported_in_flight = "";     ///< Misleading count in `/load`; empty is true.
  std::chrono::microseconds restart_delay{std::chrono::seconds(1)};  ///< Down after a crash.
  std::chrono::microseconds late_delay{std::chrono::seconds(1)};     ///< Of `late_answer`.
  std::string crash_marker = "damask-crash";  ///< A body with this text crashes the server.
  bool ignore_deadline = false;               ///< Runs on after the deadline.
  bool ignore_cancel = false;                 ///< Neither DELETE nor a close stops a call.
  std::uint64_t log_length = 1000;            ///< Request ids and queries that are remembered.

  IndexSeed Index() const { return {index_seed, records}; }
};

/// Sets the member called `name`. NotFound for an unknown name, InvalidArgument with the expected
/// form for a bad value; `options` is then unchanged.
absl::Status SetBackendOption(BackendOptions& options, std::string_view name,
                              std::string_view text);

}  // namespace damaskroute::standins

#endif  // STANDINS_BACKEND_OPTIONS_H_
