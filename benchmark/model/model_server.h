#ifndef BENCHMARK_MODEL_MODEL_SERVER_H_
#define BENCHMARK_MODEL_MODEL_SERVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "benchmark/model/event_queue.h"
#include "benchmark/model/model_day.h"

namespace damaskroute::model {

/// A backend server: processes calls in its slots, queues some, sheds the rest, pauses now and
/// then, may be slow or dark, and drops a call whose connection closes.
class ModelServer {
 public:
  enum class End : std::uint8_t { kAnswered, kShed };
  using Done = std::function<void(End)>;

  /// `phase`: when its first pause begins.
  ModelServer(EventQueue& events, const ModelDay& day, Duration phase)
      : events_(events), day_(day), phase_(events.Now() + phase) {}
  ModelServer(const ModelServer&) = delete;
  ModelServer& operator=(const ModelServer&) = delete;

  void SetSlowness(double factor) { slowness_ = factor; }
  void SetDark(bool dark);
  bool is_dark() const { return dark_; }

  /// Takes a call with this much work; `done` is called at most once.
  void Arrive(std::uint64_t call, Duration work, Done done);

  /// The connection of a call was closed.
  void Drop(std::uint64_t call);

 private:
  struct Job {
    std::uint64_t call = 0;
    Duration work{};
    Done done;
  };

  void StartNext();
  void Finish(std::uint64_t call);
  TimePoint EndOf(Duration work) const;

  EventQueue& events_;
  const ModelDay& day_;
  const TimePoint phase_;
  double slowness_ = 1;
  bool dark_ = false;
  std::map<std::uint64_t, Done> running_;
  std::deque<Job> waiting_;
};

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_MODEL_SERVER_H_
