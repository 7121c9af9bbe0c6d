#include "benchmark/support/load_generator.h"

#include <atomic>
#include <cmath>
#include <future>
#include <thread>
#include <utility>
#include <vector>

namespace damaskroute::bench {
namespace {

// Sends the queries of one event loop.
class LoopLoad {
 public:
  LoopLoad(const LoadOptions& options, const TargetFactory& make_target, int index)
      : options_(options),
        loop_(options.seed * 1000 + static_cast<std::uint64_t>(index)),
        timer_(loop_.context()),
        target_(make_target(loop_)) {
    Schedule(options.rate / options.loops);
  }

  ~LoopLoad() { loop_.Stop(); }

  void Start(TimePoint start) {
    start_ = start;
    loop_.Post([this] { SendDue(); });
    loop_.Start();
  }

  // Waits until all queries have ended and returns their samples.
  std::vector<QuerySample> Wait() {
    ended_.get_future().wait();
    loop_.Stop();
    return std::move(samples_);
  }

 private:
  void Schedule(double rate) {
    double end = std::chrono::duration<double>(options_.warm_up + options_.duration).count();
    for (double at = 0;;) {
      at += -std::log(1 - loop_.random().NextDouble()) / rate;
      if (at >= end) break;
      QuerySample sample;
      sample.scheduled =
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(at));
      sample.urgent = loop_.random().NextDouble() < options_.urgent_fraction;
      samples_.push_back(sample);
      arrivals_.push_back(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)));
    }
  }

  void SendDue() {
    TimePoint now = SteadyClock().Now();
    while (next_ < samples_.size() && start_ + arrivals_[next_] <= now) Send(next_++);
    if (next_ == samples_.size()) {
      if (open_ == 0 && !done_) Finish();
      return;
    }
    timer_.expires_at(start_ + arrivals_[next_]);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) SendDue();
    });
  }

  void Send(std::size_t index) {
    ++open_;
    TimePoint arrival = start_ + arrivals_[index];
    target_->Send(samples_[index].urgent, arrival + options_.deadline,
                  [this, index, arrival](int status, double coverage, std::string verdict) {
                    QuerySample& sample = samples_[index];
                    sample.latency = SteadyClock().Now() - arrival;
                    sample.status = status;
                    sample.coverage = coverage;
                    sample.verdict = std::move(verdict);
                    if (--open_ == 0 && next_ == samples_.size() && !done_) Finish();
                  });
  }

  void Finish() {
    done_ = true;
    ended_.set_value();
  }

  const LoadOptions options_;
  EventLoop loop_;
  asio::steady_timer timer_;
  std::unique_ptr<QueryTarget> target_;
  TimePoint start_;
  std::vector<QuerySample> samples_;
  std::vector<Duration> arrivals_;
  std::size_t next_ = 0;
  std::size_t open_ = 0;
  bool done_ = false;
  std::promise<void> ended_;
};

}  // namespace

LoadResult RunLoad(const LoadOptions& options, const TargetFactory& make_target) {
  std::vector<std::unique_ptr<LoopLoad>> loads;
  loads.reserve(static_cast<std::size_t>(options.loops));
  for (int i = 0; i < options.loops; ++i) {
    loads.push_back(std::make_unique<LoopLoad>(options, make_target, i));
  }
  TimePoint start = SteadyClock().Now() + std::chrono::milliseconds(20);
  for (auto& load : loads) load->Start(start);
  LoadResult result;
  for (auto& load : loads) {
    auto samples = load->Wait();
    for (QuerySample& sample : samples) {
      if (sample.scheduled < options.warm_up) continue;
      sample.scheduled -= options.warm_up;
      result.samples.push_back(std::move(sample));
    }
  }
  return result;
}

}  // namespace damaskroute::bench
