#ifndef DAMASKROUTE_NODE_EVENT_LOOP_H_
#define DAMASKROUTE_NODE_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <thread>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/random.h"

namespace damaskroute {

/// An event loop with its own thread. Objects that belong to a loop are used on its thread only.
class EventLoop {
 public:
  explicit EventLoop(std::uint64_t seed);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Starts the thread.
  void Start();

  /// Stops the thread after the current handler. Must be called from another thread.
  void Stop();

  /// Queues `task` to run on the loop's thread. Thread-safe.
  template <typename Task>
  void Post(Task&& task) {
    asio::post(context_, std::forward<Task>(task));
  }

  asio::io_context& context() { return context_; }

  /// Random number generator of this loop; on its thread only.
  Random& random() { return random_; }

 private:
  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  Random random_;
  std::thread thread_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_EVENT_LOOP_H_
