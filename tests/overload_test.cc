#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>

#include "damaskroute/admission/admission_limit.h"
#include "damaskroute/admission/call_queue.h"
#include "damaskroute/core/random.h"

namespace damaskroute {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulates one backend server with ten slots and 10 ms mean service time, so 1,000 calls/s, behind
// the admission limit and the holder's queue. Arrivals are open-loop, 5% urgent; callers repeat a
// refused or late request twice, the usual cause of metastable failures.
class OverloadModel {
 public:
  struct Phase {
    int good = 0;
    int offered = 0;
    std::vector<double> normal_ms, urgent_ms;
    std::uint32_t limit = 0;
    double Quantile(std::vector<double> values, double q) const {
      std::sort(values.begin(), values.end());
      return values.empty() ? 0 : values[static_cast<std::size_t>(q * (values.size() - 1))];
    }
  };

  OverloadModel() { Take(queue_.SetLimit(10, clock_.Now())); }
  void SetSlots(std::uint32_t slots) { Take(queue_.SetLimit(slots, clock_.Now())); }

  // Runs for `length` at `rate` requests per second; only the second half is counted, after the
  // model has settled.
  Phase Run(double rate, Duration length) {
    TimePoint end = clock_.Now() + length;
    TimePoint counted = clock_.Now() + length / 2;
    Phase phase;
    phase_ = &phase;
    TimePoint arrival = clock_.Now();
    while (true) {
      arrival += Exponential(seconds(1) / rate);
      if (arrival >= end) break;
      RunUntil(arrival);
      counting_ = arrival >= counted;
      if (counting_) ++phase.offered;
      Submit(random_.Below(20) == 0 ? Priority::kUrgent : Priority::kNormal, 2);
    }
    RunUntil(end);
    phase.limit = admission_.limit();
    return phase;
  }

 private:
  struct Request {
    Priority priority;
    TimePoint start;
    int repeats;
    std::uint64_t serial;
  };
  struct Event {
    TimePoint at;
    int kind;  // 0: call ended, 1: queue timer, 2: caller repeats.
    std::uint64_t token;
    Request request;
    bool operator<(const Event& other) const { return at > other.at; }
  };

  template <typename T>
  Duration Exponential(T mean) {
    double scale = -std::log(1 - random_.NextDouble());
    return std::chrono::duration_cast<Duration>(mean * scale);
  }

  void RunUntil(TimePoint until) {
    while (!events_.empty() && events_.top().at <= until) {
      Event event = events_.top();
      events_.pop();
      clock_.Advance(event.at - clock_.Now());
      if (event.kind == 0) {
        Finish(event.token);
        Take(queue_.OnDone(event.token, true, clock_.Now()));
      } else if (event.kind == 1) {
        Take(queue_.OnTimer(clock_.Now()));
      } else {
        Submit(event.request.priority, event.request.repeats);
      }
    }
    clock_.Advance(until - clock_.Now());
  }

  void Submit(Priority priority, int repeats) {
    Request request{priority, clock_.Now(), repeats, ++serial_};
    if (!admission_.TryAdmit(priority)) return Repeat(request, admission_.RetryAfter());
    requests_[serial_] = request;
    Take(queue_.Enqueue({serial_, priority, clock_.Now() + milliseconds(150)}, clock_.Now()));
  }

  void Repeat(Request request, Duration after) {
    if (request.repeats-- == 0) return;
    events_.push({clock_.Now() + after, 2, 0, request});
  }

  void Finish(std::uint64_t token) {
    Request request = requests_.at(token);
    requests_.erase(token);
    Duration latency = clock_.Now() - request.start;
    admission_.OnEnd(latency, clock_.Now());
    if (latency > milliseconds(150)) return Repeat(request, milliseconds(100));
    if (!counting_) return;
    ++phase_->good;
    double ms = std::chrono::duration<double, std::milli>(latency).count();
    (request.priority == Priority::kUrgent ? phase_->urgent_ms : phase_->normal_ms).push_back(ms);
  }

  void Take(const std::vector<QueueAction>& actions) {
    for (const QueueAction& action : actions) {
      if (auto* start = std::get_if<StartCall>(&action)) {
        // Half fixed, half exponential.
        Duration service = milliseconds(5) + Exponential(milliseconds(5));
        events_.push({clock_.Now() + service, 0, start->token, {}});
      } else if (auto* refuse = std::get_if<RefuseCall>(&action)) {
        End(refuse->token, refuse->retry_after);
      } else if (auto* expire = std::get_if<ExpireCall>(&action)) {
        End(expire->token, milliseconds(100));
      } else if (auto* timer = std::get_if<SetQueueTimer>(&action)) {
        events_.push({timer->at, 1, 0, {}});
      }
    }
  }

  void End(std::uint64_t token, Duration retry_after) {
    Request request = requests_.at(token);
    requests_.erase(token);
    admission_.OnRefused();
    Repeat(request, retry_after);
  }

  ManualClock clock_;
  Random random_{42};
  LatencyQuantiles latency_{0.95};
  CallQueue queue_{{}, latency_};
  AdmissionLimit admission_{{}};
  std::priority_queue<Event> events_;
  std::map<std::uint64_t, Request> requests_;
  std::uint64_t serial_ = 0;
  Phase* phase_ = nullptr;
  bool counting_ = false;
};

void Print(const char* name, const OverloadModel::Phase& p) {
  MESSAGE(
      fmt::format("{:14} offered {:6} good {:6} p50 {:6.1f} p99 {:6.1f} urgent p99 {:6.1f} ms, "
                  "limit {}",
                  name, p.offered, p.good, p.Quantile(p.normal_ms, 0.5),
                  p.Quantile(p.normal_ms, 0.99), p.Quantile(p.urgent_ms, 0.99), p.limit));
}

void CheckSame(const OverloadModel::Phase& before, const OverloadModel::Phase& after) {
  CHECK(after.good >= 0.98 * before.good * after.offered / before.offered);
  CHECK(after.Quantile(after.normal_ms, 0.5) <= 1.2 * before.Quantile(before.normal_ms, 0.5));
  CHECK(after.Quantile(after.normal_ms, 0.99) <= 1.5 * before.Quantile(before.normal_ms, 0.99));
}

TEST_CASE("goodput recovers after doubled load and after the loss of a third of the capacity") {
  OverloadModel model;
  OverloadModel::Phase idle = model.Run(300, seconds(60));
  Print("idle", idle);
  OverloadModel::Phase before = model.Run(800, seconds(30));
  Print("0.8 capacity", before);
  OverloadModel::Phase twice = model.Run(1600, seconds(30));
  Print("doubled", twice);
  OverloadModel::Phase after = model.Run(800, seconds(30));
  Print("back", after);
  CheckSame(before, after);
  CHECK(twice.good >= 0.9 * before.good);
  CHECK(twice.Quantile(twice.urgent_ms, 0.99) <= 1.2 * idle.Quantile(idle.urgent_ms, 0.99));

  model.SetSlots(7);
  OverloadModel::Phase reduced = model.Run(800, seconds(30));
  Print("third lost", reduced);
  CHECK(reduced.good >= 0.9 * 700 * 15);
  model.SetSlots(10);
  OverloadModel::Phase restored = model.Run(800, seconds(30));
  Print("restored", restored);
  CheckSame(before, restored);
}

}  // namespace
}  // namespace damaskroute
