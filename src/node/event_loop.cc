#include "damaskroute/node/event_loop.h"

namespace damaskroute {

EventLoop::EventLoop(std::uint64_t seed) : work_(asio::make_work_guard(context_)), random_(seed) {}

EventLoop::~EventLoop() { Stop(); }

void EventLoop::Start() {
  thread_ = std::thread([this] { context_.run(); });
}

void EventLoop::Stop() {
  context_.stop();
  if (thread_.joinable()) thread_.join();
}

}  // namespace damaskroute
