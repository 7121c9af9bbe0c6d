#include "damaskroute/http/http_server.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

#include "damaskroute/log/log_line.h"
#include "fmt/format.h"
#include "http_server_shared.h"
#include "http_session.h"

namespace damaskroute {

using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

using Shared = HttpServer::Shared;

// Delay after a failed accept, for example when file descriptors have run out.
constexpr std::chrono::milliseconds kAcceptRetryDelay{10};

// Delay of `Shared::Upkeep`, which bounds how often it runs.
constexpr std::chrono::seconds kUpkeepDelay{1};

void AcceptNext(const std::shared_ptr<Shared>& shared, std::size_t next);

// Makes room for a new connection. Returns false if that is not possible.
bool HasPlace(Shared& shared) {
  if (shared.connections < shared.options.max_connections) return true;
  shared.ScheduleUpkeep();
  auto close = shared.waiting.TakeOldest(SteadyClock().Now());
  if (!close) return false;
  ++shared.displaced_connections;
  (*close)();
  // A connection on another loop is closed later.
  return shared.connections < shared.options.max_connections + shared.loops.size() - 1;
}

void OnAccepted(const std::shared_ptr<Shared>& shared, std::size_t loop, const error_code& error,
                Tcp::socket socket) {
  if (error || !HasPlace(*shared)) return;
  error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  auto session = std::make_shared<internal::HttpSession>(shared, std::move(socket), loop);
  // The session must start on its own loop because its stream is not thread-safe.
  asio::post(*shared->loops[loop], [session] { session->Start(); });
}

void RetryAcceptLater(const std::shared_ptr<Shared>& shared, std::size_t next) {
  auto pause = std::make_shared<asio::steady_timer>(*shared->loops.front(), kAcceptRetryDelay);
  pause->async_wait([shared, next, pause](const error_code&) { AcceptNext(shared, next); });
}

void AcceptNext(const std::shared_ptr<Shared>& shared, std::size_t next) {
  if (shared->draining || !shared->acceptor) return;
  std::size_t loop = next % shared->loops.size();
  shared->acceptor->async_accept(*shared->loops[loop],
                                 [shared, loop, next](const error_code& error, Tcp::socket socket) {
                                   if (error == asio::error::operation_aborted) return;
                                   OnAccepted(shared, loop, error, std::move(socket));
                                   // Waits, for example for file descriptors, instead of
                                   // spinning.
                                   if (error) return RetryAcceptLater(shared, next + 1);
                                   AcceptNext(shared, next + 1);
                                 });
}

// Accepts the established connections in the listen queue. Closing the listening socket would reset
// them, and requests that have already arrived would get no response.
void AcceptPending(const std::shared_ptr<Shared>& shared) {
  error_code error;
  shared->acceptor->non_blocking(true, error);
  for (std::size_t next = 0; !error; ++next) {
    std::size_t loop = next % shared->loops.size();
    Tcp::socket socket(*shared->loops[loop]);
    shared->acceptor->accept(socket, error);
    if (!error) OnAccepted(shared, loop, error, std::move(socket));
  }
}

}  // namespace

void HttpServer::Shared::ScheduleUpkeep() {
  if (closed || upkeep_scheduled_.exchange(true)) return;
  asio::post(*loops.front(), [self = shared_from_this()] {
    auto timer = std::make_shared<asio::steady_timer>(*self->loops.front(), kUpkeepDelay);
    timer->async_wait([self, timer](const error_code& error) {
      if (!error) self->Upkeep();
    });
  });
}

void HttpServer::Shared::Upkeep() {
  upkeep_scheduled_ = false;
  // The allocator keeps freed memory that is not at the end of its heap.
  if (options.memory->TakeReleased()) malloc_trim(0);
  std::uint64_t evictions = options.memory->evictions();
  std::uint64_t refusals = options.memory->refusals();
  std::uint64_t displaced = displaced_connections;
  if (evictions == reported_evictions_ && refusals == reported_refusals_ &&
      displaced == reported_displaced_) {
    return;
  }
  LogLine(LogLevel::kWarning, "clients closed or refused at a limit")
      .Field("port", options.listen.port)
      .Field("connections", connections.load())
      .Field("held_bytes", options.memory->held())
      .Field("closed_for_memory", evictions - reported_evictions_)
      .Field("refused_for_memory", refusals - reported_refusals_)
      .Field("closed_for_connections", displaced - reported_displaced_);
  reported_evictions_ = evictions;
  reported_refusals_ = refusals;
  reported_displaced_ = displaced;
}

HttpServer::HttpServer(std::vector<asio::io_context*> loops, HttpServerOptions options,
                       HttpHandler handler)
    : shared_(std::make_shared<Shared>()) {
  shared_->loops = std::move(loops);
  shared_->options = std::move(options);
  shared_->handler = std::move(handler);
  if (!shared_->options.memory) {
    shared_->options.memory = std::make_shared<ClientMemory>(ClientMemory::kDefaultLimit);
  }
}

HttpServer::~HttpServer() {
  shared_->draining = true;
  shared_->closed = true;
  // Sessions can keep the shared state alive after the first loop, which owns the acceptor, has
  // been destroyed.
  if (!shared_->loops.empty() && shared_->loops.front()->stopped()) {
    shared_->acceptor.reset();
  } else if (shared_->acceptor) {
    asio::post(*shared_->loops.front(), [shared = shared_] {
      error_code ignored;
      shared->acceptor->close(ignored);
    });
  }
  // A request in progress, or what holds its responder, may keep its connection alive for longer.
  for (const auto& close : shared_->waiting.All()) close();
}

absl::Status HttpServer::Start() {
  error_code error;
  auto address = asio::ip::make_address(shared_->options.listen.address, error);
  if (error) return absl::InvalidArgumentError("listen address is not an IP number");
  Tcp::endpoint endpoint(address, shared_->options.listen.port);
  shared_->acceptor = std::make_unique<Tcp::acceptor>(*shared_->loops.front());
  Tcp::acceptor& acceptor = *shared_->acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(1024, error);
  if (error) {
    return absl::UnavailableError(fmt::format(
        "cannot listen on {}: {}", FormatEndpoint(shared_->options.listen), error.message()));
  }
  asio::post(*shared_->loops.front(), [shared = shared_] { AcceptNext(shared, 0); });
  return absl::OkStatus();
}

void HttpServer::BeginDrain() {
  shared_->draining = true;
  asio::post(*shared_->loops.front(), [shared = shared_] {
    if (!shared->acceptor) return;
    AcceptPending(shared);
    error_code ignored;
    shared->acceptor->close(ignored);
  });
}

void HttpServer::SetClientLimits(const ClientLimits& limits) {
  shared_->options.limits = limits;
  auto& bytes = shared_->options.limits.max_header_bytes;
  bytes = std::min(bytes, internal::kMaxHeaderBytes);
}

void HttpServer::CloseAfterResponses(bool close) { shared_->close_after_responses = close; }

std::size_t HttpServer::active_requests() const { return shared_->active_requests; }

std::uint64_t HttpServer::displaced_connections() const { return shared_->displaced_connections; }

std::uint64_t HttpServer::rejected_requests() const { return shared_->rejected_requests; }

std::size_t HttpServer::open_connections() const { return shared_->connections; }

}  // namespace damaskroute
