#ifndef DAMASKROUTE_NODE_CRASH_EXCHANGE_H_
#define DAMASKROUTE_NODE_CRASH_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "damaskroute/core/asio.h"
#include "damaskroute/crashguard/crash_gossip.h"
#include "damaskroute/crashguard/crash_guard.h"
#include "damaskroute/crashguard/crash_page.h"
#include "damaskroute/http/http_server.h"
#include "damaskroute/node/peer_clients.h"

namespace damaskroute {

/// In a request of another node: the body is a `CrashPage`. The response has one as well.
inline constexpr char kCrashPageHeader[] = "Damask-Crash-Page";

/// Exchanges the records of a node's crash guard with those of its peers, as `CrashGossip` decides.
/// Must only be used on its event loop.
class CrashExchange {
 public:
  CrashExchange(asio::io_context& loop, CrashGuard& guard, PeerClients& clients,
                std::uint64_t seed);

  void SetPeers(std::vector<Peer> peers);

  /// Sets a function that is called whenever requests may have been blocked.
  void SetOnChange(std::function<void()> on_change) { on_change_ = std::move(on_change); }

  /// Sends what is due. Called after events that may have changed records.
  void Update();

  /// Handles a request with `kCrashPageHeader`.
  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  void Send(const Peer& peer, const CrashPage& page);
  void OnResponse(const ExchangeResult& result, bool sync);
  std::vector<CrashRecord> Merge(const CrashPage& page);

  CrashGuard& guard_;
  PeerClients& clients_;
  CrashGossip gossip_;
  asio::steady_timer timer_;
  std::function<void()> on_change_ = [] {};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_CRASH_EXCHANGE_H_
