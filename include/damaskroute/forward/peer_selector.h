#ifndef DAMASKROUTE_FORWARD_PEER_SELECTOR_H_
#define DAMASKROUTE_FORWARD_PEER_SELECTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/forward/peer.h"

namespace damaskroute {

/// How an attempt to have a request served by a peer ended.
enum class PeerOutcome : std::uint8_t {
  kServed,       ///< The peer answered the request, with a success or not.
  kNotServable,  ///< The peer cannot serve requests on this route either. Nothing was run.
  kNotReached,   ///< No connection. Nothing was sent.
  kLost,         ///< No answer; the request may have run.
  kCancelled,    ///< The caller left.
};

/// Chooses the peer for a request that this node cannot serve: at random, so that the peers share
/// the load, and of two the one with fewer requests in progress, so that one that hangs gets few. A
/// peer that failed is not chosen for a second. After a peer could not serve the request, one comes
/// next that has served such a request lately, so that a request is served even if nearly all peers
/// are partitioned as well. Peers of zones that already failed the same request come last, as
/// partitions mostly concern whole zones.
class PeerSelector {
 public:
  /// Limit of the peers that are tried for one request.
  static constexpr std::size_t kMaxPeersPerRequest = 3;

  /// How long a peer is not chosen after it was not reached or lost a request, or for requests on
  /// the same route after it could not serve one.
  static constexpr std::chrono::milliseconds kAvoidTime{1000};

  /// How long a peer that served a request is preferred for others on the same route.
  static constexpr std::chrono::seconds kServingMemory{10};

  /// Limit of the peers per route that are remembered for having served requests.
  static constexpr std::size_t kMaxServingPeers = 8;

  explicit PeerSelector(std::uint64_t seed) : random_(seed) {}

  void SetPeers(std::vector<Peer> peers);
  const std::vector<Peer>& peers() const { return peers_; }

  /// Returns a peer for a request on `route` that is not among those in `tried`; nullopt if there
  /// is none or enough were tried. `suggested`: the peer that the last one has named, if any.
  std::optional<Peer> Choose(const std::string& route, const std::vector<Peer>& tried,
                             const NodeName& suggested, TimePoint now);

  /// Returns a peer that served a request on `route` lately, to be suggested to another node;
  /// nullopt if there is none.
  std::optional<Peer> ServingPeer(const std::string& route, TimePoint now);

  /// A request was passed to the peer; `OnEnded` follows.
  void OnSent(const Peer& peer) { ++states_[peer.name].in_progress; }
  void OnEnded(const Peer& peer, PeerOutcome outcome, const std::string& route, TimePoint now);

 private:
  struct State {
    int in_progress = 0;
    TimePoint avoided_until;
    std::map<std::string, TimePoint> route_avoided_until;
  };

  struct Serving {
    Peer peer;
    TimePoint served_at;
  };

  std::optional<Peer> ChooseServing(const std::string& route, const std::vector<Peer>& tried,
                                    TimePoint now);
  std::optional<Peer> ChooseAny(const std::string& route, const std::vector<Peer>& tried,
                                TimePoint now);
  void OnServed(const Peer& peer, const std::string& route, TimePoint now);
  void ForgetServed(const Peer& peer, const std::string& route);
  int InProgress(const Peer& peer) const;
  bool IsAvoided(const Peer& peer, const std::string& route, TimePoint now) const;

  Random random_;
  std::vector<Peer> peers_;
  std::map<NodeName, State> states_;
  std::map<std::string, std::vector<Serving>> serving_;  // By route, the longest ago first.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_PEER_SELECTOR_H_
