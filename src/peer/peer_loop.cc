#include "peer_loop.h"

#include <algorithm>
#include <utility>

#include "accepted_connection.h"
#include "fmt/format.h"
#include "outgoing_connection.h"

namespace damaskroute::internal {
namespace {

constexpr std::chrono::milliseconds kSweepInterval{250};

// Limit of the messages to all peers that threads have queued and the loop has not yet taken.
constexpr std::size_t kMaxPendingBytes = std::size_t{256} << 20;

}  // namespace

PeerLoop::PeerLoop(asio::io_context& loop, PeerIdentity self, PeerKeys keys, PeerHandlers handlers,
                   PeerTransportOptions options)
    : loop_(loop),
      self_(std::move(self)),
      keys_(std::move(keys)),
      handlers_(std::move(handlers)),
      options_(std::move(options)),
      acceptor_(loop),
      sweep_timer_(loop) {}

PeerLoop::~PeerLoop() = default;

void PeerLoop::Start() { ScheduleSweep(); }

absl::Status PeerLoop::Listen() {
  boost::system::error_code error;
  asio::ip::tcp::endpoint address(asio::ip::make_address(self_.endpoint.address, error),
                                  self_.endpoint.port);
  if (!error) acceptor_.open(address.protocol(), error);
  if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor_.bind(address, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return absl::UnavailableError(fmt::format("cannot listen for peers on {}: {}",
                                              FormatEndpoint(self_.endpoint), error.message()));
  }
  self_.endpoint.port = acceptor_.local_endpoint().port();
  Accept();
  return absl::OkStatus();
}

void PeerLoop::Accept() {
  acceptor_.async_accept([self = shared_from_this()](auto error, asio::ip::tcp::socket socket) {
    if (self->stopped_ || error == asio::error::operation_aborted) return;
    if (!error && self->accepted_.size() < self->options_.max_accepted &&
        self->UnauthenticatedCount() < self->options_.max_unauthenticated) {
      auto connection = std::make_shared<AcceptedConnection>(self, std::move(socket));
      self->accepted_.insert(connection);
      connection->Start();
    }
    self->Accept();
  });
}

std::size_t PeerLoop::UnauthenticatedCount() const {
  return static_cast<std::size_t>(
      std::count_if(accepted_.begin(), accepted_.end(),
                    [](const auto& connection) { return !connection->authenticated(); }));
}

void PeerLoop::Stop() {
  stopped_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  sweep_timer_.cancel(ignored);
  for (auto& [endpoint, connection] : std::exchange(outgoing_, {})) connection->Close();
  for (const auto& connection : std::exchange(accepted_, {})) connection->Close(/*lost=*/false);
}

void PeerLoop::Send(const Endpoint& to, std::string payload) {
  std::lock_guard lock(mutex_);
  if (payload.size() > kMaxMessageSize || pending_bytes_ + payload.size() > kMaxPendingBytes) {
    asio::post(loop_, [self = shared_from_this(), to] { self->ReportLost(to); });
    return;
  }
  pending_bytes_ += payload.size();
  pending_.push_back({to, std::move(payload)});
  if (std::exchange(flush_posted_, true)) return;
  asio::post(loop_, [self = shared_from_this()] { self->Flush(); });
}

void PeerLoop::Flush() {
  std::vector<Pending> pending;
  {
    std::lock_guard lock(mutex_);
    pending.swap(pending_);
    pending_bytes_ = 0;
    flush_posted_ = false;
  }
  if (stopped_) return;
  std::set<std::shared_ptr<OutgoingConnection>> used;
  for (Pending& message : pending) {
    std::shared_ptr<OutgoingConnection>& connection = outgoing_[message.to];
    if (!connection) {
      connection = std::make_shared<OutgoingConnection>(shared_from_this(), message.to);
      connection->Connect();
    }
    std::shared_ptr<OutgoingConnection> keep_alive = connection;
    if (keep_alive->Enqueue(std::move(message.payload))) {
      used.insert(std::move(keep_alive));
    } else {
      keep_alive->Fail();
    }
  }
  for (const auto& connection : used) connection->StartWrite();
}

void PeerLoop::Disconnect(const Endpoint& endpoint) {
  asio::post(loop_, [self = shared_from_this(), endpoint] {
    std::vector<std::shared_ptr<AcceptedConnection>> closing;
    for (const auto& connection : self->accepted_) {
      if (connection->authenticated() && connection->peer().endpoint == endpoint) {
        closing.push_back(connection);
      }
    }
    for (const auto& connection : closing) connection->Close(/*lost=*/false);
    auto it = self->outgoing_.find(endpoint);
    if (it != self->outgoing_.end()) {
      std::shared_ptr<OutgoingConnection>(it->second)->Fail();
    } else {
      self->ReportLost(endpoint);
    }
  });
}

void PeerLoop::ScheduleSweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([self = shared_from_this()](auto error) {
    if (error || self->stopped_) return;
    self->CloseExpired();
    self->ScheduleSweep();
  });
}

void PeerLoop::CloseExpired() {
  TimePoint now = options_.now();
  // Iterates over copies, because closing removes connections from the containers.
  auto outgoing = outgoing_;
  for (const auto& [endpoint, connection] : outgoing) connection->CloseIfExpired(now);
  auto accepted = accepted_;
  for (const auto& connection : accepted) connection->CloseIfExpired(now);
}

void PeerLoop::OnMessage(const PeerContext& from, Message message) {
  if (stopped_) return;
  ++counters_.messages_received;
  if (handlers_.on_message) handlers_.on_message(from, std::move(message));
}

void PeerLoop::OnOutgoingClosed(const Endpoint& endpoint, const OutgoingConnection* connection,
                                bool lost) {
  if (stopped_) return;
  auto it = outgoing_.find(endpoint);
  if (it != outgoing_.end() && it->second.get() == connection) outgoing_.erase(it);
  if (lost) ReportLost(endpoint);
}

void PeerLoop::OnAcceptedClosed(const std::shared_ptr<AcceptedConnection>& connection, bool lost) {
  if (stopped_) return;
  accepted_.erase(connection);
  if (lost) ReportLost(connection->peer().endpoint);
}

void PeerLoop::ReportLost(const Endpoint& endpoint) {
  if (stopped_) return;
  ++counters_.peers_lost;
  if (handlers_.on_peer_lost) handlers_.on_peer_lost(endpoint);
}

}  // namespace damaskroute::internal
