#ifndef DAMASKROUTE_SRC_PEER_PEER_LOOP_H_
#define DAMASKROUTE_SRC_PEER_PEER_LOOP_H_

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/snapshot.h"
#include "damaskroute/peer/peer_transport.h"

namespace damaskroute::internal {

class AcceptedConnection;
class OutgoingConnection;

/// Implementation of a `PeerTransport`. Completion handlers share its ownership, so it outlives the
/// transport until the last of them has run. Members that the mutex does not guard are accessed on
/// the loop's thread only.
class PeerLoop : public std::enable_shared_from_this<PeerLoop> {
 public:
  PeerLoop(asio::io_context& loop, PeerIdentity self, PeerKeys keys, PeerHandlers handlers,
           PeerTransportOptions options);
  ~PeerLoop();

  absl::Status Listen();
  void Start();
  void Stop();
  void Send(const Endpoint& to, std::string payload);
  void Disconnect(const Endpoint& endpoint);
  void CloseExpired();
  void SetKeys(PeerKeys keys) { keys_.Publish(std::move(keys)); }

  asio::io_context& loop() { return loop_; }
  const PeerIdentity& self() const { return self_; }
  const PeerTransportOptions& options() const { return options_; }
  PeerCounters& counters() { return counters_; }
  std::shared_ptr<const PeerKeys> keys() const { return keys_.Load(); }

  /// Called by connections; no-ops after `Stop`.
  void OnMessage(const PeerContext& from, Message message);
  void OnOutgoingClosed(const Endpoint& endpoint, const OutgoingConnection* connection, bool lost);
  void OnAcceptedClosed(const std::shared_ptr<AcceptedConnection>& connection, bool lost);

 private:
  struct Pending {
    Endpoint to;
    std::string payload;
  };

  void Accept();
  void Flush();
  void ScheduleSweep();
  void ReportLost(const Endpoint& endpoint);
  std::size_t UnauthenticatedCount() const;

  asio::io_context& loop_;
  PeerIdentity self_;
  Snapshot<PeerKeys> keys_;
  PeerHandlers handlers_;
  PeerTransportOptions options_;
  PeerCounters counters_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer sweep_timer_;
  std::map<Endpoint, std::shared_ptr<OutgoingConnection>> outgoing_;
  std::set<std::shared_ptr<AcceptedConnection>> accepted_;
  bool stopped_ = false;

  std::mutex mutex_;  // Guards the members below.
  std::vector<Pending> pending_;
  std::size_t pending_bytes_ = 0;
  bool flush_posted_ = false;
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_PEER_PEER_LOOP_H_
