#ifndef BENCHMARK_MODEL_MODEL_SERVER_H_
#define BENCHMARK_MODEL_MODEL_SERVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "benchmark/model/event_queue.h"
#include "benchmark/model/model_day.h"

namespace damaskroute::model {

/// Model of a backend server: it runs calls in a fixed number of slots, queues calls up to a limit,
/// sheds the rest, pauses periodically, can be slow or unresponsive, and cancels a call whose
/// connection was closed.
class ModelServer {
 public:
  enum class End : std::uint8_t { kAnswered, kShed };
  using Done = std::function<void(End)>;

  /// `phase`: time until the first pause.
  ModelServer(EventQueue& events, const ModelDay& day, Duration phase)
      : events_(events), day_(day), phase_(events.Now() + phase) {}
  ModelServer(const ModelServer&) = delete;
  ModelServer& operator=(const ModelServer&) = delete;

  void SetSlowness(double factor) { slowness_ = factor; }
  void SetUnresponsive(bool unresponsive);
  bool is_unresponsive() const { return unresponsive_; }

  /// Begins to state a rate limit of `factor` times the present rate of calls; 0 ends the limit.
  void SetRateLimit(double factor);

  /// Calls per second from all nodes that the server states; nothing without a limit.
  const std::optional<double>& rate_limit() const { return rate_limit_; }

  /// Number of calls beyond what the rate limits allowed, a grace time after their begin.
  std::uint64_t over_rate_limit() const { return over_rate_limit_; }

  /// Queues a call that takes `work` to process. Calls `done` at most once.
  void Submit(std::uint64_t call, Duration work, Done done);

  /// Cancels a call whose connection was closed.
  void Cancel(std::uint64_t call);

 private:
  struct Job {
    std::uint64_t call = 0;
    Duration work{};
    Done done;
  };

  void RecordArrival();
  void StartNext();
  void Finish(std::uint64_t call);
  TimePoint FinishTime(Duration work) const;

  EventQueue& events_;
  const ModelDay& day_;
  const TimePoint phase_;
  double slowness_ = 1;
  bool unresponsive_ = false;
  std::optional<double> rate_limit_;
  TimePoint judged_from_;           // The nodes have been told of the limit.
  std::deque<TimePoint> arrivals_;  // Within the last window, ascending.
  std::uint64_t over_rate_limit_ = 0;
  std::map<std::uint64_t, Done> running_;
  std::deque<Job> waiting_;
};

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_MODEL_SERVER_H_
